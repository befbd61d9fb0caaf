package order

// Status is a snapshot of an engine's state machine for operators.
type Status struct {
	Record Record
	State  State
	// BlockedBy are the processes that may still send an earlier order.
	BlockedBy []Process
	// Changing reports whether an order is open or the desired state differs.
	Changing bool
	// Replaced reports whether a later holder has adopted the record.
	Replaced bool
}

// Status returns a snapshot.
func (e *Engine) Status() Status {
	s := Status{Record: e.record, State: e.state, Replaced: e.replaced}
	// Show the last state read even while the next one is being read.
	wanted := e.state.Incarnation != "" && e.desired != nil && e.desired.FillFrom(e.state.Current) != e.state.Current
	s.Changing = e.record.Open() || wanted
	if wanted && !e.record.Open() && !e.record.AllowsNewOrder(e.config.ChecksFencing) {
		s.BlockedBy = e.record.Attempts
	}
	return s
}
