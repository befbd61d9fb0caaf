// Package outbox provides the queue of commands that a state machine has issued
// and its driver has not yet taken.
package outbox

// Outbox is a queue of commands. The zero value is an empty queue. It is not
// safe for concurrent use.
type Outbox[Command any] struct{ pending []Command }

// Add appends a command.
func (o *Outbox[Command]) Add(c Command) { o.pending = append(o.pending, c) }

// Take removes and returns the pending commands in order, or nil if there are
// none.
func (o *Outbox[Command]) Take() []Command {
	out := o.pending
	o.pending = nil
	return out
}
