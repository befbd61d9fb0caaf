// Package fleetsize decides how many servers of which kind a service has in each
// data centre. Until demand has been measured, the number of servers stays the
// same and regular servers are replaced by spot servers. Then the fleet is the
// cheapest one that carries the highest demand of the last minute within the
// latency targets, also after the platform reclaims all spot servers of one data
// centre or one data centre is lost. Servers are ordered at once when they are
// missing, and given up in small steps.
package fleetsize

import (
	"sort"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Pool names the servers of one kind in one data centre.
type Pool struct {
	DataCentre fleet.DataCentre
	Spot       bool
}

// Order sets the number of servers of a pool.
type Order struct {
	Pool
	Servers int
}

// Result says what became of an order.
type Result uint8

// Results of an order.
const (
	// ResultAccepted means that the order is in force.
	ResultAccepted Result = iota
	// ResultUnavailable means that no server of the kind is available there.
	ResultUnavailable
	// ResultDelayed means that the order certainly has no effect.
	ResultDelayed
	// ResultUnknown means that the order may have been executed, or may be
	// executed seconds later.
	ResultUnknown
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"accepted", "unavailable", "delayed", "unknown"}[r]
}

// Input is what a decision is made from.
type Input struct {
	Service *routes.Service
	// Servers are the listed servers of the service, those that leave included.
	Servers []placement.EngineState
	Load    placement.ServiceLoad
	// Current reports whether the list of servers is up to date. Servers are
	// given up only then.
	Current bool
}

// Record is what a successor must know: the numbers of servers at the start, and
// the orders in force.
type Record struct {
	Initial map[fleet.DataCentre]int
	Orders  []Order
}

const (
	// settleTime is the time from the last growth of the list until the first
	// orders, so that all data centres are known; maxSettleTime bounds the wait.
	settleTime, maxSettleTime = 900 * time.Millisecond, 3 * time.Second
	// lateTime is the time after BootTime from which a server that is ordered and
	// not listed counts as missing.
	lateTime = 4 * time.Second
	// reclaimTime is how long no spot servers are ordered in a data centre from
	// the reclaim of those there: none are available for 8 to 10 s. A refusal up
	// to maxReclaim later belongs to the same reclaim.
	reclaimTime, maxReclaim = 9 * time.Second, 14 * time.Second
	// returnTime is the time after a reclaim in which spot servers that nobody
	// ordered are kept, once they have been listed for returnDelay; servers that are
	// given up leave sooner.
	returnTime, returnDelay = time.Minute, 3 * time.Second
	// unavailableTime is the wait after a refusal for lack of servers; it doubles
	// with every second refusal up to maxUnavailable.
	unavailableTime, maxUnavailable = 2500 * time.Millisecond, 10 * time.Second
	// marginWait is how long what is missing for a peak or after another loss waits
	// for spot servers: about as long as none are available after a reclaim.
	// Regular ones cost several times as much.
	marginWait = 12 * time.Second
	// missingTime is how long servers are ordered elsewhere after ordered ones
	// have not come.
	missingTime = 5 * time.Second
	// surplusInterval is the time from which more servers than ordered are
	// noticed, and between two repeats of the order.
	surplusInterval = 10 * time.Second
	// lateExecution is how long an order without an answer may be executed, and
	// repeatInterval the time between two repeats of the valid order meanwhile.
	lateExecution  = 12 * time.Second
	repeatInterval = 4 * time.Second
	// maxUnknown is the number of orders without an answer after which the number
	// of servers is decided again, since the API may reject the order in a way that
	// is not known here.
	maxUnknown = 8
	// minRetry and maxRetry bound the wait after an order that had no effect or
	// an unknown one.
	minRetry, maxRetry = 500 * time.Millisecond, 4 * time.Second
	// maxOrders bounds the orders of one decision, of the calls that all
	// instances together may make per second.
	maxOrders = 10
)

// Planner decides for one service. It is not safe for concurrent use.
type Planner struct {
	pools map[Pool]*pool
	// initial is the number of servers at the start by data centre.
	initial map[fleet.DataCentre]int
	// ordered reports whether any order has been made, and reduced whether any
	// server has been given up; initial is final then, except for data centres
	// without an order.
	ordered, reduced bool
	// started reports whether a decision was made, and startedAt is the time of
	// the first one. inherited reports whether there was a predecessor.
	started, inherited bool
	startedAt          fleet.Instant
	listed             int
	grownAt            fleet.Instant
	// shortSince is when servers were first short; never if they are not.
	shortSince fleet.Instant
	// raisedAt is when servers were last ordered because they were short,
	// reducedAt that of the last reduction, replacedAt that of the last order of
	// replacements, and failedAt that of the last order without effect or answer.
	raisedAt, reducedAt, replacedAt, failedAt fleet.Instant
	// predecessor holds the numbers of servers that a predecessor ordered; nil
	// without one.
	predecessor map[Pool]int
	meter       meter
	reason      Reason
}

