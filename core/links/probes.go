package links

import (
	"cmp"
	"maps"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// round is a round of probes.
type round struct {
	id uint64
	// suspicion is the reason for the round, "" in a partition.
	suspicion Reason
	// stage is the number of stages that have begun.
	stage int
	// asked are the servers that were probed, and open the number of probes without
	// a result.
	asked map[string]bool
	open  int
	// refused reports whether a probe was refused, and heard whether bytes came from
	// any server since the round began.
	refused, heard bool
}

func (d *Detector) newRound(suspicion Reason) *round {
	d.rounds++
	return &round{id: d.rounds, suspicion: suspicion, asked: map[string]bool{}}
}

// probes adds up to n probes to the round.
func (d *Detector) probes(n int) []Probe {
	var out []Probe
	for range n {
		l := d.pick(d.round.asked)
		if l == nil {
			break
		}
		out = append(out, d.ask(l.Address))
	}
	return out
}

// ask adds a probe of a server to the round.
func (d *Detector) ask(address string) Probe {
	d.round.asked[address] = true
	d.round.open++
	return Probe{Address: address, round: d.round.id}
}

// Controls returns up to n servers besides one that tell most about the links; none if
// too few are listed to tell a partition from servers that are down.
func (d *Detector) Controls(besides string, n int) (out []string) {
	if len(d.order) < minListed {
		return nil
	}
	asked := map[string]bool{besides: true}
	for range n {
		if l := d.pick(asked); l != nil {
			asked[l.Address] = true
			out = append(out, l.Address)
		}
	}
	return out
}

// pick returns the server that tells most about the links besides those that were
// asked, or nil. Servers of one service or one data centre often fail together, so
// others come first, and then those that have not failed and were heard last.
func (d *Detector) pick(asked map[string]bool) *link {
	groups, centres := map[fleet.GroupName]int{}, map[fleet.DataCentre]int{}
	for address := range asked {
		if l := d.links[address]; l != nil {
			groups[l.Group]++
			centres[l.DataCentre]++
		}
	}
	var best *link
	for _, l := range d.order {
		if asked[l.Address] {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(groups[l.Group]+centres[l.DataCentre], groups[best.Group]+centres[best.DataCentre]),
			compareBool(l.failing, best.failing),
			cmp.Compare(best.heardAt, l.heardAt),
		) < 0 {
			best = l
		}
	}
	return best
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Probed records the result of a probe.
func (d *Detector) Probed(p Probe, r Result, now fleet.Instant) {
	current := d.round != nil && d.round.id == p.round
	if current {
		d.round.open--
		d.round.refused = d.round.refused || r == ResultRefused
	}
	switch {
	case r == ResultOpened:
		d.Opened(p.Address, now)
	case d.links[p.Address] != nil:
		l := d.links[p.Address]
		l.failing, l.failedAt = true, now
	}
}

// nextStage asks for the next probes of a suspicion once those before have failed, and
// decides after the last.
func (d *Detector) nextStage(now fleet.Instant) []Probe {
	r := d.round
	if r.open > 0 {
		return nil
	}
	silent := !r.refused && !r.heard
	if r.stage < len(probeStages) && !(silent && r.stage == len(probeStages)-1) {
		r.stage++
		if out := d.probes(probeStages[r.stage-1]); len(out) > 0 {
			return out
		}
	}
	if len(r.asked) < minListed {
		d.endSuspicion(ReasonFewServers, now)
		return nil
	}
	d.partition(Change{Reason: ReasonProbesFailed, Suspicion: r.suspicion, Probed: len(r.asked)}, now)
	return nil
}

// probe asks for the next probe in a partition: of the server that was reached last, or
// of a random one.
func (d *Detector) probe(now fleet.Instant) []Probe {
	if d.round != nil && d.round.open > 0 || now < d.probeAt || len(d.order) == 0 {
		return nil
	}
	d.probeAt = now + d.jittered(probeInterval)
	d.round = d.newRound("")
	maps.DeleteFunc(d.reached, func(address string, at fleet.Instant) bool { return now-at > reachedTTL || d.links[address] == nil })
	if len(d.reached) == 0 {
		return []Probe{d.ask(d.order[min(int(d.draw()*float64(len(d.order))), len(d.order)-1)].Address)}
	}
	var out []Probe
	for address := range d.reached {
		if now-d.reachedFrom >= reachedAgain {
			out = append(out, d.ask(address))
		} else {
			d.round.asked[address] = true
		}
	}
	return append(out, d.probes(confirmProbes)...)
}

// reach records that a server was reached in a partition. After the first one a few
// more are probed at once; a second one, or the same one again, ends the partition.
func (d *Detector) reach(address string, now fleet.Instant) {
	maps.DeleteFunc(d.reached, func(_ string, at fleet.Instant) bool { return now-at > reachedTTL })
	if len(d.reached) == 0 {
		d.reachedFrom = now
		d.probeAt = now
	}
	d.reached[address] = now
	if len(d.reached) < 2 && now-d.reachedFrom < reachedAgain {
		return
	}
	change := Change{Reason: ReasonReached, Probed: len(d.reached)}
	d.round = nil
	clear(d.reached)
	d.forgetFailures(d.reachedFrom)
	d.quietFrom, d.quiet = now, minQuiet
	d.share, d.shareAt = firstShare, now+shareInterval
	d.setState(Returning, change, now)
}
