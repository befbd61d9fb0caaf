// Package caller is a small stand-in for callers, for development and tests: it
// sends streamed requests and checks that the whole answer arrives.
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

// Client sends requests to one callers' listener.
type Client struct {
	Address string // IP address and port
	Key     string // a member's key
	HTTP    *http.Client
}

// Send sends one streamed request. It fails unless the answer is complete and
// the one that a stand-in engine gives.
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
	text, err := read(bufio.NewScanner(resp.Body))
	if err != nil {
		return err
	}
	if want := strings.Join(engine.Answer(prompt, tokens), ""); text != want {
		return errors.Errorf("answer of %d bytes instead of the %d expected", len(text), len(want))
	}
	return nil
}

// read joins the chunks of a stream up to its end.
func read(lines *bufio.Scanner) (string, error) {
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
	return "", errors.New("the stream broke off")
}

// Load are clients that send requests one after another until stopped.
type Load struct {
	whole, broken atomic.Int64
	stopped       atomic.Bool
	clients       sync.WaitGroup
}

// Start starts one client per address and number of tokens.
func Start(key string, addresses []string, tokens ...int) *Load {
	l := &Load{}
	for _, address := range addresses {
		for _, n := range tokens {
			l.clients.Go(func() { l.run(Client{address, key, &http.Client{Transport: &http.Transport{}}}, n) })
		}
	}
	return l
}

func (l *Load) run(c Client, tokens int) {
	for !l.stopped.Load() {
		if c.Send(context.Background(), tokens) == nil {
			l.whole.Add(1)
		} else {
			l.broken.Add(1)
		}
	}
}

// Complete returns how many complete answers have arrived.
func (l *Load) Complete() int { return int(l.whole.Load()) }

// StopSending lets the clients end after their present requests.
func (l *Load) StopSending() { l.stopped.Store(true) }

// Stop lets the clients end and waits for them. It returns how many answers
// were complete and how many were not.
func (l *Load) Stop() (whole, broken int) {
	l.StopSending()
	l.clients.Wait()
	return int(l.whole.Load()), int(l.broken.Load())
}
