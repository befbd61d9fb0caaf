package fleetsize

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// dear is the number of regular servers.
func (p *platform) dear() int {
	return p.count(Pool{"a", false}) + p.count(Pool{"b", false}) + p.count(Pool{"c", false})
}

// TestOrderFailures guards against a fleet that shrinks or stays wrong because an
// order failed, was executed late or was executed in part.
func TestOrderFailures(t *testing.T) {
	least := func(planner *Planner, n *int) decider {
		return func(in Input, p *platform) {
			planned(planner)(in, p)
			*n = min(*n, p.serving())
		}
	}
	Convey("While the API is down nothing is given up, and the replacement follows", t, func() {
		p := newPlatform(testService(), tenEach())
		p.result = func(Order) (Result, bool, time.Duration) {
			if p.now < 20*time.Second || (p.now > 26*time.Second && p.now < 45*time.Second) {
				return ResultDelayed, false, 0
			}
			return ResultAccepted, true, 0
		}
		smallest := 30
		planner := New(Record{})
		run(p, steady(0), 45*time.Second, least(planner, &smallest), nil)
		So(smallest, ShouldEqual, 30)
		So(len(p.orders), ShouldBeLessThan, 60)
		run(p, steady(0), 80*time.Second, least(planner, &smallest), nil)
		So(p.dear(), ShouldEqual, 0)
	})
	Convey("Orders without an answer that are executed late are repeated until they hold", t, func() {
		p := newPlatform(testService(), tenEach())
		n := 0
		p.result = func(Order) (Result, bool, time.Duration) {
			n++
			if n <= 3 || n%5 == 0 {
				return ResultUnknown, true, 6 * time.Second
			}
			return ResultAccepted, true, 0
		}
		smallest := 30
		run(p, steady(0), time.Minute, least(New(Record{}), &smallest), nil)
		So(smallest, ShouldEqual, 30)
		So(p.dear(), ShouldEqual, 0)
		So(p.count(Pool{"a", true}), ShouldEqual, 15)
	})
	Convey("Orders that are never answered in one data centre don't hold up the others", t, func() {
		p := newPlatform(testService(), tenEach())
		p.result = func(o Order) (Result, bool, time.Duration) {
			if o.DataCentre == "b" {
				return ResultUnknown, false, 0
			}
			return ResultAccepted, true, 0
		}
		r := run(p, steady(40), 5*time.Minute, planned(New(Record{})), map[time.Duration]func(){2 * time.Minute: func() { p.reclaim("a") }})
		So(r.lateShare(), ShouldBeLessThan, 0.001)
		So(r.leastServe, ShouldBeGreaterThanOrEqualTo, 20)
		So(p.count(Pool{"a", true})+p.count(Pool{"c", true}), ShouldBeGreaterThan, 15)
		So(len(p.orders), ShouldBeLessThan, 200)
	})
	Convey("A late order that gives up servers is undone by a repeat within seconds", t, func() {
		p := newPlatform(testService(), tenEach())
		first := true
		p.result = func(o Order) (Result, bool, time.Duration) {
			if o.Pool == (Pool{"b", true}) && first {
				first = false
				return ResultUnknown, false, 0
			}
			return ResultAccepted, true, 0
		}
		p.delayed = append(p.delayed, delayedOrder{Order{Pool{"b", true}, 4}, 9 * time.Second})
		run(p, steady(0), 13500*time.Millisecond, planned(New(Record{})), nil)
		So(p.desired[Pool{"b", true}], ShouldEqual, 15)
	})
	Convey("Servers that never come in a data centre are ordered elsewhere", t, func() {
		p := newPlatform(testService(), tenEach())
		p.comes = func(id Pool, n int) int {
			if id.DataCentre == "b" {
				return 0
			}
			return n
		}
		smallest := 30
		r := run(p, steady(60), 3*time.Minute, least(New(Record{}), &smallest), nil)
		So(p.count(Pool{"b", false}), ShouldBeGreaterThan, 0)
		So(p.count(Pool{"a", true}), ShouldBeGreaterThan, 15)
		So(smallest, ShouldBeGreaterThanOrEqualTo, 30)
		So(r.lateShare(), ShouldBeLessThan, 0.001)
	})
	Convey("Servers for a rising peak that never come in a data centre are ordered elsewhere", t, func() {
		p := newPlatform(testService(), tenEach())
		p.comes = func(id Pool, n int) int {
			if id.DataCentre == "b" && p.now > trafficAt {
				return 0
			}
			return n
		}
		load := func(at time.Duration) float64 {
			if at < 40*time.Second {
				return 40
			}
			return 75
		}
		run(p, load, trafficAt+75*time.Second, planned(New(Record{})), nil)
		So(p.count(Pool{"b", true}), ShouldEqual, 15)
		So(p.desired[Pool{"b", true}], ShouldBeGreaterThan, 15)
		// The peak takes 50 servers; a and c have 16 or 17 each, before the missing
		// ones are ordered there.
		So(p.serving(), ShouldBeGreaterThanOrEqualTo, 49)
	})
	Convey("Servers that come late are waited for", t, func() {
		p := newPlatform(testService(), tenEach())
		service := *p.service
		scaling := *service.Scaling
		scaling.BootTime = 11 * time.Second
		service.Scaling = &scaling
		smallest := 30
		planner := New(Record{})
		declared := p.service
		p.service = &service
		run(p, steady(0), time.Minute, func(in Input, p *platform) {
			in.Service = declared
			least(planner, &smallest)(in, p)
		}, nil)
		So(smallest, ShouldEqual, 30)
		So(p.dear(), ShouldEqual, 0)
		So(p.count(Pool{"a", true}), ShouldEqual, 15)
	})
	Convey("Servers beyond the number ordered are given up again", t, func() {
		p := newPlatform(testService(), tenEach())
		once := true
		p.comes = func(id Pool, n int) int {
			if once && id.Spot {
				once = false
				return n + 3
			}
			return n
		}
		run(p, steady(0), time.Minute, planned(New(Record{})), nil)
		So(p.count(Pool{"a", true}), ShouldEqual, 15)
		So(p.dear(), ShouldEqual, 0)
	})
	Convey("A data centre without spot servers for minutes is asked rarely and doesn't hold up the others", t, func() {
		p := newPlatform(testService(), tenEach())
		p.spotGone["b"] = time.Hour
		run(p, steady(10), 5*time.Minute, planned(New(Record{})), nil)
		asked := 0
		for _, o := range p.orders {
			if o.Pool == (Pool{"b", true}) && o.at > time.Minute {
				asked++
			}
		}
		So(asked, ShouldBeLessThanOrEqualTo, 24)
		So(p.dear(), ShouldBeLessThanOrEqualTo, 2)
		So(p.serving(), ShouldBeLessThan, 15)
	})
	Convey("Nothing is given up while the list of servers is outdated", t, func() {
		p := newPlatform(testService(), tenEach())
		planner := New(Record{})
		run(p, steady(0), time.Minute, func(in Input, p *platform) {
			in.Current = p.now < 4*time.Second
			planned(planner)(in, p)
		}, nil)
		So(p.count(Pool{"a", true}), ShouldEqual, 10)
		So(p.dear(), ShouldEqual, 30)
	})
}

