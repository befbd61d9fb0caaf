package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/door"
	"github.com/bramleywick/bramleywick/logline"
)

// readBody reads the whole body, so that the request can be retried and a
// caller's disconnect is noticed. On failure it refuses the request and returns
// false.
func (p *proxyRequest) readBody(t *routes.Table) bool {
	if p.r.Body == nil || p.r.Body == http.NoBody {
		return p.received()
	}
	limit := int64(defaultBodyBytes)
	if t.Limits.MaxBodyBytes > 0 {
		limit = t.Limits.MaxBodyBytes
	}
	if p.r.ContentLength > limit {
		p.refuse(http.StatusRequestEntityTooLarge, fleet.ReasonTooLarge, 0)
		return false
	}
	p.bodyBegun = true
	body, err := p.readRequest(http.MaxBytesReader(p.w, p.r.Body, limit), p.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		p.body = body
		// Trailers are not forwarded, and their memory is not counted.
		p.r.Trailer = nil
		p.setReadDeadline(time.Time{})
		return p.received()
	case errors.Is(err, errBuffersFull):
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonBuffersFull, busyWait)
		return false
	case errors.As(err, &tooLarge):
		p.refuse(http.StatusRequestEntityTooLarge, fleet.ReasonTooLarge, 0)
		return false
	}
	p.logFields = append(p.logFields, logline.Error(err))
	switch {
	case errors.Is(err, door.ErrClosed):
		p.refuse(http.StatusRequestTimeout, fleet.ReasonSlowClient, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.bodyTimedOut = true
		p.refuse(http.StatusRequestTimeout, fleet.ReasonBadRequest, 0)
	default:
		p.refuse(http.StatusBadRequest, fleet.ReasonBadRequest, 0)
	}
	return false
}

// received records that the whole request has arrived. It refuses the request and
// returns false if the connection has been closed to make room.
func (p *proxyRequest) received() bool {
	p.bodyRead = true
	if p.conn == nil || p.conn.Received() {
		return true
	}
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonSlowClient, busyWait)
	return false
}

// mayBeAnswered reports whether there is memory for the answer, and refuses the
// request otherwise: an answer that cannot be kept would be lost after the request has
// run.
func (p *proxyRequest) mayBeAnswered() bool {
	if p.blockBudget().HasAnswerRoom() {
		return true
	}
	if p.memory.ReserveAnswer(door.AnswerRoom) {
		p.memory.Release(door.AnswerRoom)
		return true
	}
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonBuffersFull, busyWait)
	return false
}
