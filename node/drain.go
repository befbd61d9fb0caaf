package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/logline"
)

// drain makes the instance not ready, serves the requests that can end in time,
// and returns before the platform kills the process.
func (n *Node) drain(servers ...*http.Server) {
	began := time.Now()
	n.log.Info("stopping", zap.Int64("open", n.gateway.InFlight()))
	end := began.Add(n.settings.Grace - killMargin)
	n.draining.Store(true)
	n.gateway.Drain(end)
	// The platform sends requests here until two probes have failed.
	time.Sleep(min(readinessDelay, n.settings.Grace/2))
	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	if err := shutDown(ctx, servers); err != nil {
		n.log.Warn("grace time ended with requests in flight", zap.Int64("open", n.gateway.InFlight()), logline.Error(err))
		n.gateway.CutOpen()
	}
	if n.usage != nil {
		// The counts of the last requests reach another instance.
		time.Sleep(min(lastExchange, time.Until(end)))
	}
}

// shutDown closes the servers' listeners and waits until their requests have ended, at
// most until the context ends.
func shutDown(ctx context.Context, servers []*http.Server) error {
	results := make(chan error, len(servers))
	for _, s := range servers {
		go func() { results <- s.Shutdown(ctx) }()
	}
	var first error
	for range servers {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}
