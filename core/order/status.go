package order

// Status is a snapshot of an engine's machine for operators.
type Status struct {
	Record Record
	State  State
	// BlockedBy are processes that may still send an earlier order.
	BlockedBy []Process
	// Changing tells that an order is under way or wanted.
	Changing bool
	// Replaced tells that a later holder has adopted the record.
	Replaced bool
}

// Status returns a snapshot.
func (e *Engine) Status() Status {
	s := Status{Record: e.record, State: e.state, Replaced: e.replaced}
	// The last state read is shown, also while the next one is being read.
	wanted := e.state.Incarnation != "" && e.want != nil && e.want.FillFrom(e.state.Current) != e.state.Current
	s.Changing = e.record.Open() || wanted
	if wanted && !e.record.Open() && !e.record.AllowsNewOrder(e.config.ChecksFencing) {
		s.BlockedBy = e.record.Attempts
	}
	return s
}
