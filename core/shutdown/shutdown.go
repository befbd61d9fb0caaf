// Package shutdown decides which requests an instance still accepts during a
// planned stop.
package shutdown

import "time"

// answerTime is the time left between a request's deadline and the end of the
// process, in which the answer at the deadline is written.
const answerTime = 150 * time.Millisecond

// Accepts reports whether a request with the given deadline is accepted by a
// process that ends at end. A request that may still run then is refused, since
// another instance can serve it whole.
func Accepts(deadline, end time.Time) bool { return !deadline.Add(answerTime).After(end) }
