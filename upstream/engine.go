package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// maxChunkBytes bounds one server-sent event of an engine.
const maxChunkBytes = 64 << 10

// EngineClient calls the HTTP interface of engines. Safe for concurrent use.
type EngineClient struct {
	http *http.Client
}

// NewEngineClient returns a client that uses transport's connections.
func NewEngineClient(transport http.RoundTripper) *EngineClient {
	return &EngineClient{http: &http.Client{Transport: transport}}
}

// Stream is one open answer of an engine.
type Stream struct {
	address string
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Complete starts an answer at the engine at address (host:port).
func (c *EngineClient) Complete(ctx context.Context, address string, in CompletionRequest) (*Stream, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	url := "http://" + address + "/v1/completions"
	// Hiding the reader's type leaves GetBody unset, so that the HTTP library
	// cannot resend the request on its own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return nil, errors.Wrapf(err, "complete at engine %s", address)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "complete at engine %s", address)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("complete at engine %s: status %d", address, resp.StatusCode)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxChunkBytes)
	return &Stream{address: address, body: resp.Body, scanner: scanner}, nil
}

// Next returns the next chunk, or io.EOF after the stream has ended.
func (s *Stream) Next() (Chunk, error) {
	for s.scanner.Scan() {
		data, ok := strings.CutPrefix(s.scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return Chunk{}, errors.Wrapf(err, "decode chunk from engine %s", s.address)
		}
		return chunk, nil
	}
	if err := s.scanner.Err(); err != nil {
		return Chunk{}, errors.Wrapf(err, "read stream from engine %s", s.address)
	}
	return Chunk{}, io.EOF
}

// Close ends the stream; the engine sees the connection close.
func (s *Stream) Close() error { return s.body.Close() }

// Cancel asks the engine to stop a request.
func (c *EngineClient) Cancel(ctx context.Context, address string, id fleet.RequestID) error {
	url := "http://" + address + "/v1/requests/" + string(id)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrapf(err, "cancel at engine %s", address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "cancel at engine %s", address)
	}
	return resp.Body.Close()
}
