package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/authority"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/order"
	"github.com/bramleywick/bramleywick/dev"
	"github.com/bramleywick/bramleywick/standin/caller"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// shortTokens and longTokens are lengths of streams at 5 ms a token. Short
	// streams start all the time; long ones last longer than departureBound.
	shortTokens = 40
	longTokens  = 700
	// changeBound is a timeout for tests that fail.
	changeBound = 40 * time.Second
)

// setPlatform makes the platform reachable or unreachable for every daemon.
func (s *testFleet) setPlatform(reachable bool) {
	for _, cut := range s.platformCut {
		cut.Store(!reachable)
	}
}

// store returns a client of the platform that setPlatform does not affect.
func (s *testFleet) store() store.Store {
	address, err := dev.Serve(s.ctx, "127.0.0.1:0", s.platform.Handler())
	So(err, ShouldBeNil)
	return store.NewClient("http://"+address, http.DefaultClient)
}

// await waits up to limit until the condition holds and reports whether it does.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// withStreams runs a test on three daemons in two data centres under short and
// long streams, once with the platform and once with the platform cut off for a
// while. No stream may break, and none may be cancelled at the first engine.
func withStreams(t *testing.T, name string, test func(s *testFleet, e *engine.Server, short, long *caller.Load, cut bool)) {
	for _, cut := range []bool{false, true} {
		Convey(name+map[bool]string{false: ", with the platform", true: ", with the platform cut off"}[cut], t, func() {
			ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
			defer stop()
			s := newTestFleet(ctx, "a", "b")
			for _, id := range []string{"a1", "a2", "b1"} {
				s.start(id)
			}
			s.apply()
			e, short, long := s.engines[0], s.load(shortTokens), s.load(longTokens, longTokens)
			So(await(changeBound, func() bool { return e.Running() > 1 && e.Completions() > 2 }), ShouldBeTrue)
			test(s, e, short, long, cut)
			for _, l := range []*caller.Load{short, long} {
				complete, broken := l.Stop()
				So(broken, ShouldEqual, 0)
				So(complete, ShouldBeGreaterThan, 0)
			}
			So(e.Cancelled(), ShouldBeEmpty)
		})
	}
}

// TestOperatorDrain guards against a drain that interrupts a running stream or
// that an instance ignores (invariants 2 and 7).
func TestOperatorDrain(t *testing.T) {
	withStreams(t, "An operator drains an engine", func(s *testFleet, e *engine.Server, short, long *caller.Load, cut bool) {
		s.setPlatform(!cut)
		long.StopSending()
		So(dev.Drain(s.ctx, s.daemons[2].Addresses.Operators, "engine-a0"), ShouldBeNil)
		time.Sleep(departureBound)
		starts, complete := e.Completions(), short.Complete()
		// Further complete answers show that the drained engine is skipped.
		So(await(changeBound, func() bool { return e.Running() == 0 && short.Complete() >= complete+20 }), ShouldBeTrue)
		So(e.Completions(), ShouldEqual, starts)
	})
}

// TestPlannedRoleChange guards against an order that takes an engine away from
// a running stream or while an instance still sends it work (invariant 2), also
// when the platform is cut off in the middle of the drain.
func TestPlannedRoleChange(t *testing.T) {
	defer func(times authority.Times) { authority.DefaultTimes = times }(authority.DefaultTimes)
	authority.DefaultTimes.IdlePollInterval = time.Second // a changed declaration is noticed within this time
	withStreams(t, "The order holder changes a role", func(s *testFleet, e *engine.Server, short, long *caller.Load, cut bool) {
		client := s.store()
		s.applyText(strings.Replace(s.declaration, "[upstream engine-a0]\n", "[upstream engine-a0]\nrole = decode\n", 1))
		So(await(changeBound, func() bool {
			var record order.Record
			entry, err := client.Get(s.ctx, "order/engine-a0")
			return err == nil && json.Unmarshal(entry.Value, &record) == nil && record.Phase == order.PhaseDraining
		}), ShouldBeTrue)
		long.StopSending()
		if cut {
			// The holder cannot record the order, so it must not send it, even
			// to an idle engine.
			s.setPlatform(false)
			time.Sleep(departureBound)
			await(departureBound, func() bool { return e.Running() == 0 })
			time.Sleep(2 * authority.DefaultTimes.PollInterval)
			So(e.StartedOrders(), ShouldBeEmpty)
			s.setPlatform(true)
		}
		ordered := func() bool { return len(e.StartedOrders()) > 0 }
		if !await(departureBound, ordered) {
			starts := e.Completions()
			So(await(changeBound, ordered), ShouldBeTrue)
			So(e.Completions(), ShouldEqual, starts)
		}
		starts, during := e.Completions(), e.Completions()
		So(await(changeBound, func() bool {
			now := e.Completions()
			if e.State().Role == "decode" {
				return true
			}
			during = now
			return false
		}), ShouldBeTrue)
		So(during, ShouldEqual, starts)
		So(e.RunningAtChange(), ShouldEqual, 0)
		// The engine is used again after the change.
		So(await(changeBound, func() bool { return e.Completions() > starts }), ShouldBeTrue)
		So(e.StartedOrders(), ShouldHaveLength, 1)
	})
}

// TestStartDuringOrder guards against work sent to an engine that is held for an
// order. An instance that starts after the order holder has read the list is not
// asked to hold the engine and must adopt the mark from the order record.
func TestStartDuringOrder(t *testing.T) {
	Convey("With an order that was announced before an instance was listed", t, func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		s := newTestFleet(ctx, "a")
		s.start("a1")
		s.apply()
		client, e := s.store(), s.engines[0]
		// The holder cannot reach the platform, so that it does not settle the
		// order record.
		So(await(changeBound, func() bool { _, err := client.Get(ctx, "lease/orders/a"); return err == nil }), ShouldBeTrue)
		s.setPlatform(false)
		writeRecord := func(r order.Record) {
			raw, _ := json.Marshal(r)
			So(await(changeBound, func() bool {
				entry, err := client.Get(ctx, "order/engine-a0")
				if err == nil || errors.Is(err, store.ErrNotFound) {
					_, err = client.CompareAndSwap(ctx, "order/engine-a0", entry.Revision, raw, "")
				}
				return err == nil
			}), ShouldBeTrue)
		}
		writeRecord(order.Record{Fence: 1, Phase: order.PhaseSending, Marked: true})
		d := s.start("a2")
		So(await(changeBound, func() bool { return ready(d) && allUpstreams(d, membership.UpstreamLive) }), ShouldBeTrue)
		s.daemons = s.daemons[1:]
		l := s.load(shortTokens, shortTokens, shortTokens, shortTokens)
		So(await(changeBound, func() bool { return l.Complete() >= 12 }), ShouldBeTrue)
		So(e.Completions(), ShouldEqual, 0)
		writeRecord(order.Record{Fence: 1, Phase: order.PhaseSettled})
		So(await(changeBound, func() bool { return e.Completions() > 0 }), ShouldBeTrue)
		_, broken := l.Stop()
		So(broken, ShouldEqual, 0)
	})
}
