package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/explanation"
)

// fill writes the decisions to an answer.
func (e *explained) fill(out *explanation.Answer) {
	out.Views = explanation.Views{
		Instances: e.views.Instances, MeanAgeMS: explanation.Milliseconds(e.views.Mean), OldestMS: explanation.Milliseconds(e.views.Oldest),
	}
	for i := range e.trace.Steps {
		step, left := explainStep(&e.trace.Steps[i], explanation.MaxServers/len(e.trace.Steps))
		out.Steps = append(out.Steps, step)
		out.ServersLeftOut += left
	}
	if e.ok {
		out.Decode = explainChosen(e.chosen)
	}
	if e.prefill != nil {
		out.Prefill = explainChosen(*e.prefill)
	}
	out.Limit = e.limit
	if e.share.Enforced {
		out.Share = &explanation.Share{Rate: e.share.Rate, Threshold: e.share.Threshold, Probability: e.share.Probability}
	}
	if est := e.estimate; est != nil {
		out.Inputs = &explanation.Inputs{
			QueueMS: explanation.Milliseconds(est.Queue), LateQueueMS: explanation.Milliseconds(est.LateQueue), ProcessingMS: explanation.Milliseconds(est.Processing),
			Backlog: est.Backlog, LatencyTargetMS: explanation.Milliseconds(est.LatencyTarget), RemainingMS: explanation.Milliseconds(est.Remaining),
		}
	}
	d := explanation.Decision{Result: explanation.Admitted, Priority: e.decision.Priority, Note: out.Decision.Note}
	switch {
	case !e.decision.Admit:
		note := d.Note
		d = refusal(e.decision.Reason, e.decision.RetryAfter)
		d.Note = note
	case e.decision.Late:
		d.Result = explanation.Late
	}
	out.Decision = d
}

func explainChosen(c placement.Choice) *explanation.Chosen {
	return &explanation.Chosen{
		Server: string(c.Server.ID), DataCentre: string(c.Server.DataCentre), Reason: string(c.Reason), WaitMS: explanation.Milliseconds(c.Wait),
		Candidates: c.Candidates, ViewAgeMS: explanation.Milliseconds(c.ViewAge), Unseen: c.Unseen,
	}
}

// states are the states of servers that are not available, by the reason for
// which they were passed over.
var states = map[placement.Passed]string{
	placement.PassedLeaving: "leaving", placement.PassedPaused: "paused", placement.PassedHeld: "held",
	placement.PassedEjected: "ejected", placement.PassedLimited: "limited",
}

// order puts the chosen server first, then those with a score by score, then those
// that could serve the step, and those of other stages last.
func order(a, b *placement.Weighed) int {
	class := func(w *placement.Weighed) int {
		switch {
		case w.Passed == "":
			return 0
		case w.Scored:
			return 1
		case w.Passed == placement.PassedStage:
			return 3
		}
		return 2
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Server.ID, b.Server.ID))
}

// explainStep returns a step with up to limit servers and the number of the others.
func explainStep(t *placement.TracedStep, limit int) (out explanation.Step, left int) {
	list := make([]*placement.Weighed, 0, len(t.Servers))
	for i := range t.Servers {
		list = append(list, &t.Servers[i])
	}
	slices.SortFunc(list, order)
	out = explanation.Step{Name: string(t.Step), Considered: len(list), Servers: []explanation.Server{}}
	if len(list) > limit {
		left, list = len(list)-limit, list[:limit]
	}
	for _, w := range list {
		s := explanation.Server{
			ID: string(w.Server.ID), DataCentre: string(w.Server.DataCentre), Stage: w.Server.Stage.String(), State: "available", PausedMS: explanation.Milliseconds(w.PausedFor),
			Scored: w.Scored, Passed: string(w.Passed),
		}
		if state, ok := states[w.Passed]; ok {
			s.State = state
		} else if w.Ejected {
			s.State = states[placement.PassedEjected]
		}
		if w.Scored {
			s.ScoreMS, s.WaitMS, s.QueueMS = explanation.Milliseconds(w.Score), explanation.Milliseconds(w.Wait), explanation.Milliseconds(w.Queue)
			s.UncachedTokens, s.TokensAhead, s.Backlog, s.Pressure = w.UncachedTokens, w.TokensAhead, w.Backlog, w.Pressure
			s.CopyFrom = string(w.CopyFrom.ID)
		}
		out.Servers = append(out.Servers, s)
	}
	return out, left
}

// finite returns x, or -1 for no bound, which JSON cannot express.
func finite(x float64) float64 {
	if math.IsInf(x, 0) {
		return -1
	}
	return x
}
