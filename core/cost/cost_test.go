package cost_test

import (
	"math"
	"testing"

	"github.com/bramleywick/bramleywick/core/cost"
	"github.com/bramleywick/bramleywick/core/fleet"
)

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance*math.Abs(b) }

// TestTokens guards against predictions that ignore the member, the kind, the
// limit or the reported usage.
func TestTokens(t *testing.T) {
	p := cost.NewTokens()
	p.Grow(2)
	if got := p.Output(0, 0, 0.5, 400); got != 200 {
		t.Errorf("without samples %v", got)
	}
	for range 200 {
		p.Observe(0, 0, 100, 130, 50)
		p.Observe(1, 0, 100, 130, 500)
	}
	if got := p.Prompt(0, 1000); !near(got, 1300, 0.02) {
		t.Errorf("corrected prompt %v", got)
	}
	if a, b := p.OutputMean(0, 0, 4000), p.OutputMean(1, 0, 4000); !near(a, 50, 0.5) || !near(b, 500, 0.15) {
		t.Errorf("means of the members %v and %v", a, b)
	}
	if got := p.OutputMean(7, 0, 4000); !near(got, 275, 0.05) {
		t.Errorf("a new member gets %v", got)
	}
	if got := p.Output(1, 0, 0.9, 60); got != 60 {
		t.Errorf("limit ignored: %v", got)
	}
	for range 300 {
		p.Observe(0, 0, 100, 130, 1000)
	}
	if got := p.OutputMean(0, 0, 4000); got < 700 {
		t.Errorf("old answers still weigh: %v", got)
	}
}

// TestSpeeds guards against engines that keep the prior, a cost per sequence
// that is lost when all samples have one batch size, and new engines that
// ignore the group's mean.
func TestSpeeds(t *testing.T) {
	s := cost.NewSpeeds(cost.DefaultSpeed)
	for e := range int32(3) {
		s.SetGroup(e, 0)
	}
	for e := range int32(2) {
		factor := 1 + 2*float64(e)
		for i := range 100 {
			batch := float64(1 + i%20)
			s.ObservePrefill(e, fleet.RoleMixed, 3000, 3000*2e-4*factor)
			s.ObserveStep(e, fleet.RoleMixed, batch, 0, (0.01+0.001*batch)*factor)
		}
	}
	s.Refresh()
	for e := range int32(2) {
		factor := 1 + 2*float64(e)
		got := s.Of(e, fleet.RoleMixed)
		if !near(got.PrefillPerToken, 2e-4*factor, 0.15) || !near(got.Step(10, 0), 0.02*factor, 0.15) || !near(got.StepPerSequence, 0.001*factor, 0.3) {
			t.Errorf("engine %d: %+v", e, got)
		}
	}
	if got := s.Of(2, fleet.RoleMixed); !near(got.PrefillPerToken, 2e-4*math.Sqrt(3), 0.2) || !near(got.Step(10, 0), 0.04, 0.2) {
		t.Errorf("new engine: %+v", got)
	}
}

// TestFirstPrefillIsBounded guards against an engine that is never chosen again
// because its only prefill waited behind work that was not known.
func TestFirstPrefillIsBounded(t *testing.T) {
	s := cost.NewSpeeds(cost.DefaultSpeed)
	s.SetGroup(0, 0)
	before := s.Of(0, fleet.RoleMixed).PrefillPerToken
	s.ObservePrefill(0, fleet.RoleMixed, 1000, 1000*before*80)
	if got := s.Of(0, fleet.RoleMixed).PrefillPerToken; got > 3.01*before {
		t.Errorf("one prefill that took 80 times as long moved the speed by a factor of %.1f", got/before)
	}
}
