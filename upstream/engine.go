package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
)

const (
	// maxPrefillAnswerBytes bounds the body of the answer to a prefill.
	maxPrefillAnswerBytes = 16 << 10
)

// DefaultStallTimeout is the longest time that an upstream may send nothing. It
// exceeds the prefill of the longest prompts, during which an engine is silent.
const DefaultStallTimeout = 30 * time.Second

// EngineClient calls the HTTP interface of engines. Safe for concurrent use.
type EngineClient struct {
	transport http.RoundTripper
	// StallTimeout is the longest time that an engine may send nothing before
	// the first chunk and between chunks. It must be set before first use.
	StallTimeout time.Duration
}

// NewEngineClient returns a client with the default stall timeout. transport
// must never send a request twice.
func NewEngineClient(transport http.RoundTripper) *EngineClient {
	return &EngineClient{transport: transport, StallTimeout: DefaultStallTimeout}
}

// Stream is the open, streamed answer of an engine. Not safe for concurrent use.
type Stream struct {
	address  string
	id       fleet.RequestID
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	body     io.ReadCloser
	events   *eventReader
}

// Complete sends a completion request to the engine at address (host:port) and
// returns the open stream, which the caller must close. Errors are of type
// *Error.
func (c *EngineClient) Complete(ctx context.Context, address string, in CompletionRequest) (*Stream, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, &Error{Step: StepComplete, Peer: address, NeverSent: true, Reason: retry.ReasonNotSent, cause: err}
	}
	s := &Stream{address: address, id: in.RequestID}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.watchdog = newWatchdog(c.StallTimeout, s.cancel)
	resp, err := c.post(s.ctx, StepComplete, address, "/v1/completions", raw)
	if err != nil {
		s.watchdog.close()
		s.cancel(nil)
		return nil, err
	}
	s.watchdog.stop()
	s.body = resp.Body
	s.events = newEventReader(&watchedReader{watchdog: s.watchdog, in: resp.Body})
	return s, nil
}

// Next waits for the next chunk and returns it, in the engine's order. Errors are
// of type *Error. The cause is ErrEnded if the stream ends.
func (s *Stream) Next() (Chunk, error) {
	data, err := s.events.next()
	if err == io.EOF {
		err = ErrEnded
	}
	if err != nil {
		return Chunk{}, transportError(s.ctx, StepStream, s.address, false, err)
	}
	chunk, err := decodeChunk(data, s.id)
	if err != nil {
		return Chunk{}, transportError(s.ctx, StepStream, s.address, false, err)
	}
	return chunk, nil
}

// Close closes the connection of the stream, which ends the answer at the engine.
func (s *Stream) Close() {
	s.watchdog.close()
	s.cancel(nil)
	_ = s.body.Close()
}

// Prefill computes a prompt's KV cache at the engine at address (host:port) and
// returns the handle for importing it elsewhere. Errors are of type *Error.
func (c *EngineClient) Prefill(ctx context.Context, address string, in PrefillRequest) (*KVHandle, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, &Error{Step: StepPrefill, Peer: address, NeverSent: true, Reason: retry.ReasonNotSent, cause: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer newWatchdog(c.StallTimeout, cancel).close()
	resp, err := c.post(ctx, StepPrefill, address, "/v1/prefill", raw)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	handle, err := decodeHandle(resp.Body)
	if err != nil {
		return nil, transportError(ctx, StepPrefill, address, false, err)
	}
	return handle, nil
}

// decodeHandle decodes the body of the answer to a prefill. The error is errDecode for
// a body without a handle.
func decodeHandle(r io.Reader) (*KVHandle, error) {
	var handle KVHandle
	if err := json.NewDecoder(io.LimitReader(r, maxPrefillAnswerBytes)).Decode(&handle); err != nil || handle.ID == "" {
		return nil, errDecode
	}
	return &handle, nil
}

// post sends a request once and returns an error of type *Error unless the
// status is 200.
func (c *EngineClient) post(ctx context.Context, step Step, address, path string, raw []byte) (*http.Response, error) {
	req, err := newRequest(ctx, http.MethodPost, "http://"+address+path, raw)
	if err != nil {
		return nil, transportError(ctx, step, address, true, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, transportError(ctx, step, address, neverSent(err), err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, statusError(step, address, resp.StatusCode)
	}
	return resp, nil
}

// Cancel asks the engine at address (host:port) to stop a request. It returns an error
// if the engine does not answer; the status of the answer is not checked.
func (c *EngineClient) Cancel(ctx context.Context, address string, id fleet.RequestID) error {
	target := "http://" + address + "/v1/requests/" + url.PathEscape(string(id))
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return errors.Wrapf(err, "cancel at engine %s", address)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "cancel at engine %s", address)
	}
	return resp.Body.Close()
}
