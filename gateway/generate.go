package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/logline"
)

// maxPrefills bounds the prefill attempts for one prompt.
const maxPrefills = 2

// serveEngine serves a request with engines: prefill on one engine and decode on
// another, or both on one.
func (p *proxyRequest) serveEngine() {
	defer func() {
		p.freeKV(p.kvSource)
		p.dropSlot(p.slot)
	}()
	prefill, direct, split := p.g.State.chooseEngines(p.group, &p.req, p.allowed())
	if prefill.Candidates+direct.Candidates > 0 && !p.admit(prefill, direct, split) {
		return
	}
	for {
		if p.kvSource == nil && p.askAgain == nil && split && !p.triesDigest() && p.reserveRetries(p.retriesForSplit()) {
			p.prefill(prefill)
		}
		if p.callerGone() || p.mayNotBeSent() || (p.linksFailed() && p.kvSource == nil && p.movesToPeer()) {
			return
		}
		choice, ok := p.chooseDecode(direct, split)
		switch {
		case ok && p.spendRetry():
			if p.runAttempt(choice) || p.mayNotBeSent() {
				return
			}
		case !p.awaitContinuation():
			if !ok && p.movesToPeer() {
				return
			}
			p.failWithoutServer(choice)
			return
		}
		prefill, direct, split = p.g.State.chooseEngines(p.group, &p.req, p.allowed())
	}
}

// chooseDecode chooses the engine that decodes: one at the decode stage when
// prefill is done, or else one that runs prefill itself: direct unless prefill
// was to run apart or the limit of that engine is used up. It returns false when
// there is no candidate.
func (p *proxyRequest) chooseDecode(direct placement.Choice, split bool) (placement.Choice, bool) {
	switch {
	case p.askAgain != nil:
		return *p.askAgain, true
	case p.slot != nil && !slices.Contains(p.tried, p.slot.engine.Server.ID):
		p.g.State.takeSlot(p.slot.engine.Server)
		return p.slot.engine, true
	}
	if p.kvSource != nil {
		return p.g.State.chooseDecode(p.group, &p.req, p.prefillServer, p.allowed())
	}
	if len(p.tried) > 0 || direct.Candidates == 0 || direct.Limited > 0 || split {
		return p.g.State.chooseDirect(p.group, &p.req, p.allowed())
	}
	return direct, true
}

// prefill runs prefill on an engine of the prefill stage and sets p.kvSource to
// its KV cache; p.kvSource stays nil when no engine did it.
func (p *proxyRequest) prefill(c placement.Choice) {
	for range maxPrefills {
		if !p.keyValid() || p.quarantineVerdict() != nil || !p.spendRetry() {
			return
		}
		p.prefillAt(c)
		if p.kvSource != nil || p.callerGone() || p.remaining() <= minAttempt || (p.connFailed && p.relaysFailures()) {
			return
		}
		p.g.Observer.Retried(retry.ReasonPrefillFailed)
		var split bool
		c, _, split = p.g.State.chooseEngines(p.group, &p.req, p.allowed())
		if !split {
			return
		}
	}
}

// prefillAt runs prefill on one engine and sets p.kvSource on success.
func (p *proxyRequest) prefillAt(c placement.Choice) {
	c = p.asSent(c)
	began := time.Now()
	prefillDone, end := p.g.State.begin(c.Server.ID, p.workRank(), c.UncachedTokens)
	defer end()
	p.g.State.addCachedPrompt(c, &p.req)
	ctx, stop := context.WithCancel(p.ctx)
	defer stop()
	watch := p.watchStall(c, time.Duration(stallShare*float64(p.remaining())), true, stop)
	defer p.g.watches.add(watch)()
	overdueTimer := p.startOverdueTimer(c)
	answer, res, err := p.send(ctx, c.Server, call.SendOptions{Priority: p.priority(), PrefillOnly: true, FetchFrom: c.CopyFrom.Address})
	overdueTimer.Stop()
	status := 0
	if answer != nil {
		defer answer.Close()
		status = answer.Status
		p.kvSource, err = p.kvSourceOf(answer, c.Server)
		p.prefillServer = c.Server
	}
	prefillDone()
	switch {
	case p.kvSource != nil && !p.prefilled:
		p.prefilled = true
	case res != resultNotSent:
		p.countCall()
	}
	err = watch.end(err)
	p.logAttempt(c, "prefill", res, status, began, err)
	if res == resultBroken {
		p.recordBroken(c.Server, err, 0)
	}
	switch {
	case p.kvSource != nil:
		p.g.State.recordSuccess(c.Server.ID)
		p.learnPrefill(c, time.Since(began))
	case res == resultNotRun:
		p.g.State.removeCachedPrompt(c.Server.ID, &p.req)
		p.tried = append(p.tried, c.Server.ID)
	default:
		p.g.State.removeCachedPrompt(c.Server.ID, &p.req)
		p.recordFailure(c.Server.ID, err)
	}
}