// TestSuccessor guards against a successor that gives up servers, or orders them
// again, because it does not know what its predecessor ordered.
func TestSuccessor(t *testing.T) {
	Convey("A successor goes on in the middle of the replacement", t, func() {
		for at := 2 * time.Second; at <= 9*time.Second; at += time.Second {
			p := newPlatform(testService(), tenEach())
			first := New(Record{})
			run(p, steady(0), at, planned(first), nil)
			smallest := 30
			second := New(first.Record())
			run(p, steady(0), time.Minute, func(in Input, p *platform) {
				if p.now < at+3*time.Second {
					return
				}
				planned(second)(in, p)
				smallest = min(smallest, p.serving())
			}, nil)
			So(smallest, ShouldEqual, 30)
			So(p.dear(), ShouldEqual, 0)
			So(p.count(Pool{"a", true})+p.count(Pool{"b", true})+p.count(Pool{"c", true}), ShouldEqual, 45)
		}
	})
	Convey("An order to give up servers that was written and not sent is decided again", t, func() {
		p := newPlatform(testService(), tenEach())
		record := Record{Initial: tenEach(), Orders: []Order{
			{Pool{"a", false}, 0}, {Pool{"a", true}, 10}, {Pool{"b", false}, 10}, {Pool{"c", false}, 10},
		}}
		// The spot servers of a have been reclaimed since.
		p.spotGone["a"] = time.Hour
		smallest := 30
		planner := New(record)
		run(p, steady(0), 14*time.Second, func(in Input, p *platform) {
			planned(planner)(in, p)
			smallest = min(smallest, p.serving())
		}, nil)
		So(smallest, ShouldEqual, 30)
	})
	Convey("A successor in traffic neither orders nor gives up without need", t, func() {
		p := newPlatform(testService(), tenEach())
		first := New(Record{})
		run(p, steady(40), trafficAt+40*time.Second, planned(first), nil)
		before := map[fleet.DataCentre]int{}
		for dc := range tenEach() {
			before[dc] = p.count(Pool{dc, true})
		}
		second := New(first.Record())
		for _, o := range second.Decide(Input{Service: p.service, Servers: p.engines(), Current: true}, p.now) {
			So(o.Servers, ShouldEqual, p.count(o.Pool))
		}
	})
	Convey("A successor that has not measured the demand doesn't restore what its predecessor gave up", t, func() {
		p := newPlatform(testService(), tenEach())
		first := New(Record{})
		run(p, steady(10), trafficAt+100*time.Second, planned(first), nil)
		serving := p.serving()
		So(serving, ShouldBeLessThan, 30)
		second := New(first.Record())
		for range 18 {
			p.now += time.Second
			in := Input{Service: p.service, Servers: p.engines(), Current: true}
			in.Load.MeasuredFor = p.now - trafficAt - 100*time.Second
			planned(second)(in, p)
		}
		So(p.serving(), ShouldEqual, serving)
	})
	Convey("The averages of a successor that has measured the demand for less than 10 s order nothing", t, func() {
		p := newPlatform(testService(), tenEach())
		first := New(Record{})
		run(p, steady(20), trafficAt+100*time.Second, planned(first), nil)
		from, second := p.now, New(first.Record())
		before := p.serving()
		So(before, ShouldBeLessThan, 30)
		for p.now < from+30*time.Second {
			p.advance()
			if p.now%time.Second != 0 {
				continue
			}
			in := Input{Service: p.service, Servers: p.engines(), Current: true}
			in.Load.MeasuredFor = p.now - from
			rate := 20.0
			if in.Load.MeasuredFor < 10*time.Second {
				rate = 60
				in.Load.PrefillWait = rate
			}
			in.Load.Requests, in.Load.Uncached, in.Load.Events = rate, rate*simUncached, rate*simEventsPerCall
			in.Load.RecentUncached, in.Load.RecentEvents = in.Load.Uncached, in.Load.Events
			planned(second)(in, p)
			So(p.serving(), ShouldBeLessThanOrEqualTo, before)
		}
	})
}

// TestOldRecord guards against a successor that gives up servers, because its record is
// older than its predecessor's last orders, as after the return of the store from a copy.
func TestOldRecord(t *testing.T) {
	for _, age := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 25 * time.Second, time.Hour} {
		Convey("A successor with a record that is "+age.String()+" old, or none, gives up nothing that is listed", t, func() {
			for at := time.Duration(0); at <= 100*time.Second; at += 10 * time.Second {
				p := newPlatform(testService(), tenEach())
				first := New(Record{})
				records := map[time.Duration]Record{}
				wave := func(d time.Duration) float64 { return 40 + 30*math.Sin(2*math.Pi*d.Seconds()/60) }
				run(p, wave, trafficAt+at, func(in Input, p *platform) {
					planned(first)(in, p)
					records[p.now] = first.Record()
				}, nil)
				second := New(records[(p.now - age).Truncate(time.Second)])
				for _, o := range second.Decide(Input{Service: p.service, Servers: p.engines(), Current: true}, p.now) {
					So(o.Servers, ShouldBeGreaterThanOrEqualTo, p.count(o.Pool))
				}
			}
		})
	}
}
