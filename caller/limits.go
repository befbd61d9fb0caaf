package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Limits bounds the memory and the connections that callers can occupy at an
// instance.
type Limits struct {
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// MaxTotalBodyBytes bounds the bodies of all open requests together.
	MaxTotalBodyBytes int64
	// MaxOpenRequests bounds the number of open requests, queued and running.
	MaxOpenRequests int64
	// BodyTimeout bounds the time to receive a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to write one piece of an answer.
	WriteTimeout time.Duration
	// DefaultDeadline is the deadline, from arrival to the end of the answer,
	// of kinds that declare none.
	DefaultDeadline time.Duration
	// DefaultMaxOutputTokens bounds the answers of kinds that declare no bound.
	DefaultMaxOutputTokens int
}

// DefaultLimits holds the limits of an instance at the two-year size: about 9
// requests/s with prompts of up to 100,000 tokens (about 400 KB), with a factor
// of twenty to spare for JSON escapes and bursts.
var DefaultLimits = Limits{
	MaxBodyBytes:           8 << 20,
	MaxTotalBodyBytes:      256 << 20,
	MaxOpenRequests:        4096,
	BodyTimeout:            20 * time.Second,
	WriteTimeout:           30 * time.Second,
	DefaultDeadline:        10 * time.Minute,
	DefaultMaxOutputTokens: 16384,
}

// retryAfterBusy is the suggested wait after a refusal because of these limits.
const retryAfterBusy = time.Second

// limiter applies the limits on open requests and on the memory of their
// bodies.
type limiter struct {
	limits        Limits
	openRequests  atomic.Int64
	reservedBytes atomic.Int64
}

// admit counts a new open request, or returns a refusal if there are too many.
// done must be called if it returns nil.
func (l *limiter) admit() *fleet.Refusal {
	if l.openRequests.Add(1) > l.limits.MaxOpenRequests {
		l.openRequests.Add(-1)
		return refuseBusy("too many requests are open")
	}
	return nil
}

// done ends an open request.
func (l *limiter) done() { l.openRequests.Add(-1) }

// refuseBusy returns the refusal of a request that exceeds the limits.
func refuseBusy(detail string) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonQueueFull, "%s", detail)
	r.RetryAfter = retryAfterBusy
	return r
}

// reserve reserves n bytes and reports whether they were available. If so,
// release must be called with the same number.
func (l *limiter) reserve(n int64) bool {
	if l.reservedBytes.Add(n) > l.limits.MaxTotalBodyBytes {
		l.reservedBytes.Add(-n)
		return false
	}
	return true
}

func (l *limiter) release(n int64) { l.reservedBytes.Add(-n) }

// firstReadBytes is the size of the first buffer for a body; it doubles as the
// body arrives.
const firstReadBytes = 4 << 10

// readBody reads a caller's body within the limits. It reserves memory only as
// the body arrives, so that a slow sender cannot occupy memory by its headers
// alone. release frees the reserved memory and is never nil.
func (l *limiter) readBody(c echo.Context) (body []byte, release func(), refusal *fleet.Refusal) {
	var reserved int64
	release = func() { l.release(reserved) }
	if c.Request().ContentLength > l.limits.MaxBodyBytes {
		return nil, release, refuseLargeBody(l.limits.MaxBodyBytes)
	}
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(l.limits.BodyTimeout))
	in := io.LimitReader(c.Request().Body, l.limits.MaxBodyBytes+1)
	for {
		if len(body) == cap(body) {
			grown := max(firstReadBytes, 2*cap(body))
			if !l.reserve(int64(grown - cap(body))) {
				return nil, release, refuseBusy("the bodies of open requests exceed the limit of the instance")
			}
			reserved += int64(grown - cap(body))
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, release, fleet.Refuse(fleet.ReasonBadRequest, "the body did not arrive completely in time")
		}
	}
	if int64(len(body)) > l.limits.MaxBodyBytes {
		return nil, release, refuseLargeBody(l.limits.MaxBodyBytes)
	}
	// The server keeps reading to notice that the caller leaves; the read
	// deadline must not end that.
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

func refuseLargeBody(limit int64) *fleet.Refusal {
	return fleet.Refuse(fleet.ReasonTooLarge, "the body exceeds %d bytes", limit)
}

// writeDeadline extends the write deadline of one answer. It changes the
// deadline at most once in a quarter of the timeout, because each change costs
// a system timer.
type writeDeadline struct {
	control *http.ResponseController
	timeout time.Duration
	lastSet time.Time
}

func newWriteDeadline(c echo.Context, timeout time.Duration) *writeDeadline {
	return &writeDeadline{control: http.NewResponseController(c.Response().Writer), timeout: timeout}
}

// extend moves the deadline to the timeout from now.
func (d *writeDeadline) extend() { d.extendAt(time.Now()) }

func (d *writeDeadline) extendAt(now time.Time) {
	if now.Sub(d.lastSet) < d.timeout/4 {
		return
	}
	d.lastSet = now
	_ = d.control.SetWriteDeadline(now.Add(d.timeout))
}
