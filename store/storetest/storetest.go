// Package storetest contains the contract tests that every implementation of
// store.Store must pass. An implementation's own tests call Run with a fixture.
package storetest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/store"
)

// Fixture is a new service and a client of it.
type Fixture struct {
	Store store.Store
	// Each function injects one fault. ClearFaults removes all of them.
	Outage, Slow, LoseWriteAnswers, WatchGap, StaleReads, RateLimit, ClearFaults func()
	// CallTimeout is the client's timeout for one attempt. Slow exceeds it.
	CallTimeout time.Duration
}

// contractCase is one test case of the contract.
type contractCase struct {
	name string
	run  func(ctx context.Context, f Fixture)
}

const (
	key      = "contract/key"
	leaseTTL = 60 * time.Millisecond
)

// Run runs every test case against a fixture made by setup.
func Run(t *testing.T, setup func(t *testing.T) Fixture) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := setup(t)
			convey.Convey(c.name, t, func() {
				ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				defer stop()
				c.run(ctx, f)
			})
		})
	}
}

func put(ctx context.Context, f Fixture, value string) store.Entry {
	current, err := f.Store.Get(ctx, key)
	if !errors.Is(err, store.ErrNotFound) {
		convey.So(err, convey.ShouldBeNil)
	}
	entry, err := f.Store.CompareAndSwap(ctx, key, current.Revision, []byte(value), "")
	convey.So(err, convey.ShouldBeNil)
	return entry
}

func shouldBe(err, want error) { convey.So(errors.Is(err, want), convey.ShouldBeTrue) }