// kvSourceOf decodes the answer to a prefill call; nil when its status is not
// 200.
func (p *proxyRequest) kvSourceOf(a *connpool.Answer, s placement.Server) (*call.KVSource, error) {
	body, err := p.readAnswer(a, maxPrefilledBytes)
	if err != nil {
		return nil, err
	}
	defer body.release()
	if a.Status != http.StatusOK {
		return nil, nil
	}
	out, err := p.g.Wire.ParsePrefilled(body.joined())
	if err != nil {
		return nil, err
	}
	return &call.KVSource{Address: s.Address, Handle: out.Handle}, nil
}

// freeTimeout bounds a call that frees what an engine keeps, which expires otherwise.
const freeTimeout = time.Second

// freeKV frees KV cache that won't be fetched, in the background.
func (p *proxyRequest) freeKV(source *call.KVSource) {
	if source == nil {
		return
	}
	method, path := p.g.Wire.FreeHandleRequest(source.Handle)
	p.free(source.Address, method, path)
}

// free makes a call that frees what an engine keeps for the request, in the background.
func (p *proxyRequest) free(address, method, path string) {
	limit := p.g.State.maxConns(p.service)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), freeTimeout)
		defer stop()
		answer, err := p.g.Pool.Do(ctx, &connpool.Request{
			Address: address, MaxConns: limit, Method: method, URI: path, Host: address, Header: http.Header{},
		}, p.g.Wire)
		if err != nil {
			p.g.Log.Debug("not freed; it expires by itself", zap.String("request_id", string(p.req.ID)), zap.String("path", path), logline.Error(err))
			return
		}
		// The body says nothing that matters; the connection is not used again.
		answer.Close()
	}()
}

// runAttempt sends the request to a server and forwards the answer. It returns
// false when the request is to be retried at another server. The KV cache of
// the prefill is kept under its handle as long as the server certainly did not
// fetch it.
func (p *proxyRequest) runAttempt(c placement.Choice) bool {
	c = p.asSent(c)
	p.events = 0
	asked := p.askAgain != nil
	p.askAgain = nil
	began := time.Now()
	uncached := c.UncachedTokens
	if p.kvSource != nil {
		uncached = 0
	}
	prefillDone, end := p.g.State.begin(c.Server.ID, p.workRank(), uncached)
	defer end()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	mayMove := p.route.Repeatable() && p.sends+1 < p.route.MaxAttempts
	watch := p.watchStall(c, time.Duration(stallShare*float64(p.remaining())), mayMove, cancel)
	defer p.g.watches.add(watch)()
	overdueTimer := p.startOverdueTimer(c)
	defer overdueTimer.Stop()
	source := p.kvSource
	add := call.SendOptions{Priority: p.priority(), KVSource: source, LastEventID: p.lastEvent}
	if source == nil {
		add.FetchFrom = c.CopyFrom.Address
	}
	if p.slot != nil && p.slot.engine.Server.ID == c.Server.ID {
		add.Reservation = p.slot.name
	}
	answer, res, err := p.send(ctx, c.Server, add)
	if res != resultNotSent {
		p.countCall()
		if add.Reservation != "" {
			p.slot = nil
		}
	}
	if res != resultNotSent && !asked {
		p.sends++
	}
	status := 0
	if answer != nil {
		defer answer.Close()
		status = answer.Status
		if res == resultAnswer {
			p.mayHaveRun = true
			res, err = p.forwardStream(answer, c, source, watch, func() { prefillDone(); overdueTimer.Stop() }, began)
		}
	}
	err = watch.end(err)
	p.logAttempt(c, stepName(source), res, status, began, err)
	switch res {
	case resultAnswer:
		p.kvSource = nil
		p.g.State.recordSuccess(c.Server.ID)
		if success(status) && p.events > 0 {
			p.recordAnswered(p.firstEventAt)
		}
		return true
	case resultNotRun:
		if p.mayAskAgain() {
			p.askAgain = &c
			return false
		}
		p.tried = append(p.tried, c.Server.ID)
	case resultNotSent:
		if add.Reservation != "" {
			p.dropSlot(p.slot)
			p.slot = nil
		}
		p.recordFailure(c.Server.ID, err)
		return p.callerGone() || p.failUnlessRetried(p.remaining() > minAttempt && p.sends < p.route.MaxAttempts)
	case resultBroken:
		p.kvSource, p.mayHaveRun = nil, true
		p.recordFailure(c.Server.ID, err)
		p.recordBroken(c.Server, err, p.events)
	}
	if p.callerGone() {
		return true
	}
	return p.failUnlessRetried(p.mayRepeatAfterCrash() && p.mayRetry(retryReason(res)))
}

