package overload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDecide(t *testing.T) {
	Convey("A request at its arrival", t, func() {
		const target, left = 600 * time.Millisecond, 5 * time.Second
		for _, c := range []struct {
			name              string
			queue, processing time.Duration
			admit             bool
		}{
			{"an idle engine", 0, 80 * time.Millisecond, true},
			{"on time behind a queue", 300 * time.Millisecond, 80 * time.Millisecond, true},
			{"late because of the queue", 500 * time.Millisecond, 80 * time.Millisecond, false},
			{"late by its processing time alone", 0, 1500 * time.Millisecond, true},
			{"late by its processing time, short queue", 300 * time.Millisecond, 1500 * time.Millisecond, true},
			{"late by its processing time, long queue", 400 * time.Millisecond, 1500 * time.Millisecond, false},
			{"longer than its caller waits", 0, 4500 * time.Millisecond, false},
		} {
			Convey(c.name, func() {
				v := New().Decide("s", 1, Estimate{Queue: c.queue, Processing: c.processing, LatencyTarget: target, Remaining: left})
				So(v.Admit, ShouldEqual, c.admit)
				if !c.admit {
					So(v.RetryAfter, ShouldBeBetweenOrEqual, minRetryAfter, maxRetryAfter)
				}
			})
		}
	})
}

// simulateOverload serves requests of several lengths in order of arrival at one
// engine, at three times its capacity. It returns how many requests are served
// before their deadline and how many of these on time, how many of all requests
// are of the longest kind and how many of those are served, and the longest
// wait of a served request.
func simulateOverload(decide func(Estimate) bool) (served, onTime, long, longServed int, waited time.Duration) {
	const target, left = 600 * time.Millisecond, 5 * time.Second
	lengths := []time.Duration{20, 40, 60, 80, 100, 120, 150, 200, 300, 900}
	var free, at time.Duration
	random := uint64(1)
	for range 3000 {
		// Knuth's linear congruential generator, so that the lengths are not
		// periodic.
		random = random*6364136223846793005 + 1442695040888963407
		own := lengths[random>>33%uint64(len(lengths))] * time.Millisecond
		at += 65 * time.Millisecond
		queue := max(free-at, 0)
		isLong := own == 900*time.Millisecond
		if isLong {
			long++
		}
		if !decide(Estimate{Queue: queue, Processing: own, LatencyTarget: target, Remaining: left}) {
			continue
		}
		free = max(free, at) + own
		took := free - at
		if took > left {
			continue
		}
		served++
		if isLong {
			longServed++
		}
		if took <= target {
			onTime++
		}
		waited = max(waited, queue)
	}
	return served, onTime, long, longServed, waited
}

// TestPeak checks a long overload: more prompts arrive than the engines can
// prefill.
func TestPeak(t *testing.T) {
	Convey("At three times the capacity", t, func() {
		controller := New()
		served, onTime, long, longServed, waited := simulateOverload(func(e Estimate) bool { return controller.Decide("s", 1, e).Admit })
		_, onTimeOpen, _, _, _ := simulateOverload(func(Estimate) bool { return true })

		Convey("no served request waits longer than its latency target", func() {
			So(waited, ShouldBeLessThan, 600*time.Millisecond)
		})
		Convey("more are on time than if all were admitted", func() {
			So(onTime, ShouldBeGreaterThan, 2*onTimeOpen)
		})
		Convey("the longest tenth is served at least half as often as all", func() {
			So(float64(longServed)/float64(long), ShouldBeGreaterThan, 0.5*float64(served)/3000)
		})
	})
}

// simulateRetries simulates bursts of 2.8 s at three times an engine's
// capacity, alternating with 2.8 s at half of it. A rejected caller retries
// once, after RetryAfter. It returns how many requests are served, and how many
// are rejected twice. Without remember the rejection rate is reset before each
// request.
func simulateRetries(remember bool) (served, twice int) {
	const target, left, own = 600 * time.Millisecond, 5 * time.Second, 80 * time.Millisecond
	type call struct {
		at      time.Duration
		retried bool
	}
	var calls []call
	for at := time.Duration(0); at < 28*time.Second; {
		calls = append(calls, call{at: at})
		gap := own * 2
		if at/(2800*time.Millisecond)%2 == 0 {
			gap = own / 3
		}
		at += gap
	}
	var free time.Duration
	controller := New()
	for len(calls) > 0 {
		first := 0
		for i := range calls {
			if calls[i].at < calls[first].at {
				first = i
			}
		}
		c := calls[first]
		calls = append(calls[:first], calls[first+1:]...)
		e := Estimate{Queue: max(free-c.at, 0), Processing: own, LatencyTarget: target, Remaining: left}
		if !remember {
			controller = New()
		}
		v := controller.Decide("s", 1, e)
		switch {
		case v.Admit:
			free = max(free, c.at) + own
			served++
		case c.retried:
			twice++
		default:
			calls = append(calls, call{at: c.at + v.RetryAfter, retried: true})
		}
	}
	return served, twice
}

// TestRetryAfter checks bursts in which most requests are rejected: the queue
// stays just above the limit, so that the time in which its excess is worked
// off would bring callers back into the same burst.
func TestRetryAfter(t *testing.T) {
	Convey("When Retry-After grows with the share of rejected requests", t, func() {
		served, twice := simulateRetries(true)
		servedReset, twiceReset := simulateRetries(false)
		Convey("more callers are served and fewer are rejected twice", func() {
			So(served, ShouldBeGreaterThan, servedReset)
			So(twice, ShouldBeLessThan, twiceReset)
		})
	})
}
