package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/logline"
)

// timeout returns how long the request may take: the caller's deadline or the
// route's timeout, whichever is shorter.
func (p *proxyRequest) timeout() time.Duration {
	limit := defaultTimeout
	if p.route.Timeout > 0 {
		limit = p.route.Timeout
	}
	if p.req.Deadline > 0 {
		limit = min(limit, p.req.Deadline)
	}
	return limit
}

// writeGrace is how long after a request's deadline its caller may still read
// the answer.
const writeGrace = 2 * time.Second

// boundConnection bounds the time in which the caller sends the body and reads
// the answer. Otherwise a caller that does neither would hold the request for as
// long as its host answers.
func (p *proxyRequest) boundConnection(deadline time.Time) {
	if p.r.Body != nil && p.r.Body != http.NoBody {
		p.setReadDeadline(deadline)
	}
	if err := http.NewResponseController(p.w).SetWriteDeadline(deadline.Add(writeGrace)); err != nil {
		p.g.Log.Debug("no write deadline", zap.String("request_id", string(p.req.ID)), logline.Error(err))
	}
}

func (p *proxyRequest) setReadDeadline(t time.Time) {
	if err := http.NewResponseController(p.w).SetReadDeadline(t); err != nil {
		p.g.Log.Debug("no read deadline", zap.String("request_id", string(p.req.ID)), logline.Error(err))
	}
}
