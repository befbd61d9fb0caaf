package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/logline"
)

// result is how an attempt at one server ended.
type result uint8

const (
	// resultAnswer is an answer that is the server's own.
	resultAnswer result = iota
	// resultNotRun is a server's statement that it did not run the request.
	resultNotRun
	// resultNotSent is a request that certainly did not reach the server.
	resultNotSent
	// resultBroken is a request that may have run and has no whole answer.
	resultBroken
)

var resultNames = [...]string{"answer", "not_run", "not_sent", "broken"}

// String returns the result's name in logs.
func (r result) String() string { return resultNames[r] }

// priority converts the operators' rank, 0 first, to the engines' rank, of
// which the middle is for requests that name none.
func priority(rank int) int { return min(max(rank, 0)+firstPriority, lastPriority) }

const (
	firstPriority = 3
	lastPriority  = 9
	// noPriority sends no rank to services that know none.
	noPriority = -1
)

// send sends the request to a server and reads the head of its answer.
func (p *passage) send(ctx context.Context, s placement.Server, add call.SendOptions) (*connpool.Answer, result, error) {
	add.Deadline, add.Expect = p.left(), s.ID
	answer, err := p.g.Pool.Do(ctx, &connpool.Request{
		Address: s.Address, MaxConns: p.g.State.connections(p.service), ID: p.req.ID, Method: p.r.Method,
		URI: p.r.RequestURI, Host: p.r.Host, Header: p.g.Wire.RequestHeaders(p.forward, add), Body: p.body,
	}, p.g.Wire)
	switch {
	case errors.Is(err, connpool.ErrNotSent):
		return nil, resultNotSent, err
	case err != nil:
		return nil, resultBroken, err
	case answer.Meta.NotRun:
		return answer, resultNotRun, nil
	default:
		return answer, resultAnswer, nil
	}
}

// promises tells that a status promises a caller that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func success(status int) bool { return status >= 200 && status < 300 }

// maxAnswerBytes bounds an answer that is held before it is passed on.
const maxAnswerBytes = 16 << 20

// whole reads an answer's body to its end.
func whole(a *connpool.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, errors.New("the answer is too large")
	}
	return body, err
}

// observe logs an attempt with what decided it.
func (p *passage) observe(c placement.Choice, step string, res result, status int, began time.Time, err error) {
	fields := []zap.Field{
		zap.String("request_id", string(p.req.ID)), zap.String("route", p.route.Name), zap.String("step", step),
		zap.String("server", string(c.Server.ID)), zap.String("choice", string(c.Reason)), zap.Int("candidates", c.Candidates),
		zap.Duration("expected", c.Wait), zap.Float64("uncached", c.UncachedTokens), zap.Float64("ahead", c.TokensAhead),
		zap.String("copied_from", string(c.CopyFrom.ID)), zap.Float64("copied", c.CopiedTokens),
		zap.Stringer("result", res), zap.Int("status", status), zap.Duration("took", time.Since(began)),
		zap.Duration("left", p.left()),
	}
	if res != resultAnswer || err != nil {
		p.g.Log.Warn("attempt failed", append(fields, logline.Error(err))...)
		return
	}
	p.g.Log.Info("attempt", fields...)
}

// blame notes a server's failure, unless the caller or the deadline ended the
// attempt, or the instance had no connection left for it.
func (p *passage) blame(id fleet.UpstreamID, err error) {
	if !p.gone() && !errors.Is(err, connpool.ErrBusy) {
		p.g.State.failed(id)
	}
	p.tried = append(p.tried, id)
}