// Reason says what the last change of the orders follows; its values are logged.
type Reason string

// Reasons for a change.
const (
	// ReasonStart means that regular servers are replaced before traffic.
	ReasonStart Reason = "start"
	// ReasonShort means that servers are missing.
	ReasonShort Reason = "short"
	// ReasonCheaper means that servers are not needed or replaced by cheaper ones.
	ReasonCheaper Reason = "cheaper"
)

// never is before any time at which a decision is made.
const never = -24 * time.Hour

// New returns a planner that continues from a record; its orders are repeated
// once, so that a late order of a predecessor cannot replace them.
func New(r Record) *Planner {
	p := &Planner{pools: map[Pool]*pool{}, initial: map[fleet.DataCentre]int{}, grownAt: never, shortSince: never, raisedAt: never, reducedAt: never, replacedAt: never, failedAt: never, meter: meter{incompleteAt: never}}
	for dc, n := range r.Initial {
		p.initial[dc] = n
		p.reduced = true
	}
	for _, o := range r.Orders {
		s := p.pool(o.Pool)
		s.wanted, s.inForce, s.accepted, s.inherited = o.Servers, o.Servers, false, true
		p.ordered, p.inherited = true, true
	}
	if p.inherited {
		p.predecessor = p.counts(func(s *pool) int { return s.wanted })
	}
	return p
}

// beforeTraffic reports whether the fleet may be replaced at once, since nothing
// runs there yet. The demand for services without engines is not measured, so
// that it is assumed to begin within quietTime.
func (p *Planner) beforeTraffic(in Input, now fleet.Instant) bool {
	return in.Load.MeasuredFor == 0 && (in.Service.Engine != nil || (!p.inherited && now-p.startedAt < quietTime))
}

func (p *Planner) pool(id Pool) *pool {
	s := p.pools[id]
	if s == nil {
		s = newPool(id)
		p.pools[id] = s
	}
	return s
}

// Record returns what a successor must know.
func (p *Planner) Record() Record {
	r := Record{Initial: map[fleet.DataCentre]int{}}
	for dc, n := range p.initial {
		r.Initial[dc] = n
	}
	for _, s := range p.sorted() {
		r.Orders = append(r.Orders, Order{Pool: s.Pool, Servers: s.wanted})
	}
	return r
}

// Peak returns the highest demand of the last peakTime in fully used engines at
// each stage.
func (p *Planner) Peak(now fleet.Instant) (prefill, decode float64) {
	w, _ := p.meter.peak(now)
	return w.prefill, w.decode
}

// Reason returns what the last change of the orders follows.
func (p *Planner) Reason() Reason { return p.reason }

// sorted returns the pools in a fixed order.
func (p *Planner) sorted() []*pool {
	out := make([]*pool, 0, len(p.pools))
	for _, s := range p.pools {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].DataCentre != out[j].DataCentre {
			return out[i].DataCentre < out[j].DataCentre
		}
		return !out[i].Spot && out[j].Spot
	})
	return out
}

// Decide returns the orders to send now, increases first. The result of each must
// be passed to Finish before the next decision.
func (p *Planner) Decide(in Input, now fleet.Instant) []Order {
	if in.Service.Scaling == nil || (!p.started && !in.Current) {
		return nil
	}
	if !p.started {
		p.started, p.startedAt = true, now
	}
	p.observe(in, now)
	if len(p.pools) == 0 || (now-p.grownAt < settleTime && now-p.startedAt < maxSettleTime) {
		return nil
	}
	ready, expected := 0, 0
	for _, s := range p.pools {
		ready, expected = ready+s.ready, expected+max(s.expected(), s.ready)
	}
	p.meter.add(in, ready, expected, now)
	p.raise(in, now)
	if mayReduce := p.mayReduce(in, now); mayReduce || p.mayReplaceRegular(in, now) {
		p.reduce(in, !mayReduce, now)
	}
	return p.due(in, now)
}

