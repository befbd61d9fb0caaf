package duty

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/duty/dutytest"
)

// clock is the virtual time of a test.
type clock struct{ now fleet.Instant }

func (c *clock) read() fleet.Instant { return c.now }

const ttl = 3 * time.Second

func newTestHolder(id fleet.InstanceID, c *clock, s *dutytest.Store, mayCompete *bool) *Holder {
	return NewHolder(Options{
		Duty: "d", Instance: id, Process: "1", Store: s, TTL: ttl, Now: c.read, Log: zap.NewNop(),
		MayCompete: func() bool { return mayCompete == nil || *mayCompete },
	})
}

// advance lets virtual time pass while the holders run.
func (c *clock) advance(d time.Duration, running ...*Holder) {
	for end := c.now + d; c.now < end; {
		c.now += stepInterval
		for _, h := range running {
			h.Tick(context.Background())
		}
	}
}

func fence(h *Holder) int64 {
	t, _ := h.Term()
	return t.Fence
}

// TestHolder guards against two instances that act at the same time, against a
// successor whose calls meet those of its predecessor, and against the use of a
// fencing number after its refusal.
func TestHolder(t *testing.T) {
	Convey("Given two instances and a store", t, func() {
		c := &clock{now: time.Hour}
		s := dutytest.NewStore(c.read)
		a, b := newTestHolder("a", c, s, nil), newTestHolder("b", c, s, nil)
		c.advance(time.Second, a, b)
		So(fence(a), ShouldEqual, 1)
		So(fence(b), ShouldEqual, 0)
		Convey("the holder renews its lease", func() {
			c.advance(20*time.Second, a, b)
			So(fence(a), ShouldEqual, 1)
		})
		Convey("a frozen holder may not act when it resumes, and its successor waits for one lease duration", func() {
			for range 100 {
				c.advance(stepInterval, b)
				if s.Fence(Keys("d")) == 2 {
					break
				}
			}
			became := c.now
			So(fence(a), ShouldEqual, 0)
			So(a.Check(1), ShouldEqual, ErrTermOver)
			So(fence(b), ShouldEqual, 0)
			c.advance(ttl-2*stepInterval, b)
			So(fence(b), ShouldEqual, 0)
			c.advance(4*stepInterval, a, b)
			So(c.now-became, ShouldBeGreaterThanOrEqualTo, ttl)
			So(fence(b), ShouldEqual, 2)
			So(fence(a), ShouldEqual, 0)
		})
		Convey("a holder that has lost the store stops acting before its lease ends there", func() {
			s.Down = true
			renewed := s.RenewedAt
			last := c.now
			for range 50 {
				if c.advance(stepInterval, a); fence(a) == 1 {
					last = c.now
				}
			}
			So(last-renewed, ShouldBeBetween, time.Second, ttl-margin)
		})
		Convey("a refused number is not used again, and the next one is higher", func() {
			a.Refused(1)
			So(fence(a), ShouldEqual, 0)
			So(a.Check(1), ShouldEqual, ErrTermOver)
			c.advance(5*time.Second, a)
			So(fence(a), ShouldEqual, 2)
			a.Refused(1)
			So(fence(a), ShouldEqual, 2)
		})
		Convey("a holder that resigns does not compete for a time", func() {
			a.Resign(1, 20*time.Second)
			c.advance(8*time.Second, a)
			So(fence(a), ShouldEqual, 0)
			So(s.Fence(Keys("d")), ShouldEqual, 1)
			c.advance(16*time.Second, a)
			So(fence(a), ShouldEqual, 2)
		})
		Convey("a planned stop releases the lease at once", func() {
			ctx, stop := context.WithCancel(context.Background())
			stop()
			a.Run(ctx)
			So(fence(a), ShouldEqual, 0)
			So(s.Exists(Keys("d").Holder), ShouldBeFalse)
		})
	})
	Convey("An instance that may not compete never becomes the holder, and keeps a lease that it holds", t, func() {
		c := &clock{now: time.Hour}
		may := false
		h := newTestHolder("a", c, dutytest.NewStore(c.read), &may)
		c.advance(10*time.Second, h)
		So(fence(h), ShouldEqual, 0)
		may = true
		c.advance(time.Second, h)
		may = false
		c.advance(10*time.Second, h)
		So(fence(h), ShouldEqual, 1)
	})
}

