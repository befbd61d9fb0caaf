package sched

import (
	"math"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fair"
	"github.com/bramleywick/bramleywick/core/route"
)

// maxLeadSeconds bounds, in seconds of the member's fair share, the service
// received while others were idle that is counted against a member. It is a
// minute because the share error is specified over a minute.
const maxLeadSeconds = 60

// configure puts a declaration in force. Members, kinds and upstreams that it
// no longer contains keep their state but are marked as not declared.
func (s *Scheduler) configure(d *declare.Declaration) {
	s.configured = true
	for i := range s.kindStates {
		s.kindStates[i].declared = false
	}
	for i := range s.memberStates {
		s.memberStates[i].declared = false
	}
	for i := range s.upstreamStates {
		s.upstreamStates[i].declared = false
	}
	for i := range d.Groups {
		s.configureGroup(&d.Groups[i])
	}
	for i := range d.Kinds {
		s.configureKind(&d.Kinds[i])
	}
	for i := range d.Upstreams {
		s.configureUpstream(&d.Upstreams[i])
	}
	s.rebuildGroups(d)
	s.configureMembers(d.Members)
	s.refreshCostUnits()
}

func (s *Scheduler) configureGroup(g *declare.Group) {
	i := s.groups.intern(g.Name)
	for int(i) >= len(s.groupStates) {
		s.groupStates = append(s.groupStates, groupState{queue: fair.New()})
		s.router.Groups = append(s.router.Groups, nil)
	}
	s.groupStates[i].service = g.Type == declare.GroupService
}

// defaultTokenGapTarget is the token gap target, in seconds, of kinds that
// declare none. Without one, a backlog of such requests fills a few engines
// with batches so large that prefill there almost stops.
const defaultTokenGapTarget = 0.15

func (s *Scheduler) configureKind(k *declare.Kind) {
	group, ok := s.groups.find(k.Group)
	if !ok {
		return
	}
	i := s.kinds.intern(k.Name)
	for int(i) >= len(s.kindStates) {
		s.kindStates = append(s.kindStates, kindState{firstTokenError: firstTokenError{mean: 1}})
	}
	s.kindStates[i] = kindState{
		declared: true, kind: *k, group: group, firstTokenError: s.kindStates[i].firstTokenError,
		firstTokenTarget: k.FirstTokenTarget.Seconds(), tokenGapTarget: k.TokenGapTarget.Seconds(), deadline: k.Deadline.Seconds(),
	}
	if k.TokenGapTarget == 0 {
		s.kindStates[i].tokenGapTarget = defaultTokenGapTarget
	}
	s.tokens.Grow(len(s.kindStates))
}

func (s *Scheduler) configureUpstream(u *declare.Upstream) {
	group, ok := s.groups.find(u.Group)
	if !ok {
		return
	}
	i := s.upstreams.intern(u.ID)
	for int(i) >= len(s.upstreamStates) {
		s.upstreamStates = append(s.upstreamStates, upstreamState{available: true, group: -1})
		s.router.Engines = append(s.router.Engines, route.Engine{Role: u.Role, ServiceTime: initialServiceSeconds})
	}
	x := &s.upstreamStates[i]
	x.declared, x.dataCentre, x.group = true, u.DataCentre, group
	e := &s.router.Engines[i]
	e.Group = u.Group
	e.SameDataCentre = u.DataCentre == s.config.DataCentre
	s.speeds.SetGroup(i, group)
	s.speeds.SetDeclaredSpeed(i, u.Speed)
	if s.blocks != nil {
		s.blocks.Grow(len(s.upstreamStates))
	}
	s.updateEngine(i)
}

// updateEngine copies the availability and learned speed of upstream i to the
// router.
func (s *Scheduler) updateEngine(i int32) {
	x, e := &s.upstreamStates[i], &s.router.Engines[i]
	e.Usable = x.declared && x.available && !x.leaving && !x.held
	e.Speed = s.speeds.Of(i, e.Role)
}

// rebuildGroups sets the router's list of upstreams per group and updates every
// engine.
func (s *Scheduler) rebuildGroups(d *declare.Declaration) {
	for g := range s.router.Groups {
		s.router.Groups[g] = s.router.Groups[g][:0]
	}
	for i := range d.Upstreams {
		if u, ok := s.upstreams.find(d.Upstreams[i].ID); ok {
			g := s.upstreamStates[u].group
			s.router.Groups[g] = append(s.router.Groups[g], u)
		}
	}
	for i := range s.upstreamStates {
		s.updateEngine(int32(i))
	}
}

// configureMembers sets the members' shares, a share of 1 where none is
// declared, and the limits per group that depend on the sum of the shares.
func (s *Scheduler) configureMembers(members []declare.Member) {
	total := 0.0
	for i := range members {
		m := s.members.intern(members[i].ID)
		for int(m) >= len(s.memberStates) {
			s.memberStates = append(s.memberStates, memberState{})
		}
		share := members[i].Share
		if share <= 0 {
			share = 1
		}
		s.memberStates[m].declared, s.memberStates[m].share = true, share
		total += share
	}
	for g := range s.groupStates {
		q := s.groupStates[g].queue
		for m := range s.memberStates {
			q.SetWeight(int32(m), s.memberStates[m].share)
		}
		perSecond := float64(len(s.router.Groups[g])) / math.Max(total, 1e-9)
		q.SetMaxLead(maxLeadSeconds * perSecond)
		s.groupStates[g].leadSlack = leadSlackSeconds * perSecond
	}
}
