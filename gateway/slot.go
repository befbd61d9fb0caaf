package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/connpool"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/logline"
)

// slot is a place for a request that an engine keeps free for a time, with the memory
// for its tokens.
type slot struct {
	engine placement.Choice
	name   string
}

const (
	// slotTimeout bounds the call that reserves a slot: the stream that is to go on
	// there is silent meanwhile.
	slotTimeout = 200 * time.Millisecond
	// maxReservationBytes bounds its answer.
	maxReservationBytes = 4 << 10
)

// reserveSlot makes an engine keep a slot for the request and reports whether the
// request can go on there. The slot is nil where none is needed: at a plain service, and
// at an engine that reserves none and has one free as far as is known.
func (p *proxyRequest) reserveSlot(engine placement.Choice) (*slot, bool) {
	if engine.Candidates == 0 {
		return nil, true
	}
	ttl := p.service.Engine.ReservationTime
	if ttl <= 0 {
		return nil, engine.Queue == 0
	}
	began := time.Now()
	name, status, err := p.askForSlot(engine.Server, min(ttl, p.remaining()))
	p.g.Log.Info("slot asked for", zap.String("request_id", string(p.req.ID)), zap.String("server", string(engine.Server.ID)),
		zap.Bool("reserved", err == nil), zap.Int("status", status), zap.Duration("expected", engine.Wait), zap.Duration("took", time.Since(began)),
		logline.Error(err))
	if err != nil {
		return nil, false
	}
	return &slot{engine: engine, name: name}, true
}

// askForSlot makes the call that reserves a slot and returns the name of the
// reservation.
func (p *proxyRequest) askForSlot(s placement.Server, ttl time.Duration) (name string, status int, err error) {
	method, path, body, err := p.g.Wire.ReserveRequest(p.req.PromptTokens+p.req.OutputTokens, ttl)
	if err != nil {
		return "", 0, err
	}
	// The answer is awaited also when the request ends, so that the slot is given up.
	ctx, stop := context.WithTimeout(context.Background(), slotTimeout)
	defer stop()
	header := http.Header{"Content-Type": {"application/json"}}
	answer, err := p.g.Pool.Do(ctx, &connpool.Request{
		Address: s.Address, MaxConns: p.g.State.maxConns(p.service), Method: method, URI: path, Host: s.Address,
		Header: p.g.Wire.RequestHeaders(header, call.SendOptions{Expect: s.ID, Priority: noPriority, Deadline: slotTimeout}),
		Body:   net.Buffers{body}, Check: func() error { return p.g.State.checkTakesRequests(s) },
	}, p.g.Wire)
	if err != nil {
		return "", 0, errors.Wrap(err, "reserve a slot")
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		return "", answer.Status, errors.New("reserve a slot: the engine keeps none")
	}
	raw, err := p.readAnswer(answer, maxReservationBytes)
	if err != nil {
		return "", answer.Status, errors.Wrap(err, "reserve a slot")
	}
	defer raw.release()
	name, err = p.g.Wire.ParseReservation(raw.joined())
	return name, answer.Status, err
}

// dropSlot gives up a slot that is not used, in the background.
func (p *proxyRequest) dropSlot(s *slot) {
	if s == nil {
		return
	}
	method, path := p.g.Wire.DropReservationRequest(s.name)
	p.free(s.engine.Server.Address, method, path)
}

// takeSlot counts a request that goes to an engine which keeps a slot for it.
func (s *State) takeSlot(server placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Take(server.Process(), s.now())
}