var cases = []contractCase{
	{"an absent key is not found", func(ctx context.Context, f Fixture) {
		_, err := f.Store.Get(ctx, key)
		shouldBe(err, store.ErrNotFound)
	}},
	{"of two writes on one revision the second conflicts", func(ctx context.Context, f Fixture) {
		first := put(ctx, f, "1")
		_, err := f.Store.CompareAndSwap(ctx, key, 0, []byte("2"), "")
		shouldBe(err, store.ErrConflict)
		shouldBe(f.Store.CompareAndDelete(ctx, key, first.Revision-1), store.ErrConflict)
		convey.So(f.Store.CompareAndDelete(ctx, key, first.Revision), convey.ShouldBeNil)
	}},
	{"a list is sorted and holds the prefix only", func(ctx context.Context, f Fixture) {
		for _, k := range []string{"list/b", "list/a", "other"} {
			_, err := f.Store.CompareAndSwap(ctx, k, 0, []byte(k), "")
			convey.So(err, convey.ShouldBeNil)
		}
		list, err := f.Store.List(ctx, "list/")
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(list), convey.ShouldEqual, 2)
		convey.So(list[0].Key, convey.ShouldEqual, "list/a")
	}},
	{"an outage leaves reads and writes without effect", func(ctx context.Context, f Fixture) {
		f.Outage()
		_, err := f.Store.Get(ctx, key)
		shouldBe(err, store.ErrUnavailable)
		_, err = f.Store.CompareAndSwap(ctx, key, 0, []byte("1"), "")
		shouldBe(err, store.ErrUnavailable)
		f.ClearFaults()
		_, err = f.Store.Get(ctx, key)
		shouldBe(err, store.ErrNotFound)
	}},
	{"a slow service ends a read as unavailable and a write as unknown, in time", func(ctx context.Context, f Fixture) {
		f.Slow()
		start := time.Now()
		_, err := f.Store.CompareAndSwap(ctx, key, 0, []byte("1"), "")
		shouldBe(err, store.ErrOutcomeUnknown)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 2*f.CallTimeout)
		_, err = f.Store.Get(ctx, key)
		shouldBe(err, store.ErrUnavailable)
	}},
	{"a lost answer is unknown and the write is not sent again", func(ctx context.Context, f Fixture) {
		f.LoseWriteAnswers()
		_, err := f.Store.CompareAndSwap(ctx, key, 0, []byte("1"), "")
		shouldBe(err, store.ErrOutcomeUnknown)
		f.ClearFaults()
		entry, err := f.Store.Get(ctx, key)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(entry.Value), convey.ShouldEqual, "1")
	}},
	{"a holder that was paused beyond its lease has lost it and its keys", func(ctx context.Context, f Fixture) {
		lease, err := f.Store.GrantLease(ctx, leaseTTL)
		convey.So(err, convey.ShouldBeNil)
		_, err = f.Store.CompareAndSwap(ctx, key, 0, []byte("held"), lease.ID)
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.Store.RenewLease(ctx, lease.ID), convey.ShouldBeNil)
		time.Sleep(2 * leaseTTL)
		_, err = f.Store.Get(ctx, key)
		shouldBe(err, store.ErrNotFound)
		shouldBe(f.Store.RenewLease(ctx, lease.ID), store.ErrLeaseLost)
		_, err = f.Store.CompareAndSwap(ctx, key, 0, []byte("late"), lease.ID)
		shouldBe(err, store.ErrLeaseLost)
	}},
	{"a watch returns the write that ends its wait", func(ctx context.Context, f Fixture) {
		first := put(ctx, f, "1")
		done := make(chan store.Entry, 1)
		go func() {
			entry, _ := f.Store.Watch(ctx, key, first.Revision, 5*time.Second)
			done <- entry
		}()
		time.Sleep(20 * time.Millisecond)
		put(ctx, f, "2")
		convey.So(string((<-done).Value), convey.ShouldEqual, "2")
	}},
	{"a write lost in a watch gap is seen when the wait ends", func(ctx context.Context, f Fixture) {
		first := put(ctx, f, "1")
		f.WatchGap()
		time.AfterFunc(20*time.Millisecond, func() {
			_, _ = f.Store.CompareAndSwap(ctx, key, first.Revision, []byte("2"), "")
		})
		entry, err := f.Store.Watch(ctx, key, first.Revision, 200*time.Millisecond)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(entry.Value), convey.ShouldEqual, "2")
	}},
	{"a known value is left out", func(ctx context.Context, f Fixture) {
		first := put(ctx, f, "1")
		_, err := store.ReadNewer(ctx, f.Store, key, first.Revision, 0)
		shouldBe(err, store.ErrNotChanged)
		_, err = store.ReadNewer(ctx, f.Store, key, first.Revision, 20*time.Millisecond)
		shouldBe(err, store.ErrNotChanged)
		entry, err := store.ReadNewer(ctx, f.Store, key, 0, 0)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(entry.Value), convey.ShouldEqual, "1")
	}},
	{"a write based on a stale read conflicts", func(ctx context.Context, f Fixture) {
		put(ctx, f, "1")
		put(ctx, f, "2")
		f.StaleReads()
		stale, err := f.Store.Get(ctx, key)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(stale.Value), convey.ShouldEqual, "1")
		_, err = f.Store.CompareAndSwap(ctx, key, stale.Revision, []byte("3"), "")
		shouldBe(err, store.ErrConflict)
	}},
	{"a rate limit refuses before it acts", func(ctx context.Context, f Fixture) {
		f.RateLimit()
		var rejection error
		for i := 0; i < 10 && rejection == nil; i++ {
			_, rejection = f.Store.Get(ctx, key)
			if errors.Is(rejection, store.ErrNotFound) {
				rejection = nil
			}
		}
		shouldBe(rejection, store.ErrRateLimited)
	}},
	{"an oversize value is refused", func(ctx context.Context, f Fixture) {
		_, err := f.Store.CompareAndSwap(ctx, key, 0, bytes.Repeat([]byte("x"), store.MaxValueBytes+1), "")
		shouldBe(err, store.ErrTooLarge)
		_, err = f.Store.CompareAndSwap(ctx, key, 0, bytes.Repeat([]byte("x"), store.MaxValueBytes), "")
		convey.So(err, convey.ShouldBeNil)
	}},
}
