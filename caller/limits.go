package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Limits bound what callers can make an instance hold.
type Limits struct {
	// MaxBodyBytes bounds one request's body.
	MaxBodyBytes int64
	// MaxTotalBodyBytes bounds the bodies of all open requests together.
	MaxTotalBodyBytes int64
	// MaxOpenRequests bounds the open requests, queued and running.
	MaxOpenRequests int64
	// BodyTimeout bounds the time in which a caller sends its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes one piece of its
	// answer.
	WriteTimeout time.Duration
	// DefaultDeadline bounds the time from arrival to the end of the answer for kinds
	// that declare no deadline.
	DefaultDeadline time.Duration
	// DefaultMaxOutputTokens bounds an answer for kinds that declare no bound.
	DefaultMaxOutputTokens int
}

// DefaultLimits suit an instance at the two-year size: about 9 requests/s,
// with prompts of up to 100,000 tokens (about 400 KB) and a margin of twenty
// for JSON escapes and bursts.
var DefaultLimits = Limits{
	MaxBodyBytes:           8 << 20,
	MaxTotalBodyBytes:      256 << 20,
	MaxOpenRequests:        4096,
	BodyTimeout:            20 * time.Second,
	WriteTimeout:           30 * time.Second,
	DefaultDeadline:        10 * time.Minute,
	DefaultMaxOutputTokens: 16384,
}

// retryAfterBusy is the suggested wait after a refusal for a full instance.
const retryAfterBusy = time.Second

// gate counts what open requests hold.
type gate struct {
	limits Limits
	open   atomic.Int64
	held   atomic.Int64
}

// enter takes a place for one request.
func (g *gate) enter() *fleet.Refusal {
	if g.open.Add(1) > g.limits.MaxOpenRequests {
		g.open.Add(-1)
		return busy("too many requests are open")
	}
	return nil
}

func (g *gate) leave() { g.open.Add(-1) }

func busy(detail string) *fleet.Refusal {
	r := fleet.Refuse(fleet.ReasonQueueFull, "%s", detail)
	r.RetryAfter = retryAfterBusy
	return r
}

// reserve takes n bytes; release must be called with the same number.
func (g *gate) reserve(n int64) bool {
	if g.held.Add(n) > g.limits.MaxTotalBodyBytes {
		g.held.Add(-n)
		return false
	}
	return true
}

func (g *gate) release(n int64) { g.held.Add(-n) }

// firstReadBytes is the buffer for a body whose length is not declared.
const firstReadBytes = 4 << 10

// readBody reads a caller's body within the limits. It reserves memory only as
// the body arrives, so that a slow sender cannot hold memory by its headers
// alone. release returns the reservation.
func (g *gate) readBody(c echo.Context) (body []byte, release func(), refusal *fleet.Refusal) {
	var reserved int64
	release = func() { g.release(reserved) }
	if c.Request().ContentLength > g.limits.MaxBodyBytes {
		return nil, release, tooLargeBody(g.limits.MaxBodyBytes)
	}
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
	in := io.LimitReader(c.Request().Body, g.limits.MaxBodyBytes+1)
	for {
		if len(body) == cap(body) {
			grown := max(firstReadBytes, 2*cap(body))
			if !g.reserve(int64(grown - cap(body))) {
				return nil, release, busy("the instance holds too many bytes of requests")
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
			return nil, release, fleet.Refuse(fleet.ReasonBadRequest, "the body did not arrive whole in time")
		}
	}
	if int64(len(body)) > g.limits.MaxBodyBytes {
		return nil, release, tooLargeBody(g.limits.MaxBodyBytes)
	}
	// The deadline must not end the watch for the caller's departure.
	_ = control.SetReadDeadline(time.Time{})
	return body, release, nil
}

func tooLargeBody(limit int64) *fleet.Refusal {
	return fleet.Refuse(fleet.ReasonTooLarge, "the body exceeds %d bytes", limit)
}

// pacer extends the write deadline of one answer. It sets the deadline at most
// once in a quarter of the timeout, because each change costs a system timer.
type pacer struct {
	control *http.ResponseController
	timeout time.Duration
	set     time.Time
}

func newPacer(c echo.Context, timeout time.Duration) *pacer {
	return &pacer{control: http.NewResponseController(c.Response().Writer), timeout: timeout}
}

func (p *pacer) extend() { p.extendAt(time.Now()) }

func (p *pacer) extendAt(now time.Time) {
	if now.Sub(p.set) < p.timeout/4 {
		return
	}
	p.set = now
	_ = p.control.SetWriteDeadline(now.Add(p.timeout))
}
