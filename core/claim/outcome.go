package claim

func (m *Machine) runEnded(ev Event) {
	switch ev := ev.(type) {
	case NotSent:
		m.outcome = m.record(PhaseNotRun, nil)
	case Answered:
		a := ev.Answer
		if len(a.Body) > MaxAnswerBytes {
			a.Body, a.BodyOmitted = nil, true
		}
		m.outcome = m.record(PhaseDone, &a)
	case AnswerLost:
		m.outcome = m.record(PhaseUnknown, nil)
	default:
		return
	}
	m.writeOutcome()
}

func (m *Machine) writeOutcome() {
	if m.writes == maxWrites {
		m.issue(ended, Finish{Phase: m.outcome.Phase})
		return
	}
	m.writes++
	m.issue(writingOutcome, Write{Revision: m.revision, Record: m.outcome})
}

func (m *Machine) outcomeAnswered(ev Event) {
	switch ev := ev.(type) {
	case Written:
		m.issue(ended, Finish{Phase: m.outcome.Phase, Stored: true})
	case Unavailable:
		m.writeOutcome()
	case Conflict, Unknown:
		if m.state == confirmingOutcome {
			m.writeOutcome()
			return
		}
		m.issue(confirmingOutcome, Read{})
	case Found:
		m.checkOutcome(ev)
	}
}

// checkOutcome decides, after a write without a clear answer, whether the
// outcome is stored, must be written again or must be given up.
func (m *Machine) checkOutcome(f Found) {
	switch {
	case f.Revision == m.revision:
		m.writeOutcome()
	case f.Record.Attempt == m.config.Attempt && f.Record.Phase == m.outcome.Phase:
		m.issue(ended, Finish{Phase: m.outcome.Phase, Stored: true})
	default:
		// Another process has written, or the store was restored. Nothing may
		// be overwritten.
		m.issue(ended, Finish{Phase: m.outcome.Phase})
	}
}