// TestUnfitHolder guards against a holder that has stopped being a hub and keeps the
// duty without the others' counts: it reported 20 of 1,706 requests of a window.
func TestUnfitHolder(t *testing.T) {
	Convey("A holder that may not keep the lease any more gives it up to one that may", t, func() {
		c := &clock{now: time.Hour}
		s := dutytest.NewStore(c.read)
		fit := true
		a, b := newTestHolder("a", c, s, &fit), newTestHolder("b", c, s, nil)
		a.o.MayHold = func() bool { return fit }
		c.advance(time.Second, a, b)
		So(fence(a), ShouldEqual, 1)
		fit = false
		c.advance(unfitTime/2, a, b)
		fit = true
		c.advance(5*time.Second, a, b)
		So(fence(a), ShouldEqual, 1)
		fit = false
		c.advance(unfitTime+2*stepInterval, a, b)
		So(fence(a), ShouldEqual, 0)
		c.advance(3*ttl, a, b)
		So(fence(b), ShouldEqual, 2)
	})
}

// newPair returns two holders of a store, and a copy of the store while it was empty.
func newPair() (c *clock, s *dutytest.Store, empty dutytest.Copy, a, b *Holder) {
	c = &clock{now: time.Hour}
	s = dutytest.NewStore(c.read)
	return c, s, s.Copy(), newTestHolder("a", c, s, nil), newTestHolder("b", c, s, nil)
}

// TestFencesAfterRestore guards against a fencing number that is given out twice, and
// against two holders that act at the same time, when the store comes back from an older
// copy and the instances learn of it at different times.
func TestFencesAfterRestore(t *testing.T) {
	for _, notice := range []time.Duration{0, time.Second, 10 * time.Second} {
		Convey("A store that comes back from a copy, which the holder notices after "+notice.String(), t, func() {
			// A process asks for the lease only while no other one holds it, so that each
			// sees another era at another time.
			c, s, empty, a, b := newPair()
			c.advance(time.Second, a, b)
			So(fence(a), ShouldEqual, 1)
			c.advance(5*time.Second, a, b)
			s.Restore(empty)
			used := map[int64]bool{}
			for end := c.now + 30*time.Second; c.now < end; {
				if c.now >= end-30*time.Second+notice {
					c.advance(stepInterval, a, b)
				} else {
					c.advance(stepInterval, b)
				}
				So(fence(a) > 0 && fence(b) > 0, ShouldBeFalse)
				for _, f := range []int64{fence(a), fence(b)} {
					used[f] = true
				}
			}
			So(used[1] && notice == 0, ShouldBeFalse)
			So(s.Fence(Keys("d")), ShouldBeGreaterThan, 1)
			So(fence(a)+fence(b), ShouldEqual, s.Fence(Keys("d")))
		})
	}
	Convey("The instance that has acted last gets the lease again before others", t, func() {
		c, s, empty, a, b := newPair()
		c.advance(time.Second, a)
		c.advance(time.Second, b, a)
		first := fence(a)
		So(first, ShouldEqual, 1)
		s.Down = true
		c.advance(2*time.Second, b, a)
		s.Down = false
		s.Restore(empty)
		c.advance(10*time.Second, b, a)
		So(fence(a), ShouldBeGreaterThan, first)
		So(a.ActedLast(first), ShouldBeTrue)
		So(b.ActedLast(first), ShouldBeFalse)
	})
	Convey("A holder that has missed one of two returns does not count as the last that acted", t, func() {
		c, s, empty, a, b := newPair()
		c.advance(time.Second, a)
		first := fence(a)
		So(first, ShouldEqual, 1)
		s.Restore(empty)
		c.advance(4*time.Second, b)
		So(fence(b), ShouldBeGreaterThan, first)
		s.Restore(empty)
		c.advance(stepInterval, a)
		So(a.ActedLast(first), ShouldBeFalse)
	})
}
