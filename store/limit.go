package store

import (
	"context"
	"sync"
	"time"
)

// Limits bound what one client asks of the service.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond are the sustained rates; a waiting
	// watch counts as one read. Twice the rate may be sent in a burst.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// CallTimeout bounds one attempt of a call, without a watch's wait.
	CallTimeout time.Duration
}

// DefaultLimits let one instance use a small part of the service's several
// hundred writes and 2,000 reads a second: 8 instances at these rates stay
// below both.
func DefaultLimits() Limits {
	return Limits{ReadsPerSecond: 100, WritesPerSecond: 40, CallTimeout: 3 * time.Second}
}

// limiter is a token bucket.
type limiter struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

// burstSeconds is how many seconds' worth of calls may be sent at once.
const burstSeconds = 2

func newLimiter(rate float64) *limiter {
	return &limiter{rate: rate, tokens: rate * burstSeconds, last: time.Now()}
}

// take waits for a token and reports false when ctx ends first; then nothing
// has been sent.
func (l *limiter) take(ctx context.Context) bool {
	l.mu.Lock()
	now := time.Now()
	l.tokens = min(l.rate*burstSeconds, l.tokens+l.rate*now.Sub(l.last).Seconds())
	l.last = now
	// A negative balance is a reservation in order of arrival.
	l.tokens--
	missing := -l.tokens
	if missing <= 0 {
		l.mu.Unlock()
		return true
	}
	wait := time.Duration(missing / l.rate * float64(time.Second))
	if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
		l.tokens++
		l.mu.Unlock()
		return false
	}
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		l.mu.Lock()
		l.tokens++
		l.mu.Unlock()
		return false
	}
}
