package connpool

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrCutOff means that the connection was reset, or did not take the whole request,
// under an answer that only the end of its connection ends.
var ErrCutOff = errors.New("the connection was cut off before the answer was complete")

// cutOffError is ErrCutOff with its cause.
type cutOffError struct{ cause error }

// Error implements error.
func (e *cutOffError) Error() string { return ErrCutOff.Error() + ": " + e.cause.Error() }

// Unwrap returns the errors that it stands for.
func (e *cutOffError) Unwrap() []error { return []error{ErrCutOff, e.cause} }

const (
	// firstEndCheck and maxEndCheck are the shortest and the longest time between two
	// looks at a connection whose end is not certain yet.
	firstEndCheck = time.Millisecond
	maxEndCheck   = 20 * time.Millisecond
)

// checkEnd returns nil if the server has ended the connection in order after it had
// received the whole request, and an error that wraps ErrCutOff otherwise. It is called
// when a read has returned io.EOF, which alone proves nothing: Linux reports the error
// of a reset connection once, to the reader or to the writer of the request, and the
// other of them sees an ordinary end or a closed pipe. It waits until the request has
// been acknowledged, which ends when the connection is closed.
func (c *conn) checkEnd() error {
	<-c.upload.done
	if c.upload.err != nil {
		return &cutOffError{errors.Wrap(c.upload.err, "send request")}
	}
	raw, err := c.syscallConn()
	if err != nil {
		return &cutOffError{err}
	}
	for wait := firstEndCheck; ; wait = min(2*wait, maxEndCheck) {
		closed, unacknowledged := false, 0
		err := raw.Control(func(fd uintptr) {
			// Where the system does not tell, the result of the write decides.
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				closed = info.State == unix.BPF_TCP_CLOSE
			}
			if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
				unacknowledged = n
			}
		})
		switch {
		case err != nil:
			return &cutOffError{err}
		case closed:
			return &cutOffError{unix.ECONNRESET}
		case unacknowledged == 0:
			return nil
		}
		time.Sleep(wait)
	}
}
