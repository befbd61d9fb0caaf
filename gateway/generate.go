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
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/logline"
)

const (
	// stallShare is the part of the time left that one engine may take for a
	// prompt, or for the first event where the stream can go on elsewhere. An
	// engine that is cut off shows sooner, by its connection.
	stallShare = 0.6
	// stallGap bounds the pause between two events of a stream that may be
	// resumed. Callers leave after two seconds at least.
	stallGap = 1500 * time.Millisecond
	// maxReads bounds the engines that are asked to read one prompt.
	maxReads = 2
)

// generate serves a request to engines: its prompt is read at one engine and
// the answer made at another, or both at one.
func (p *passage) generate() {
	defer func() { p.free(p.source) }()
	apart, direct, split := p.g.State.apart(p.group, &p.req, p.tried)
	if apart.Candidates+direct.Candidates > 0 && !p.admit(apart, direct, split) {
		return
	}
	for {
		if p.source == nil && split {
			p.prefill(apart)
		}
		if p.gone() {
			return
		}
		run, ok := p.runner(direct)
		if !ok || !p.pay() {
			p.fail(fleet.ReasonNoUpstream, busyWait)
			return
		}
		if p.run(run) {
			return
		}
		apart, direct, split = p.g.State.apart(p.group, &p.req, p.tried)
	}
}

// runner chooses the engine that makes the answer: one at the decode stage when
// the prompt has been read, or else one that reads it itself.
func (p *passage) runner(direct placement.Choice) (placement.Choice, bool) {
	if p.source != nil {
		return p.g.State.decode(p.group, &p.req, p.reader, p.tried)
	}
	if len(p.tried) > 0 || direct.Candidates == 0 {
		return p.g.State.direct(p.group, &p.req, p.tried)
	}
	return direct, true
}

// admit decides whether the request is served and refuses it otherwise.
func (p *passage) admit(apart, direct placement.Choice, split bool) bool {
	c := direct
	if split {
		c = apart
	}
	queue := c.Queue + c.DecodeQueue
	v := p.g.State.decide(p.group, p.req.Rank, overload.Estimate{
		Queue: queue, Processing: c.Wait + c.DecodeWait - queue, LatencyTarget: p.route.LatencyTarget, Remaining: p.left(),
	})
	if v.Admit {
		return true
	}
	p.trace = append(p.trace, zap.Duration("expected", c.Wait), zap.Duration("queue", c.Queue),
		zap.Duration("queue_for_answer", c.DecodeQueue), zap.Int("candidates", c.Candidates),
		zap.String("server", string(c.Server.ID)), zap.String("choice", string(c.Reason)), zap.Float64("uncached", c.UncachedTokens))
	p.refuse(http.StatusServiceUnavailable, fleet.ReasonDeadlineUnmeetable, v.RetryAfter)
	return false
}

// prefill has the prompt read at an engine of the prefill stage and notes where
// its KV cache is; p.source stays nil when no engine did.
func (p *passage) prefill(c placement.Choice) {
	for range maxReads {
		if !p.pay() {
			return
		}
		p.readAt(c)
		if p.source != nil || p.gone() || p.left() <= minAttempt {
			return
		}
		p.g.Observer.Retried(retry.ReasonPrefillFailed)
		var split bool
		c, _, split = p.g.State.apart(p.group, &p.req, p.tried)
		if !split {
			return
		}
	}
}

// readAt has the prompt read at one engine.
func (p *passage) readAt(c placement.Choice) {
	began := time.Now()
	read, end := p.g.State.begin(c.Server.ID, p.req.Rank, c.UncachedTokens)
	defer end()
	p.g.State.keeps(c, &p.req)
	ctx, stop := context.WithTimeout(p.ctx, time.Duration(stallShare*float64(p.left())))
	defer stop()
	late := p.g.State.expect(c)
	answer, res, err := p.send(ctx, c.Server, call.SendOptions{Priority: priority(p.route.Priority), PrefillOnly: true, FetchFrom: c.CopyFrom.Address})
	late.Stop()
	status := 0
	if answer != nil {
		defer answer.Close()
		status = answer.Status
		p.source, err = p.handle(answer, c.Server)
		p.reader = c.Server
	}
	read()
	p.observe(c, "prefill", res, status, began, err)
	switch {
	case p.source != nil && !p.read:
		p.read = true
	case res != resultNotSent:
		p.called()
	}
	switch {
	case p.source != nil:
		p.g.State.good(c.Server.ID)
		p.g.State.read(c, time.Since(began))
	case res == resultNotRun:
		p.g.State.lost(c.Server.ID, &p.req)
		p.tried = append(p.tried, c.Server.ID)
	default:
		p.g.State.lost(c.Server.ID, &p.req)
		p.blame(c.Server.ID, err)
	}
}

// handle decodes the answer to a prompt that was read.
func (p *passage) handle(a *connpool.Answer, s placement.Server) (*call.KVSource, error) {
	body, err := whole(a)
	if err != nil || a.Status != http.StatusOK {
		return nil, err
	}
	out, err := p.g.Wire.ParsePrefilled(body)
	if err != nil {
		return nil, err
	}
	return &call.KVSource{Address: s.Address, Handle: out.Handle}, nil
}

// freeTimeout bounds the call that frees a handle; a handle that stays lapses.
const freeTimeout = time.Second

