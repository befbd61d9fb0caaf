// Package budget bounds how many extra requests an instance sends to a
// service: everything beyond the first of each caller's request. All instances
// together stay within a share of the callers' requests and a fixed slack per
// sliding window. Each instance takes an equal part of the slack, so that no
// exchange is needed and a cut between instances changes nothing.
package budget

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Config is the bound that all instances keep together.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the extra requests allowed per request of a caller.
	Ratio float64
	// Slack is the extra requests allowed besides, for all instances together.
	Slack float64
}

const (
	// useOfRatio and useOfSlack keep a distance to the bound: requests that
	// arrive in the window count where they are sent, not where they arrive.
	useOfRatio = 0.85
	useOfSlack = 0.8
	// buckets divide the window. The window of the bound slides, so a bucket
	// more than the window holds counts.
	buckets = 20
)

type service struct {
	first  [buckets + 1]int
	extra  [buckets + 1]int
	bucket int64
}

// Budget counts the requests of one instance. Not safe for concurrent use.
type Budget struct {
	config    Config
	instances int
	services  map[fleet.GroupName]*service
}

// New returns a budget for a deployment with the given number of instances.
func New(config Config, instances int) *Budget {
	b := &Budget{config: config, services: map[fleet.GroupName]*service{}}
	b.SetInstances(instances)
	return b
}

// SetInstances divides the slack among n instances. The number only grows
// within a process: an instance that is cut off may still send.
func (b *Budget) SetInstances(n int) { b.instances = max(b.instances, n, 1) }

func (b *Budget) at(name fleet.GroupName, now fleet.Instant) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	bucket := int64(now / (b.config.Window / buckets))
	if bucket-s.bucket > buckets {
		*s = service{bucket: bucket}
	}
	for s.bucket < bucket {
		s.bucket++
		i := s.bucket % (buckets + 1)
		s.first[i], s.extra[i] = 0, 0
	}
	return s
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(name fleet.GroupName, now fleet.Instant) {
	s := b.at(name, now)
	s.first[s.bucket%(buckets+1)]++
}

// Spend counts an extra request and tells whether it is within the bound.
func (b *Budget) Spend(name fleet.GroupName, now fleet.Instant) bool {
	s := b.at(name, now)
	first, extra := 0, 0
	for i := range s.first {
		first += s.first[i]
		extra += s.extra[i]
	}
	slack := b.config.Slack * useOfSlack / float64(b.instances)
	if float64(extra+1) > float64(first)*b.config.Ratio*useOfRatio+slack {
		return false
	}
	s.extra[s.bucket%(buckets+1)]++
	return true
}

// Refund gives back an extra request that was taken and not sent.
func (b *Budget) Refund(name fleet.GroupName, now fleet.Instant) {
	s := b.at(name, now)
	i := s.bucket % (buckets + 1)
	s.extra[i] = max(s.extra[i]-1, 0)
}
