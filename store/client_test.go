package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/store/storetest"
)

// callTimeout has room for a write of the largest value under the race detector
// on a busy machine, which took more than 300 ms.
const callTimeout = 2 * time.Second

func limits() store.Limits {
	return store.Limits{ReadsPerSecond: 1000, WritesPerSecond: 1000, CallTimeout: callTimeout}
}

// TestContract guards against an HTTP client that violates the contract of
// Store under faults of the platform.
func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		service := standin.New()
		server := httptest.NewServer(service.Handler())
		t.Cleanup(server.Close)
		return storetest.Fixture{
			Store:            store.NewLimitedClient(server.URL, server.Client(), limits()),
			CallTimeout:      callTimeout,
			Outage:           func() { service.SetFaults(standin.Faults{Down: true}) },
			Slow:             func() { service.SetFaults(standin.Faults{Delay: 2 * callTimeout}) },
			LoseWriteAnswers: func() { service.SetFaults(standin.Faults{LoseWriteAnswers: true}) },
			WatchGap:         func() { service.SetOptions(standin.Options{DropWatchEvents: true}) },
			StaleReads:       func() { service.SetOptions(standin.Options{StaleReads: true}) },
			RateLimit:        func() { service.SetOptions(standin.Options{ReadsPerSecond: 2}) },
			ClearFaults: func() {
				service.SetFaults(standin.Faults{})
				service.SetOptions(standin.Options{})
			},
		}
	})
}

// TestRepeats guards against a write that is sent twice although its first
// attempt may have taken effect, and against calls beyond the local rate limit.
func TestRepeats(t *testing.T) {
	Convey("With a counting service", t, func() {
		service := standin.New()
		server := httptest.NewServer(service.Handler())
		defer server.Close()
		client := store.NewLimitedClient(server.URL, server.Client(), limits())
		ctx := context.Background()

		Convey("a write with a lost answer is sent once", func() {
			service.SetFaults(standin.Faults{LoseWriteAnswers: true})
			_, err := client.CompareAndSwap(ctx, "k", 0, []byte("1"), "")
			So(errors.Is(err, store.ErrOutcomeUnknown), ShouldBeTrue)
			So(service.Counts().Writes, ShouldEqual, 1)
		})
		Convey("a write that certainly had no effect is retried", func() {
			service.SetFaults(standin.Faults{Down: true})
			_, err := client.CompareAndSwap(ctx, "k", 0, []byte("1"), "")
			So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
			So(service.Counts().Writes, ShouldEqual, 3)
		})
		Convey("a write without a connection had no effect", func() {
			closed := httptest.NewServer(http.NotFoundHandler())
			closed.Close()
			_, err := store.NewClient(closed.URL, http.DefaultClient).CompareAndSwap(ctx, "k", 0, nil, "")
			So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
		})
		Convey("calls beyond the local rate wait or fail without being sent", func() {
			slow := store.NewLimitedClient(server.URL, server.Client(), store.Limits{
				ReadsPerSecond: 1, WritesPerSecond: 1, CallTimeout: 50 * time.Millisecond,
			})
			for i := 0; i < 2; i++ {
				_, err := slow.Instances(ctx)
				So(err, ShouldBeNil)
			}
			_, err := slow.Instances(ctx)
			So(errors.Is(err, store.ErrRateLimited), ShouldBeTrue)
			So(service.Counts().Reads, ShouldEqual, 2)
		})
	})
}