// free frees KV cache that nobody will fetch.
func (p *passage) free(source *call.KVSource) {
	if source == nil {
		return
	}
	method, path := p.g.Wire.FreeHandle(source.Handle)
	limit := p.g.State.connections(p.service)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), freeTimeout)
		defer stop()
		answer, err := p.g.Pool.Do(ctx, &connpool.Request{
			Address: source.Address, MaxConns: limit, Method: method, URI: path, Host: source.Address, Header: http.Header{},
		}, p.g.Wire)
		if err != nil {
			p.g.Log.Debug("handle not freed", zap.String("request_id", string(p.req.ID)), logline.Error(err))
			return
		}
		_, _ = whole(answer)
		answer.Close()
	}()
}

// run has an engine make the answer and passes it on. It returns false when the
// request goes on at another engine. KV cache that was read stays under its
// handle while the engine certainly did not take it.
func (p *passage) run(c placement.Choice) bool {
	began := time.Now()
	uncached := c.UncachedTokens
	if p.source != nil {
		uncached = 0
	}
	read, end := p.g.State.begin(c.Server.ID, p.req.Rank, uncached)
	defer end()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	dog := p.watch(cancel)
	defer dog.Stop()
	late := p.g.State.expect(c)
	defer late.Stop()
	source := p.source
	add := call.SendOptions{Priority: priority(p.route.Priority), KVSource: source, LastEventID: p.lastEvent}
	if source == nil {
		add.FetchFrom = c.CopyFrom.Address
	}
	answer, res, err := p.send(ctx, c.Server, add)
	if res != resultNotSent {
		p.sends++
		p.called()
	}
	status := 0
	if answer != nil {
		defer answer.Close()
		status = answer.Status
		if res == resultAnswer {
			p.mayHaveRun = true
			res, err = p.pass(answer, c, source, dog, func() { read(); late.Stop() }, began)
		}
	}
	p.observe(c, step(source), res, status, began, err)
	switch res {
	case resultAnswer:
		p.source = nil
		p.g.State.good(c.Server.ID)
		return true
	case resultNotRun:
		p.tried = append(p.tried, c.Server.ID)
	case resultNotSent:
		p.blame(c.Server.ID, err)
		return p.gone() || p.giveUp(p.left() > minAttempt)
	case resultBroken:
		p.source, p.mayHaveRun = nil, true
		p.blame(c.Server.ID, err)
	}
	if p.gone() {
		return true
	}
	return p.giveUp(p.mayRepeat(reasonOf(res)))
}

// giveUp answers a request that is not sent again.
func (p *passage) giveUp(again bool) bool {
	if !again {
		p.fail(fleet.ReasonUpstreamFailed, busyWait)
	}
	return !again
}

func step(source *call.KVSource) string {
	if source == nil {
		return "direct"
	}
	return "decode"
}

// watch cancels an attempt that stalls, where the stream can go on elsewhere.
func (p *passage) watch(cancel context.CancelFunc) *time.Timer {
	limit := p.left()
	if p.route.Repeatable() && p.sends+1 < p.route.MaxAttempts {
		limit = time.Duration(stallShare * float64(limit))
	}
	return time.AfterFunc(limit, cancel)
}

// pass passes the events of an answer on as they arrive.
func (p *passage) pass(a *connpool.Answer, c placement.Choice, source *call.KVSource, dog *time.Timer, read func(), began time.Time) (result, error) {
	if !success(a.Status) {
		out, res, err := p.hold(a, resultAnswer)
		if out == nil || p.committed {
			return resultBroken, err
		}
		if res == resultAnswer {
			p.deliver(out)
		}
		return res, err
	}
	if !a.Meta.Signed {
		return resultBroken, errUnsigned
	}
	in := &events{in: a}
	first := true
	made := 0
	var firstAt, lastAt time.Time
	defer func() { p.g.State.made(c.Server.ID, made, lastAt.Sub(firstAt)) }()
	for {
		data, id, err := in.next()
		if err == io.EOF {
			if !p.committed {
				p.commit(a)
			}
			return resultAnswer, nil
		}
		if err != nil {
			return resultBroken, errors.Wrap(err, "read stream")
		}
		lastAt = time.Now()
		made++
		if first {
			first = false
			firstAt = lastAt
			read()
			p.firstEvent(c, source, began)
		}
		if p.route.Repeatable() && p.sends < p.route.MaxAttempts {
			dog.Reset(stallGap)
		}
		p.commit(a)
		if _, err := p.w.Write(data); err != nil {
			return resultBroken, errors.Wrap(err, "write to caller")
		}
		if err := http.NewResponseController(p.w).Flush(); err != nil {
			return resultBroken, errors.Wrap(err, "write to caller")
		}
		if id != "" {
			p.lastEvent = id
		}
	}
}

// firstEvent learns from the time to the first event.
func (p *passage) firstEvent(c placement.Choice, source *call.KVSource, began time.Time) {
	if source == nil {
		p.g.State.read(c, time.Since(began))
		p.g.State.keeps(c, &p.req)
	} else {
		p.g.State.fetched(c.Server.ID, &p.req)
	}
	if !p.committed {
		p.g.Observer.Answered(p.route.Name, time.Since(p.start))
	}
}

// commit sends the head of the first server's answer.
func (p *passage) commit(a *connpool.Answer) {
	if p.committed {
		return
	}
	p.committed = true
	h := p.w.Header()
	p.g.Wire.CopyAnswerHeaders(h, a.Header)
	if p.g.leaving.Load() {
		h.Set("Connection", "close")
	}
	p.w.WriteHeader(a.Status)
}

// streamPlain serves a stream of a plain service.
func (p *passage) streamPlain() {
	for {
		choice, ok := p.g.State.plain(p.group, p.req.ID, p.tried)
		if !ok {
			p.fail(fleet.ReasonNoUpstream, busyWait)
			return
		}
		if p.run(choice) {
			return
		}
	}
}