// failUnlessRetried answers the request with a failure unless it is retried,
// and reports whether it answered.
func (p *proxyRequest) failUnlessRetried(retried bool) bool {
	if !retried {
		p.fail(fleet.ReasonUpstreamFailed, busyWait)
	}
	return !retried
}

// stepName returns the step in logs of an attempt with the given KV source.
func stepName(source *call.KVSource) string {
	if source == nil {
		return "direct"
	}
	return "decode"
}

// forwardStream forwards the events of an answer to the caller as they arrive,
// and returns the outcome of the attempt. It calls prefillDone at the first
// event, and records each event with the watch.
func (p *proxyRequest) forwardStream(a *connpool.Answer, c placement.Choice, source *call.KVSource, watch *stallWatch, prefillDone func(), began time.Time) (result, error) {
	if !success(a.Status) {
		out, res, err := p.bufferAnswer(a, resultAnswer)
		if out == nil || p.headWritten {
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
	in := &eventReader{in: watch.reading(a), memory: p.memory, last: p.lastEvent}
	defer in.release()
	first := true
	var firstAt, lastAt time.Time
	defer func() { p.g.State.learnDecode(c.Server.ID, &p.req, p.events, lastAt.Sub(firstAt)) }()
	for {
		data, id, err := in.next()
		if err == io.EOF && !a.Framed && first {
			// Nothing shows that the answer had even begun.
			return resultBroken, errors.Wrap(io.ErrUnexpectedEOF, "read stream")
		}
		if err == io.EOF {
			if !p.headWritten {
				p.writeHead(a)
			}
			p.complete = true
			return resultAnswer, nil
		}
		if err != nil {
			return resultBroken, errors.Wrap(err, "read stream")
		}
		lastAt = time.Now()
		p.lastEventAt = lastAt
		p.events++
		if first {
			first = false
			firstAt = lastAt
			p.firstEventAt = firstAt
			prefillDone()
			p.recordFirstEvent(c, source, began)
		}
		if hasEvent(data) {
			watch.progress()
			p.countFirstEvent()
			p.pin(c.Server.SoftwareVersion)
			p.recordVersion(c.Server)
		}
		p.writeHead(a)
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

// recordFirstEvent updates the learned speed, the cache model and the metrics
// at the first event.
func (p *proxyRequest) recordFirstEvent(c placement.Choice, source *call.KVSource, began time.Time) {
	if source == nil {
		p.learnPrefill(c, time.Since(began))
		p.g.State.addCachedPrompt(c, &p.req)
	} else {
		p.g.State.addFetchedPrompt(c.Server.ID, &p.req)
	}
	if !p.headWritten {
		p.g.Observer.Answered(p.route.Name, time.Since(p.start))
	}
}

// writeHead writes the status and headers of the first server's answer to the
// caller.
func (p *proxyRequest) writeHead(a *connpool.Answer) {
	if p.headWritten {
		return
	}
	p.headWritten = true
	h := p.w.Header()
	p.g.Wire.CopyAnswerHeaders(h, a.Header)
	p.markAnswer(true)
	if p.g.draining() {
		h.Set("Connection", "close")
	}
	p.w.WriteHeader(a.Status)
}
