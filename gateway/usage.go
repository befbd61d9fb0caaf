package gateway

import (
	"sync/atomic"
	"time"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/usage"
)

// Counter counts the requests of members that began to run.
type Counter interface {
	// Began counts a request; at is on the boottime clock.
	Began(member fleet.MemberID, at fleet.Instant)
}

// usageCount is the state of a request's count.
type usageCount struct {
	counted atomic.Bool
	// sentAt is when the last attempt was sent; 0 before.
	sentAt atomic.Int64
}

// countsUsage reports whether the request is to be counted.
func (p *proxyRequest) countsUsage() bool { return p.g.Usage != nil && p.req.Member != "" }

// countSent records that an attempt is about to be written.
func (p *proxyRequest) countSent() {
	if p.countsUsage() {
		p.usage.sentAt.Store(int64(boottime.Now()))
	}
}

// countBegan counts the request as begun at a time, unless it is counted already.
func (p *proxyRequest) countBegan(at fleet.Instant) {
	if p.countsUsage() && at > 0 && !p.usage.counted.Swap(true) {
		p.g.Usage.Began(p.req.Member, at)
	}
}

// countFirstEvent counts a stream at its first event. One that resumes began with
// an event that its caller has received before.
func (p *proxyRequest) countFirstEvent() {
	if p.countsUsage() && p.req.LastEventID == "" && !p.usage.counted.Load() {
		p.countBegan(boottime.Now())
	}
}

// countPlain counts a plain call as begun when its last attempt was sent.
func (p *proxyRequest) countPlain() { p.countBegan(fleet.Instant(p.usage.sentAt.Load())) }

// presumeBegun counts a plain call as begun if its attempt has no answer after a
// time: its window may be reported before the answer. The caller must call the
// returned function when the attempt ends.
func (p *proxyRequest) presumeBegun() (stop func() bool) {
	p.usage.sentAt.Store(0)
	if !p.countsUsage() {
		return func() bool { return false }
	}
	return time.AfterFunc(usage.PresumeAfter, p.countPlain).Stop
}