// observe counts the listed servers and applies what they show about the orders.
func (p *Planner) observe(in Input, now fleet.Instant) {
	for _, s := range p.pools {
		s.ready, s.reclaimed = 0, 0
	}
	total := 0
	for _, e := range in.Servers {
		for _, spot := range []bool{false, true} {
			p.pool(Pool{e.DataCentre, spot})
		}
		s := p.pool(Pool{e.DataCentre, e.Spot})
		switch {
		case !e.Leaving:
			s.ready++
			total++
		case e.Spot && e.LeavesIn > 0:
			s.reclaimed++
		}
	}
	if total > p.listed && !p.ordered {
		p.grownAt = now
	}
	p.listed = total
	for _, s := range p.pools {
		s.observe(in.Service.Scaling.BootTime+lateTime, in.Service.Scaling.Max, now)
		if !p.ordered || (in.Load.MeasuredFor == 0 && (!p.reduced || !p.changed(s.DataCentre))) {
			p.initial[s.DataCentre] = max(p.initial[s.DataCentre], p.startNumber(s.DataCentre))
		}
	}
}

// changed reports whether any order was made for a data centre.
func (p *Planner) changed(dc fleet.DataCentre) bool {
	for _, spot := range []bool{false, true} {
		if s := p.pool(Pool{dc, spot}); s.ordered || s.inherited {
			return true
		}
	}
	return false
}

// startNumber returns the number of servers of a data centre that were there
// before any order.
func (p *Planner) startNumber(dc fleet.DataCentre) int {
	n := p.pool(Pool{dc, false}).ready
	if !p.ordered {
		n += p.pool(Pool{dc, true}).ready
	}
	return n
}

// raise orders servers if those that are there or on their way are too few. For
// marginWait, regular servers are ordered only for what carries the present demand.
func (p *Planner) raise(in Input, now fleet.Instant) {
	need := p.raiseNeed(in, now)
	have := p.counts(func(s *pool) int { return s.expected() })
	p.shortSince = since(p.shortSince, !need.metBy(have), now)
	if p.shortSince == never {
		return
	}
	target := p.cheapest(in.Service.Scaling, p.raiseTarget(in, now), have, false, now)
	if now-p.shortSince < marginWait && regularBeyond(target, have) > 0 {
		target = p.cheapest(in.Service.Scaling, p.raiseTarget(in, now), have, true, now)
		if !p.presentNeed(in, 1, now).metBy(target) {
			target = p.cheapest(in.Service.Scaling, p.presentNeed(in, raiseMargin, now), target, false, now)
		}
	}
	for _, s := range p.sorted() {
		// The wanted number is not lowered for servers that are late.
		other := p.pool(Pool{s.DataCentre, !s.Spot}).wanted
		if n := min(target[s.Pool], in.Service.Scaling.Max-other); n > max(s.wanted, have[s.Pool]) {
			p.order(in, s, n, ReasonShort, now)
			p.raisedAt = now
		}
	}
}

func (p *Planner) order(in Input, s *pool, n int, reason Reason, now fleet.Instant) {
	if n > s.wanted {
		// An increase must not end servers that are there without an order.
		n = min(max(n, s.ready), in.Service.Scaling.Max-p.pool(Pool{s.DataCentre, !s.Spot}).wanted)
	}
	s.order(n, now)
	p.ordered, p.reason = true, reason
}

func (p *Planner) counts(of func(*pool) int) map[Pool]int {
	out := make(map[Pool]int, len(p.pools))
	for id, s := range p.pools {
		out[id] = of(s)
	}
	return out
}

// due returns the orders that have no result yet and whose time has come. No
// order to give up servers is sent while the list of servers may be outdated.
func (p *Planner) due(in Input, now fleet.Instant) []Order {
	var more, fewer []Order
	for _, s := range p.sorted() {
		switch o := (Order{Pool: s.Pool, Servers: s.wanted}); {
		case s.accepted || now < s.retryAt:
		case s.wanted >= s.ready:
			more = append(more, o)
		case in.Current:
			fewer = append(fewer, o)
		}
	}
	out := append(more, fewer...)
	return out[:min(len(out), maxOrders)]
}

// Finish stores the result of an order.
func (p *Planner) Finish(o Order, r Result, now fleet.Instant) {
	if r == ResultDelayed || r == ResultUnknown {
		p.failedAt = now
	}
	p.pool(o.Pool).finish(o.Servers, r, now)
}
