package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

// Other instances choose servers too, from views as old as this one. If all of
// them took the server with the least known wait, it would get the requests of
// the whole fleet until the next reports. The choice therefore follows the
// interpretation of stale load by Dahlin (Interpreting Stale Load Information,
// 2000): it estimates how many requests the other instances have sent since the
// view was taken, fills the servers with these requests up to a common wait,
// and draws a server in proportion to what it is given. Without other instances
// or with a fresh view this is the least wait; with a view as old as a request
// lasts it is a choice by capacity.

// peerView says how old the newest report of another instance is.
type peerView struct {
	receivedAt fleet.Instant
	// age is the mean age of the reported work when it was received.
	age time.Duration
	// runs is the number of reported runs.
	runs int
	// demand is the reported demand by service.
	demand map[fleet.GroupName]Demand
}

// viewAge returns the mean age of what the other instances have reported,
// weighted by their runs; 0 without other instances.
func (f *Fleet) viewAge(now fleet.Instant) time.Duration {
	sum, weight := 0.0, 0.0
	for _, p := range f.peers {
		if now-p.receivedAt > peerWorkTTL {
			continue
		}
		w := float64(p.runs + 1)
		sum += w * float64(p.age+now-p.receivedAt)
		weight += w
	}
	if weight == 0 {
		return 0
	}
	return time.Duration(sum / weight)
}

// option is a server that may be drawn.
type option struct {
	server *server
	// fixed is the part of the score that doesn't depend on the server's load.
	fixed time.Duration
	// runs is the estimated number of runs, without those that the other
	// instances have sent since their reports.
	runs float64
	// slots, first and next give the score as a function of the runs: it rises
	// by first from the first run to the last slot, and by next with each run
	// queued beyond.
	slots       float64
	first, next time.Duration
	score       time.Duration
}

// scoreAt returns the score of a request that finds the given number of runs.
func (o *option) scoreAt(runs float64) time.Duration {
	if over := runs - o.slots; over >= 0 {
		return o.fixed + o.first + time.Duration((over+1)*float64(o.next))
	}
	return o.fixed + time.Duration(runs/o.slots*float64(o.first))
}

// room returns how many more runs the server takes until its score reaches the
// level.
func (o *option) room(level time.Duration) float64 {
	above := float64(level - o.fixed)
	var runs float64
	switch {
	case above <= 0:
		return 0
	case above < float64(o.first):
		runs = o.slots * above / float64(o.first)
	case o.next > 0:
		runs = max(o.slots, o.slots-1+(above-float64(o.first))/float64(o.next))
	default:
		runs = o.slots
	}
	return max(runs-o.runs, 0)
}

const (
	// levelSteps is the number of halvings in the search for the common score.
	levelSteps = 24
	// minUnseen is the number of unseen requests below which the least score is
	// taken.
	minUnseen = 0.05
)

// draw returns the index of the drawn option and the number of runs that the
// request is expected to find there. unseen is the number of requests that
// other instances are expected to have sent to the options' servers since their
// reports. The same request draws the same server from the same options.
func draw(options []option, unseen float64, id fleet.RequestID) (drawn int, runs float64) {
	least := 0
	highest := time.Duration(0)
	for i := range options {
		o := &options[i]
		o.score = o.scoreAt(o.runs)
		if o.score < options[least].score {
			least = i
		}
		highest = max(highest, o.score)
	}
	if unseen < minUnseen {
		return least, options[least].runs
	}
	level := commonScore(options, unseen, options[least].score, highest)
	total := 0.0
	for i := range options {
		total += options[i].room(level)
	}
	point := total * float64(membership.Hash("draw", string(id))>>11) / (1 << 53)
	for i := range options {
		if point -= options[i].room(level); point < 0 {
			return i, options[i].runs + options[i].room(level)
		}
	}
	return least, options[least].runs
}

// commonScore returns the score up to which the servers take the given number
// of requests.
func commonScore(options []option, requests float64, low, high time.Duration) time.Duration {
	fits := func(level time.Duration) bool {
		sum := 0.0
		for i := range options {
			if sum += options[i].room(level); sum >= requests {
				return true
			}
		}
		return false
	}
	for width := time.Millisecond; !fits(high); width *= 2 {
		high += width
	}
	for range levelSteps {
		middle := (low + high) / 2
		if fits(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// unseenRequests returns the share of the other instances' reported runs that
// have ended since their reports, given that a request takes duration at its
// server, and the number of requests that they have sent since: in steady load
// as many as have ended.
func (f *Fleet) unseenRequests(othersRuns int, duration time.Duration, now fleet.Instant) (ended, sent float64) {
	ended = min(float64(f.viewAge(now))/float64(max(duration, time.Millisecond)), 1)
	return ended, ended * float64(othersRuns)
}
