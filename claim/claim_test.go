package claim_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/claim"
	coreclaim "github.com/bramleywick/bramleywick/core/claim"
	"github.com/bramleywick/bramleywick/core/fleet"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

type fault int

const (
	none fault = iota
	unavailable
	lostBefore  // the call has no effect and its answer is lost
	lostAfter   // the call takes effect and its answer is lost
	killBefore  // the instance is killed before the call
	killAfter   // the instance is killed after the call
	faultsCount // not a fault
)

// faultyStore is a store whose n-th call fails in the given way.
type faultyStore struct {
	store.Store
	n     int64
	fault fault
	calls atomic.Int64
}

func (f *faultyStore) inject(call func() error) error {
	hit := none
	if f.calls.Add(1) == f.n {
		hit = f.fault
	}
	switch hit {
	case unavailable:
		return store.ErrUnavailable
	case lostBefore:
		return store.ErrOutcomeUnknown
	case killBefore:
		runtime.Goexit()
	}
	err := call()
	switch hit {
	case lostAfter:
		return store.ErrOutcomeUnknown
	case killAfter:
		runtime.Goexit()
	}
	return err
}

func (f *faultyStore) Get(ctx context.Context, key string) (e store.Entry, err error) {
	err = f.inject(func() (err error) { e, err = f.Store.Get(ctx, key); return })
	return
}

func (f *faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (l store.Lease, err error) {
	err = f.inject(func() (err error) { l, err = f.Store.GrantLease(ctx, ttl); return })
	return
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (e store.Entry, err error) {
	err = f.inject(func() (err error) { e, err = f.Store.CompareAndSwap(ctx, key, revision, value, leaseID); return })
	return
}

// upstreamResult is how the upstream handles the first call.
type upstreamResult int

const (
	answers upstreamResult = iota
	refuses
	loses
)

// outcome is what the caller of one call sees.
type outcome struct {
	body     string
	replayed bool
	refusal  *fleet.Refusal
	killed   bool
}

// attempt runs one call in a goroutine, which a fault may end to simulate a
// kill.
func attempt(store store.Store, wait time.Duration, key, body string, result upstreamResult, runs *atomic.Int64) (o outcome) {
	o.killed = true
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := claim.New(store, "i")
		c.FirstCallWait = wait
		call := claim.Call{Member: "m", Key: key, Method: "POST", Path: "/payout", Body: []byte(body)}
		answer, replayed, refusal := c.Do(context.Background(), call, func(context.Context) claim.SendResult {
			if result == refuses {
				return claim.SendResult{Refusal: fleet.Refuse(fleet.ReasonNoUpstream, "none")}
			}
			runs.Add(1)
			if result == loses {
				return claim.SendResult{AnswerLost: errors.New("connection reset")}
			}
			return claim.SendResult{Answer: coreclaim.Answer{Status: http.StatusOK, Body: []byte("paid")}}
		})
		c.Wait()
		o = outcome{body: string(answer.Body), replayed: replayed, refusal: refusal}
	}()
	<-done
	return o
}

func newStore() (store.Store, func()) {
	server := httptest.NewServer(standin.New().Handler())
	return store.NewClient(server.URL, server.Client()), server.Close
}

// TestFaultsAtEachStep guards against running a call twice and against a false
// "not run" if any call to the platform fails in any way or the instance is
// killed there.
func TestFaultsAtEachStep(t *testing.T) {
	Convey("Each fault at each call to the platform, for each result at the upstream", t, func() {
		for result := answers; result <= loses; result++ {
			for kind := unavailable; kind < faultsCount; kind++ {
				for n := int64(1); n <= 5; n++ {
					name := fmt.Sprintf("result %d, fault %d, call %d", result, kind, n)
					store, stop := newStore()
					var runs atomic.Int64
					first := attempt(&faultyStore{Store: store, n: n, fault: kind}, time.Second, "k", "b", result, &runs)
					ranFirst := runs.Load()
					if first.refusal != nil && first.refusal.Outcome == fleet.OutcomeNotRun && ranFirst > 0 {
						t.Errorf("%s: refused as not run and ran", name)
					}
					second := attempt(store, 10*time.Millisecond, "k", "b", answers, &runs)
					if runs.Load() > 1 {
						t.Errorf("%s: ran %d times", name, runs.Load())
					}
					if ranFirst == 1 && second.refusal == nil && !second.replayed {
						t.Errorf("%s: the second call was not answered from the first", name)
					}
					if second.refusal != nil && second.refusal.Outcome == fleet.OutcomeNotRun {
						t.Errorf("%s: the second call was refused as not run: %v", name, second.refusal)
					}
					stop()
				}
			}
		}
	})
}

// TestSameKey guards against running a call twice when calls with one key
// arrive at two instances at once, and against running a different call under a
// used key.
func TestSameKey(t *testing.T) {
	Convey("With a store", t, func() {
		store, stop := newStore()
		Reset(stop)
		var runs atomic.Int64

		Convey("twenty calls at once run once, and each gets the first one's answer", func() {
			var group sync.WaitGroup
			results := make([]outcome, 20)
			for i := range results {
				group.Add(1)
				go func() {
					defer group.Done()
					results[i] = attempt(store, time.Second, "k", "b", answers, &runs)
				}()
			}
			group.Wait()
			So(runs.Load(), ShouldEqual, 1)
			for _, r := range results {
				So(r.refusal, ShouldBeNil)
				So(r.body, ShouldEqual, "paid")
			}
		})
		Convey("a different body under a used key is refused", func() {
			attempt(store, time.Second, "k", "b", answers, &runs)
			second := attempt(store, time.Second, "k", "other", answers, &runs)
			So(second.refusal.Reason, ShouldEqual, fleet.ReasonBadRequest)
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("without the platform the call is refused as not run", func() {
			stop()
			first := attempt(store, time.Second, "k", "b", answers, &runs)
			So(first.refusal.Reason, ShouldEqual, fleet.ReasonClaimNotPossible)
			So(first.refusal.Outcome, ShouldEqual, fleet.OutcomeNotRun)
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("a key whose age exceeds the limit is refused", func() {
			first := attempt(store, time.Second, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "b", answers, &runs)
			So(first.refusal.Reason, ShouldEqual, fleet.ReasonBadRequest)
			So(runs.Load(), ShouldEqual, 0)
		})
	})
}
