// Package poll polls upstreams for their load and their cache events.
package poll

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/httphead"
	"github.com/bramleywick/bramleywick/upstream"
)

const (
	// pollPeriod is the time between two polls of an upstream. It bounds how
	// late an instance learns that an upstream is leaving if only the upstream
	// announces it.
	pollPeriod = 500 * time.Millisecond
	// pollTimeout bounds one poll. A later answer counts as a failure; three
	// failures in a row make an upstream unreachable within 1.5 s.
	pollTimeout = 400 * time.Millisecond
	// maxBodyBytes bounds the size of an answer.
	maxBodyBytes = 256 << 10
)

// Hooks receive the results of polling. They are called from several
// goroutines.
type Hooks struct {
	// Address returns the host:port of an upstream, or "" if it is no longer
	// declared.
	Address func(fleet.UpstreamID) string
	// Now returns the scheduler's time.
	Now func() fleet.Instant
	// Load receives a report, Failed a poll without a valid answer.
	Load   func(sched.LoadReport)
	Failed func(fleet.UpstreamID)
	// Cache receives the prefix cache events of an engine. If it is nil, they
	// are not polled.
	Cache func(sched.CacheUpdate)
}

// Poller polls a changing set of upstreams. It is safe for concurrent use.
type Poller struct {
	hooks Hooks
	http  *http.Client

	mu     sync.Mutex
	ctx    context.Context
	cancel map[fleet.UpstreamID]context.CancelFunc
}

// New returns a poller that polls until ctx ends.
func New(ctx context.Context, hooks Hooks) *Poller {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Poller{
		hooks: hooks, ctx: ctx, http: &http.Client{Transport: httphead.Transport{Base: transport}},
		cancel: map[fleet.UpstreamID]context.CancelFunc{},
	}
}

// SetUpstreams replaces the set of polled upstreams.
func (p *Poller) SetUpstreams(ids []fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := map[fleet.UpstreamID]bool{}
	for _, id := range ids {
		keep[id] = true
		if p.cancel[id] == nil {
			ctx, stop := context.WithCancel(p.ctx)
			p.cancel[id] = stop
			go p.run(ctx, id)
		}
	}
	for id, stop := range p.cancel {
		if !keep[id] {
			stop()
			delete(p.cancel, id)
		}
	}
}

// run polls one upstream until ctx ends. The jitter keeps the polls of many
// instances from coinciding.
func (p *Poller) run(ctx context.Context, id fleet.UpstreamID) {
	cache := cacheCursor{}
	for ctx.Err() == nil {
		begin := time.Now()
		p.poll(ctx, id, &cache)
		pause := pollPeriod*9/10 + rand.N(pollPeriod/5) - time.Since(begin)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll requests the load of one upstream and, if they are due, its cache
// events, and passes the results to the hooks.
func (p *Poller) poll(ctx context.Context, id fleet.UpstreamID, cache *cacheCursor) {
	address := p.hooks.Address(id)
	if address == "" {
		return
	}
	// The report is at least as new as the request. It may not include work
	// sent after that.
	sent := p.hooks.Now()
	var load upstream.Load
	err := p.get(ctx, "http://"+address+"/v1/load", &load)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.hooks.Failed(id)
		return
	}
	p.hooks.Load(reportOf(id, sent, load))
	if p.hooks.Cache != nil && cache.due(load) {
		p.pollCache(ctx, id, address, cache)
	}
}

// reportOf converts a load answer to a report. Negative counts become 0 and an
// unknown role becomes mixed.
func reportOf(id fleet.UpstreamID, sent fleet.Instant, l upstream.Load) sched.LoadReport {
	role, _ := fleet.ParseRole(l.Role)
	age := time.Duration(max(l.AgeMS, 0)) * time.Millisecond
	return sched.LoadReport{
		Upstream: id, Incarnation: l.Incarnation, At: sent - age, Role: role,
		Running: max(l.Running, 0), Waiting: max(l.Waiting, 0),
		WaitingPromptTokens: max(l.WaitingPromptTokens, 0),
		KVUsedTokens:        max(l.KVUsedTokens, 0), KVCapacityTokens: max(l.KVCapacityTokens, 0),
		PrefilledTotal: max(l.PrefilledTokensTotal, 0), GeneratedTotal: max(l.GeneratedTokensTotal, 0),
		Leaving: l.Leaving,
	}
}

// get reads one JSON answer into out. It returns an error for a status other
// than 200 and for an answer that is not valid JSON of at most maxBodyBytes.
func (p *Poller) get(ctx context.Context, url string, out any) error {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "poll %s", url)
	}
	// Go's default value would be a fifth of the request's bytes.
	req.Header["User-Agent"] = nil
	resp, err := p.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "poll %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("poll %s: status %d", url, resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	return errors.Wrapf(err, "poll %s: read answer", url)
}
