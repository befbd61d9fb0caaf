// Package caller is a stand-in for callers, for development and tests. It sends
// streamed requests and checks that the complete answer arrives.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/standin/engine"
)

// prompt is the prompt of every request.
const prompt = "one two"

// Client sends requests to one callers' listener as a member.
type Client struct {
	Address string // IP address and port
	Key     string // a member's key
	HTTP    *http.Client
}

// Send sends one streamed request for up to tokens output tokens. It returns an error
// unless the answer is complete and equal to that of a stand-in engine.
func (c Client) Send(ctx context.Context, tokens int) error {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("refused with status %d", resp.StatusCode)
	}
	text, err := readStream(bufio.NewScanner(resp.Body))
	if err != nil {
		return err
	}
	if want := strings.Join(engine.Answer(prompt, tokens), ""); text != want {
		return errors.Errorf("answer of %d bytes instead of the %d expected", len(text), len(want))
	}
	return nil
}

// readStream returns the joined text of a stream's chunks, or an error if the stream has
// no end marker.
func readStream(lines *bufio.Scanner) (string, error) {
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", errors.Wrap(err, "decode chunk")
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)
		}
	}
	return "", errors.New("the stream ended without its end marker")
}

// Load is a group of clients that each send requests one after another until they
// are stopped.
type Load struct {
	complete, broken atomic.Int64
	stopped          atomic.Bool
	clients          sync.WaitGroup
}

// StartLoad starts one client for each address and each answer length in tokens.
func StartLoad(key string, addresses []string, tokens ...int) *Load {
	l := &Load{}
	for _, address := range addresses {
		for _, n := range tokens {
			l.clients.Go(func() { l.run(Client{address, key, &http.Client{Transport: &http.Transport{}}}, n) })
		}
	}
	return l
}

// run sends requests with c until StopSending.
func (l *Load) run(c Client, tokens int) {
	for !l.stopped.Load() {
		if c.Send(context.Background(), tokens) == nil {
			l.complete.Add(1)
		} else {
			l.broken.Add(1)
		}
	}
}

// Complete returns the number of complete answers so far.
func (l *Load) Complete() int { return int(l.complete.Load()) }

// StopSending makes the clients end after their current requests, without waiting.
func (l *Load) StopSending() { l.stopped.Store(true) }

// Stop makes the clients end after their current requests and waits for them. It
// returns how many answers were complete and how many were not.
func (l *Load) Stop() (complete, broken int) {
	l.StopSending()
	l.clients.Wait()
	return int(l.complete.Load()), int(l.broken.Load())
}
