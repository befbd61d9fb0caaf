// Package outbox holds the commands of a state machine between the step that
// issues them and the driver that carries them out.
package outbox

// Outbox is a queue of commands. The zero value is empty. It is not safe for
// concurrent use.
type Outbox[Command any] struct{ pending []Command }

// Add appends a command.
func (o *Outbox[Command]) Add(c Command) { o.pending = append(o.pending, c) }

// Take returns the pending commands in order and clears them; nil when there
// are none.
func (o *Outbox[Command]) Take() []Command {
	out := o.pending
	o.pending = nil
	return out
}
