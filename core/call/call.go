// Package call holds the typed form of one request as it passes through an
// instance: what the caller declared, what is sent to a server with it, and
// what a server's answer says besides its bytes. Package platform converts the
// types from and to headers.
package call

import (
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Part is one piece of a prompt. Requests share parts; a part that a server
// keeps is not read again if all parts before it are kept too.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller declares about one attempt.
type Request struct {
	ID fleet.RequestID
	// Deadline is how long the caller waits; 0 when it does not say.
	Deadline time.Duration
	Model    fleet.ModelName
	// PromptTokens and OutputTokens are the length of the prompt and the most
	// tokens of the answer; 0 for requests to plain services.
	PromptTokens int
	OutputTokens int
	// Parts is the prompt in order; the last part belongs to the request or
	// its session alone.
	Parts []Part
	// Rank is the operators' rank of the request's route, 0 is the highest.
	Rank int
	// LastEventID is the event after which a stream is to go on; "" for a
	// stream from its start.
	LastEventID string
}

// KVSource names KV cache that another server holds for a request.
type KVSource struct {
	Address string
	Handle  string
}

// SendOptions is what the instance adds to a request for one server.
type SendOptions struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// Expect is the only server that may run the request.
	Expect fleet.UpstreamID
	// Priority is the engine's rank of the request, 0 first; -1 sends none.
	Priority int
	// PrefillOnly has the prompt read and kept under a handle; the request
	// does not run.
	PrefillOnly bool
	// KVSource is KV cache to fetch before the run, or nil.
	KVSource *KVSource
	// FetchFrom is the address of an engine from which the server first copies
	// what that engine keeps of the prompt; "" has it read the prompt alone.
	FetchFrom string
	// LastEventID is the last event that the caller has; "" for none.
	LastEventID string
}

// Load is a server's own count of its requests at the time of an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what the headers of a server's answer say.
type Answer struct {
	RequestID fleet.RequestID
	// Signed tells that the server signed the body.
	Signed bool
	// NotRun tells that the server certainly did not run the request.
	NotRun bool
	// Load is nil when the server does not tell it.
	Load *Load
	// IdleTimeout is how long the server keeps an idle connection; 0 when it
	// does not say.
	IdleTimeout time.Duration
}

// Prefilled is the answer to a request that was sent with PrefillOnly.
type Prefilled struct {
	Handle string
	Tokens int
}
