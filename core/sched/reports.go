package sched

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/route"
)

// report applies a load report of an upstream.
func (s *Scheduler) report(l LoadReport) {
	i, ok := s.upstreams.find(l.Upstream)
	if !ok {
		return
	}
	s.setIncarnation(i, l.Incarnation)
	x, e := &s.upstreamStates[i], &s.router.Engines[i]
	x.leaving = x.leaving || l.Leaving
	if !e.Reported || l.At >= e.ReportedAt {
		e.Role = l.Role
	}
	s.learnSpeedFromCounters(i, l)
	s.updateEngine(i)
	e.Report(route.Load{
		At: l.At, Running: l.Running, Waiting: l.Waiting, WaitingPrompt: float64(l.WaitingPromptTokens),
		KVUsed: float64(l.KVUsedTokens), KVCapacity: float64(l.KVCapacityTokens),
	})
	s.dispatchQueued(x.group)
}

// maxCounterSpan bounds the time between two reports whose counters are
// compared.
const maxCounterSpan = 3 * time.Second

// learnSpeedFromCounters learns an engine's speed from the tokens that it
// processed between two reports. Unlike the first-token time, this is not
// distorted by requests that share an iteration.
func (s *Scheduler) learnSpeedFromCounters(i int32, l LoadReport) {
	x := &s.upstreamStates[i]
	last := x.lastReport
	span := l.At - last.At
	if span <= 0 {
		return
	}
	x.lastReport = l
	known := last.PrefilledTotal+last.GeneratedTotal > 0 && last.Incarnation == l.Incarnation && last.Role == l.Role
	if !known || span > maxCounterSpan || s.config.Ablation.NoLearning {
		return
	}
	prefilled, generated := float64(l.PrefilledTotal-last.PrefilledTotal), float64(l.GeneratedTotal-last.GeneratedTotal)
	if l.Role == fleet.RolePrefill && last.WaitingPromptTokens > 0 && l.WaitingPromptTokens > 0 && prefilled > 0 {
		s.speeds.ObserveThroughput(i, l.Role, span.Seconds()/prefilled)
	}
	running := float64(last.Running+l.Running) / 2
	if l.Role != fleet.RolePrefill && last.Running > 0 && l.Running > 0 && generated > running {
		step := running * span.Seconds() / generated
		s.router.Engines[i].ObserveTokenGap(s.now, step)
		s.speeds.ObserveStep(i, l.Role, running, float64(last.KVUsedTokens+l.KVUsedTokens)/2, step)
	}
}

// setIncarnation records an upstream's incarnation. If it has restarted, its
// load, its prefix index and the Leaving mark are reset.
func (s *Scheduler) setIncarnation(i int32, incarnation fleet.Incarnation) {
	x := &s.upstreamStates[i]
	if incarnation == "" || x.incarnation == incarnation {
		return
	}
	known := x.incarnation != ""
	x.incarnation = incarnation
	if !known {
		return
	}
	x.leaving = false
	s.router.Engines[i].Reset()
	if s.blocks != nil {
		s.blocks.DropEngine(i)
	}
}

// setState applies a change of an upstream's availability.
func (s *Scheduler) setState(ev UpstreamState) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok {
		return
	}
	s.setIncarnation(i, ev.Incarnation)
	x := &s.upstreamStates[i]
	x.available = ev.Available
	// Only a new incarnation clears leaving.
	x.leaving = x.leaving || ev.Leaving
	s.router.Engines[i].Role = ev.Role
	s.updateEngine(i)
	s.dispatchQueued(x.group)
}

// hold stops or resumes the dispatch of new work to an upstream.
func (s *Scheduler) hold(ev Hold) {
	i, ok := s.upstreams.find(ev.Upstream)
	if !ok {
		return
	}
	s.upstreamStates[i].held = ev.On
	s.updateEngine(i)
	s.dispatchQueued(s.upstreamStates[i].group)
}

// cacheUpdate applies an engine's cache events to the prefix index.
func (s *Scheduler) cacheUpdate(ev CacheUpdate) {
	if i, ok := s.upstreams.find(ev.Upstream); ok && s.blocks != nil {
		s.blocks.Update(i, ev.Sequence, ev.Stored, ev.Evicted)
	}
}
