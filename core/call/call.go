// Package call holds the typed metadata of a request: what the caller declares,
// what the instance adds for a server, and what a server's answer says in its
// headers. Package platform converts the types from and to headers.
package call

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Part is one piece of a prompt. Requests can share parts; a part that an
// engine has cached needs no prefill if all parts before it are cached too.
type Part struct {
	ID string
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Request is what a caller declares about a request.
type Request struct {
	ID fleet.RequestID
	// Deadline is how long the caller waits; 0 when unknown.
	Deadline time.Duration
	Model    fleet.ModelName
	// PromptTokens is the length of the prompt and OutputTokens the maximum
	// length of the answer; 0 for requests to plain services.
	PromptTokens int
	OutputTokens int
	// Parts is the prompt in order; the last part belongs to the request or
	// its session alone.
	Parts []Part
	// Rank is the priority of the request's member or else of its route, 0 being
	// the most urgent.
	Rank int
	// Member is the member whose key the caller sent; "" if the request needs
	// no key.
	Member fleet.MemberID
	// LastEventID is the event after which a stream resumes; "" for a stream
	// from its start.
	LastEventID string
	// Resumes is the id of the attempt that brought the first event of a stream that
	// its caller takes up again; "" if it names none.
	Resumes fleet.RequestID
}

// UnsharedTokens returns the length of the part of the prompt that belongs to the
// request alone: the whole prompt when no parts are declared.
func (r *Request) UnsharedTokens() float64 {
	if n := len(r.Parts); n > 0 {
		return float64(r.Parts[n-1].Tokens)
	}
	return float64(r.PromptTokens)
}

// SharedParts returns the ids of the parts that other requests can hold too:
// all but the last one.
func (r *Request) SharedParts() []string {
	if len(r.Parts) < 2 {
		return nil
	}
	ids := make([]string, 0, len(r.Parts)-1)
	for _, p := range r.Parts[:len(r.Parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// KVSource identifies KV cache that another server holds for a request.
type KVSource struct {
	// Address is the address of that server.
	Address string
	// Handle is the name under which the server keeps the KV cache.
	Handle string
}

// SendOptions is what the instance adds to a request that it sends to a server.
type SendOptions struct {
	// Deadline is the remaining time.
	Deadline time.Duration
	// Expect is the server that the request is meant for; any other must reject
	// it.
	Expect fleet.UpstreamID
	// Member is the member for which the request runs; "" sends none.
	Member fleet.MemberID
	// Priority is the request's priority at the engine, 0 being the most
	// urgent; -1 sends none.
	Priority int
	// PrefillOnly requests prefill only: the KV cache is kept under a handle
	// and nothing is decoded.
	PrefillOnly bool
	// KVSource is the KV cache to fetch before decode, or nil.
	KVSource *KVSource
	// FetchFrom is the address of an engine from which the server first copies
	// the cached prefix of the prompt; "" for no copy.
	FetchFrom string
	// LastEventID is the last event that the caller has received; "" for none.
	LastEventID string
	// Reservation is the name of the slot that the server keeps for the request; ""
	// for none.
	Reservation string
}

// Load is a server's count of its requests at the time of an answer.
type Load struct {
	Running int
	Waiting int
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Pressure is how long work takes on the server's machine now, 1 being
	// normal; 0 when unknown.
	Pressure float64
}

// RateLimit is the rate of requests that a server takes from all instances
// together.
type RateLimit struct {
	// PerSecond is the number of requests per second, at least 0.
	PerSecond float64
	// Unreadable reports whether the server named something else than a number.
	Unreadable bool
}

// Pause is the time for which a server that turned a request away wants no other.
type Pause struct {
	// For is the time, at least 0.
	For time.Duration
	// Text is the server's text when it was shortened or could not be read; ""
	// otherwise.
	Text string
}

// Answer holds the headers of a server's answer.
type Answer struct {
	RequestID fleet.RequestID
	// Signed reports whether the server signed the body.
	Signed bool
	// NotRun reports whether the server states that it did not run the request.
	NotRun bool
	// Load is nil when the server does not report it.
	Load *Load
	// Limit is the rate that the server names; nil when it names none.
	Limit *RateLimit
	// Leaving reports whether the server says that its process leaves, and
	// LeavingUnreadable is what it says instead of that, "" for nothing.
	Leaving           bool
	LeavingUnreadable string
	// Pause is set when the server turns the request away and names a time for
	// which it wants nothing from this instance.
	Pause *Pause
	// IdleTimeout is how long the server keeps an idle connection open; 0 when
	// unknown.
	IdleTimeout time.Duration
}

// Prefilled is the answer to a request that was sent with PrefillOnly.
type Prefilled struct {
	// Handle is the name under which the engine keeps the KV cache.
	Handle string
	// Tokens is the number of prompt tokens as the engine reports it.
	Tokens int
}
