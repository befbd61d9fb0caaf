package caller

import (
	"context"
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
)

// retrier makes a retry.Policy safe for concurrent use.
type retrier struct {
	mu     sync.Mutex
	policy *retry.Policy
}

func newRetrier(seed uint64) *retrier {
	return &retrier{policy: retry.NewPolicy(retry.DefaultConfig, seed)}
}

func (r *retrier) addRequest(group fleet.GroupName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.CountRequest(group)
}

func (r *retrier) decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Decide(a)
}

// remaining returns the time until the context's deadline, or an hour if there
// is none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
