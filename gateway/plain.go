package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/routes"
)

// held is a server's whole answer before it is passed on.
type held struct {
	status int
	header http.Header
	body   []byte
}

// plain serves a request whose answer is held until it is whole, so that a
// broken answer can be repeated where the route allows.
func (p *passage) plain() {
	var last *held
	for {
		choice, ok := p.g.State.plain(p.group, p.req.ID, p.tried)
		if !ok {
			break
		}
		answer, res := p.exchange(choice)
		if answer != nil && (success(answer.status) || !p.worthRepeating(answer.status)) {
			p.deliver(answer)
			return
		}
		if answer != nil {
			last = answer
		}
		if p.gone() {
			return
		}
		if res == resultNotSent {
			// Nothing reached a server, so nothing is repeated.
			if p.left() <= minAttempt {
				break
			}
			p.g.Observer.Retried(retry.ReasonNotSent)
			continue
		}
		if !p.mayRepeat(reasonOf(res)) {
			break
		}
	}
	if last != nil {
		p.deliver(last)
		return
	}
	p.fail(fleet.ReasonNoUpstream, busyWait)
}

// worthRepeating tells that another server may answer better: a failure of a
// request that may run twice.
func (p *passage) worthRepeating(status int) bool {
	return status >= http.StatusInternalServerError && p.route.Kind == routes.KindSafe
}

func reasonOf(r result) retry.Reason {
	switch r {
	case resultBroken:
		return retry.ReasonConnectionLost
	case resultNotSent:
		return retry.ReasonNotSent
	default:
		return retry.ReasonUpstreamStatus
	}
}

// hedgeShare is the part of the latency target after which a safe request whose
// server is silent is sent to another.
const hedgeShare = 0.5

// exchange sends the request to one server and reads its whole answer; nil when
// there is none to pass on.
func (p *passage) exchange(c placement.Choice) (*held, result) {
	began := time.Now()
	_, end := p.g.State.begin(c.Server.ID, p.req.Rank, 0)
	defer end()
	ctx, stop := p.attemptContext()
	defer stop()
	late := p.g.State.expect(c)
	defer late.Stop()
	answer, res, err := p.send(ctx, c.Server, call.SendOptions{Priority: noPriority})
	if res != resultNotSent {
		p.sends++
		p.called()
	}
	status := 0
	var out *held
	if answer != nil {
		defer answer.Close()
		status = answer.Status
		out, res, err = p.hold(answer, res)
	}
	p.observe(c, "call", res, status, began, err)
	switch res {
	case resultAnswer:
		p.mayHaveRun = true
		if status >= http.StatusInternalServerError {
			p.blame(c.Server.ID, err)
		} else {
			p.g.State.answered(c.Server.ID, time.Since(began))
		}
	case resultNotRun:
		p.tried = append(p.tried, c.Server.ID)
	case resultNotSent:
		p.blame(c.Server.ID, err)
	case resultBroken:
		p.mayHaveRun = true
		p.blame(c.Server.ID, err)
	}
	return out, res
}

// attemptContext bounds an attempt that may be repeated, so that a silent server
// leaves time for another.
func (p *passage) attemptContext() (context.Context, context.CancelFunc) {
	if p.route.Kind != routes.KindSafe || p.sends+1 >= p.route.MaxAttempts || p.route.LatencyTarget <= 0 {
		return context.WithCancel(p.ctx)
	}
	return context.WithTimeout(p.ctx, time.Duration(hedgeShare*float64(p.route.LatencyTarget)))
}

// hold reads an answer that may be passed on. A statement that the request did
// not run is passed on only when it is final for every server.
func (p *passage) hold(a *connpool.Answer, res result) (*held, result, error) {
	body, err := whole(a)
	switch {
	case res == resultNotRun && err == nil && a.Status == http.StatusBadRequest:
		return &held{a.Status, a.Header, body}, resultAnswer, nil
	case res == resultNotRun:
		return nil, resultNotRun, nil
	case err != nil:
		return nil, resultBroken, err
	case success(a.Status) && !a.Meta.Signed:
		return nil, resultBroken, errUnsigned
	case promises(a.Status):
		// The status would promise the caller what the server does not state.
		return nil, resultBroken, errFalsePromise
	}
	return &held{a.Status, a.Header, body}, resultAnswer, nil
}

// deliver passes a server's whole answer on.
func (p *passage) deliver(a *held) {
	p.g.Observer.Answered(p.route.Name, time.Since(p.start))
	h := p.w.Header()
	p.g.Wire.CopyAnswerHeaders(h, a.header)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if p.g.leaving.Load() {
		h.Set("Connection", "close")
	}
	p.w.WriteHeader(a.status)
	// A caller that cannot be written to has left.
	_, _ = p.w.Write(a.body)
}
