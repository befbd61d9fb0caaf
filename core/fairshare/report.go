package fairshare

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
)

const (
	// minRate is the least rate that is told apart from 0.
	minRate = 1e-3
	// maxMembers bounds the members in the report of one service, and maxServices
	// the services in a report.
	maxMembers  = 64
	maxServices = 8
	// maxKnownServices bounds the services that reports of others add, and
	// maxNameBytes the length of their names.
	maxKnownServices = 1024
	maxNameBytes     = 256
	// entryBytes is the size of a member in a report: its key, and the logarithm of
	// its rate in steps of 0.04%.
	entryBytes = 6
	rateSteps  = 2300
	// minRequests is the number of requests that a rate is measured by well enough
	// to put members in order.
	minRequests = 10
	// maxRate bounds a reported rate.
	maxRate = 1e9
)

// ServiceReport holds the rates of one service at the sender and, on a hub, at the
// instances that it reports for.
type ServiceReport struct {
	// Members holds members with their rates, entryBytes each, and Rest the sum of
	// the rates of the others.
	Members []byte
	Rest    float64
	// Accepted and Refused are the rates of what was sent to servers and of what
	// was refused for want of room.
	Accepted, Refused float64
}

// Report is what one instance tells another.
type Report map[fleet.GroupName]ServiceReport

// ReportFor returns the report to an instance; nil if there is nothing to say. It
// includes the rates of the instances for which include returns true. The report is
// due about once a second.
func (c *Controller) ReportFor(include func(fleet.InstanceID) bool, now fleet.Instant) Report {
	type candidate struct {
		group fleet.GroupName
		rates rates
	}
	var all []candidate
	for group, s := range c.services {
		r := s.own(now)
		for id, peer := range s.peers {
			if now-peer.at <= peerTTL && include(id) {
				r.add(peer.rates)
				r.sparse = false
			}
		}
		if r.accepted+r.refused > minRate || len(r.offered) > 0 {
			all = append(all, candidate{group, r})
		}
	}
	if len(all) == 0 {
		return nil
	}
	// The services that refuse most come first.
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rates.refused, a.rates.refused), cmp.Compare(a.group, b.group))
	})
	out := Report{}
	for _, s := range all[:min(len(all), maxServices)] {
		out[s.group] = s.rates.encode(now)
	}
	return out
}

// encode returns the rates as a report. Of more than maxMembers the highest rates are
// kept. Of sparse rates a sample is kept that has the right sums on average (threshold
// sampling: Duffield, Lund, Thorup 2001): a member with few requests at each of many
// instances would be left out at a part of them. Of other rates a sample would only add
// noise.
func (r rates) encode(now fleet.Instant) ServiceReport {
	out := ServiceReport{Rest: r.rest, Accepted: r.accepted, Refused: r.refused}
	keys := slices.SortedFunc(maps.Keys(r.offered), func(a, b memberKey) int {
		return cmp.Or(cmp.Compare(r.offered[b], r.offered[a]), cmp.Compare(a, b))
	})
	left := 0.0
	for _, rate := range r.offered {
		left += rate
	}
	// least is the rate from which on members are kept. Each of the others is kept
	// with the probability rate/least and stands for least.
	whole, least := 0, 0.0
	for r.sparse && len(keys) > maxMembers && whole < maxMembers {
		least = left / float64(maxMembers-whole)
		if r.offered[keys[whole]] < least {
			break
		}
		left -= r.offered[keys[whole]]
		whole++
	}
	// The offset differs from report to report.
	sum := float64(membership.Hash(strconv.FormatInt(int64(now), 36))%sampleSteps) / sampleSteps
	for i, key := range keys {
		rate := r.offered[key]
		if least > 0 && i >= whole {
			before := math.Floor(sum)
			sum += rate / least
			if math.Floor(sum) == before {
				continue
			}
			rate = least
		}
		if len(out.Members) == maxMembers*entryBytes {
			out.Rest += rate
			continue
		}
		steps := math.Round(rateSteps * math.Log1p(min(rate, maxRate)/minRate))
		out.Members = binary.LittleEndian.AppendUint32(out.Members, uint32(key))
		out.Members = binary.LittleEndian.AppendUint16(out.Members, uint16(min(steps, math.MaxUint16)))
	}
	return out
}

// sampleSteps is the number of offsets of a sample.
const sampleSteps = 1 << 20

// decode returns the rates of a report, or an error for one that no instance sends.
func (r ServiceReport) decode() (rates, error) {
	out := rates{offered: make(map[memberKey]float64, len(r.Members)/entryBytes), rest: r.Rest, accepted: r.Accepted, refused: r.Refused}
	if len(r.Members)%entryBytes != 0 || len(r.Members) > maxMembers*entryBytes {
		return out, errors.Errorf("Members: %d bytes", len(r.Members))
	}
	for _, rate := range []float64{r.Rest, r.Accepted, r.Refused} {
		if !(rate >= 0 && rate <= maxRate*maxMembers) {
			return out, errors.Errorf("a rate of %v", rate)
		}
	}
	for entry := range slices.Chunk(r.Members, entryBytes) {
		steps := binary.LittleEndian.Uint16(entry[4:])
		out.offered[memberKey(binary.LittleEndian.Uint32(entry))] = minRate * math.Expm1(float64(steps)/rateSteps)
	}
	return out, nil
}

// Check returns an error for a report that no instance sends.
func (r Report) Check() error {
	if len(r) > maxServices {
		return errors.Errorf("%d services", len(r))
	}
	for group, s := range r {
		if _, err := s.decode(); err != nil || group == "" || len(group) > maxNameBytes {
			return errors.Errorf("rates of %.64q: %v", group, err)
		}
	}
	return nil
}

// Receive applies the report of another instance. One that no instance sends is
// ignored.
func (c *Controller) Receive(from fleet.InstanceID, report Report, now fleet.Instant) {
	if report.Check() != nil {
		return
	}
	for group, r := range report {
		if c.services[group] == nil && len(c.services) >= maxKnownServices {
			continue
		}
		// A checked report can be decoded.
		rates, _ := r.decode()
		c.service(group).peers[from] = received{rates: rates, at: now}
	}
}
