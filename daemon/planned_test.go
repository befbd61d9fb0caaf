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
	// shortTokens and longTokens are lengths of streams at 5 ms a token: short
	// ones start all the time, long ones outlast departureBound.
	shortTokens = 40
	longTokens  = 700
	// changeBound only ends a test that fails.
	changeBound = 40 * time.Second
)

// setPlatform cuts the platform off from every daemon, or ends that.
func (s *site) setPlatform(reachable bool) {
	for _, cut := range s.cut {
		cut.Store(!reachable)
	}
}

// store is the platform past the switches of the daemons.
func (s *site) store() store.Store {
	address, err := dev.Serve(s.ctx, "127.0.0.1:0", s.platform.Handler())
	So(err, ShouldBeNil)
	return store.NewClient("http://"+address, http.DefaultClient)
}

// await waits until the condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// underStreams runs a test on three daemons in two data centres, with the
// platform and without it for a while. The first engine runs long streams among
// others; it must not be given a request to break.
func underStreams(t *testing.T, name string, test func(s *site, e *engine.Server, short, long *caller.Load, cut bool)) {
	for _, cut := range []bool{false, true} {
		Convey(name+map[bool]string{false: ", with the platform", true: ", with the platform cut off"}[cut], t, func() {
			ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
			defer stop()
			s := newSite(ctx, "a", "b")
			for _, id := range []string{"a1", "a2", "b1"} {
				s.start(id)
			}
			s.apply()
			e, short, long := s.engines[0], s.load(shortTokens), s.load(longTokens, longTokens)
			So(await(changeBound, func() bool { return e.Running() > 1 && e.Completions() > 2 }), ShouldBeTrue)
			test(s, e, short, long, cut)
			for _, l := range []*caller.Load{short, long} {
				whole, broken := l.Stop()
				So(broken, ShouldEqual, 0)
				So(whole, ShouldBeGreaterThan, 0)
			}
			So(e.Cancelled(), ShouldBeEmpty)
		})
	}
}

// TestOperatorDrain guards against a drain that cuts a running stream or that
// an instance ignores (invariants 2 and 7).
func TestOperatorDrain(t *testing.T) {
	underStreams(t, "An operator drains an engine", func(s *site, e *engine.Server, short, long *caller.Load, cut bool) {
		s.setPlatform(!cut)
		long.StopSending()
		So(dev.Drain(s.ctx, s.daemons[2].Addresses.Operators, "engine-a0"), ShouldBeNil)
		time.Sleep(departureBound)
		starts, whole := e.Completions(), short.Complete()
		// Further work shows that the engine is passed over.
		So(await(changeBound, func() bool { return e.Running() == 0 && short.Complete() >= whole+20 }), ShouldBeTrue)
		So(e.Completions(), ShouldEqual, starts)
	})
}

// TestPlannedRoleChange guards against an order that takes an engine away from
// a running stream or while an instance still sends it work (invariant 2), also
// when the platform is cut off in the middle of the drain.
func TestPlannedRoleChange(t *testing.T) {
	defer func(times authority.Times) { authority.DefaultTimes = times }(authority.DefaultTimes)
	authority.DefaultTimes.IdlePollInterval = time.Second // how soon a new wish is looked at
	underStreams(t, "The order holder changes a role", func(s *site, e *engine.Server, short, long *caller.Load, cut bool) {
		client := s.store()
		s.put(strings.Replace(s.text, "[upstream engine-a0]\n", "[upstream engine-a0]\nrole = decode\n", 1))
		So(await(changeBound, func() bool {
			var record order.Record
			entry, err := client.Get(s.ctx, "order/engine-a0")
			return err == nil && json.Unmarshal(entry.Value, &record) == nil && record.Phase == order.PhaseDraining
		}), ShouldBeTrue)
		long.StopSending()
		if cut {
			// The holder cannot record the order, so it must not send it, also
			// when the engine is idle.
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

// TestStartDuringOrder guards against an instance that starts while an engine is
// held for an order, is not in the list that the order holder has read, and
// sends the engine work.
func TestStartDuringOrder(t *testing.T) {
	Convey("With an order that was announced before an instance was listed", t, func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		s := newSite(ctx, "a")
		s.start("a1")
		s.apply()
		client, e := s.store(), s.engines[0]
		// The holder is cut off, so that it does not settle the record.
		So(await(changeBound, func() bool { _, err := client.Get(ctx, "lease/orders/a"); return err == nil }), ShouldBeTrue)
		s.setPlatform(false)
		write := func(r order.Record) {
			raw, _ := json.Marshal(r)
			So(await(changeBound, func() bool {
				entry, err := client.Get(ctx, "order/engine-a0")
				if err == nil || errors.Is(err, store.ErrNotFound) {
					_, err = client.CompareAndSwap(ctx, "order/engine-a0", entry.Revision, raw, "")
				}
				return err == nil
			}), ShouldBeTrue)
		}
		write(order.Record{Fence: 1, Phase: order.PhaseSending, Marked: true})
		d := s.start("a2")
		So(await(changeBound, func() bool { return ready(d) && all(d, membership.UpstreamLive) }), ShouldBeTrue)
		s.daemons = s.daemons[1:]
		l := s.load(shortTokens, shortTokens, shortTokens, shortTokens)
		So(await(changeBound, func() bool { return l.Complete() >= 12 }), ShouldBeTrue)
		So(e.Completions(), ShouldEqual, 0)
		write(order.Record{Fence: 1, Phase: order.PhaseSettled})
		So(await(changeBound, func() bool { return e.Completions() > 0 }), ShouldBeTrue)
		_, broken := l.Stop()
		So(broken, ShouldEqual, 0)
	})
}
