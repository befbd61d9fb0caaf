package store

import (
	"context"
	"sync"
	"time"
)

// Limits limit the calls of one client to the service.
type Limits struct {
	// ReadsPerSecond and WritesPerSecond are the sustained rates. A pending
	// watch counts as one read. Bursts may use twice the rate.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// CallTimeout limits one attempt of a call, excluding a watch's wait.
	CallTimeout time.Duration
}

// DefaultLimits returns limits at which one instance uses a small part of the
// service's capacity of several hundred writes and 2,000 reads a second. Eight
// instances at these rates stay below both.
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

// burstSeconds is the size of the bucket in seconds of the sustained rate.
const burstSeconds = 2

func newLimiter(rate float64) *limiter {
	return &limiter{rate: rate, tokens: rate * burstSeconds, last: time.Now()}
}

// wait takes a token, waiting for it if necessary, and reports whether it got
// one before ctx ended. It returns false at once if ctx would end first.
// Without success no token is used.
func (l *limiter) wait(ctx context.Context) bool {
	l.mu.Lock()
	now := time.Now()
	l.tokens = min(l.rate*burstSeconds, l.tokens+l.rate*now.Sub(l.last).Seconds())
	l.last = now
	// A negative balance reserves tokens in the order of arrival.
	l.tokens--
	deficit := -l.tokens
	if deficit <= 0 {
		l.mu.Unlock()
		return true
	}
	wait := time.Duration(deficit / l.rate * float64(time.Second))
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
