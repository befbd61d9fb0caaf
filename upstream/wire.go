// Package upstream holds the clients of engines and plain services.
package upstream

import (
	"encoding/json"
	"net/http"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/stream"
)

// CompletionRequest is the body of POST /v1/completions at an engine.
type CompletionRequest struct {
	RequestID fleet.RequestID `json:"request_id"`
	Model     fleet.ModelName `json:"model,omitempty"`
	Prompt    string          `json:"prompt"`
	// MaxTokens bounds the whole answer, including Prefix.
	MaxTokens int `json:"max_tokens"`
	// Priority orders the engine's queue; a higher value goes first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the sequence number of the first missing chunk.
	ResumeFrom int64 `json:"resume_from,omitempty"`
	// Prefix is the part of the answer that another engine has generated. The
	// engine continues after it and numbers chunks from ResumeFrom.
	Prefix string `json:"prefix,omitempty"`
	// KVFrom is the handle of the prompt's KV cache at the engine that prefilled
	// it; nil means that there is none to import.
	KVFrom *KVHandle `json:"kv_from,omitempty"`
	Sampling
}

// Sampling holds the caller's sampling fields, which are passed to the engine
// unchanged.
type Sampling struct {
	Temperature json.RawMessage `json:"temperature,omitempty"`
	TopP        json.RawMessage `json:"top_p,omitempty"`
	Stop        json.RawMessage `json:"stop,omitempty"`
	Seed        json.RawMessage `json:"seed,omitempty"`
}

// KVHandle identifies exported KV cache at an engine.
type KVHandle struct {
	Address string `json:"address"` // host:port of the exporting engine
	ID      string `json:"id"`
}

// PrefillRequest is the body of POST /v1/prefill at an engine.
type PrefillRequest struct {
	RequestID fleet.RequestID `json:"request_id"`
	Model     fleet.ModelName `json:"model,omitempty"`
	Prompt    string          `json:"prompt"`
	Priority  int             `json:"priority,omitempty"`
}

// Chunk is one server-sent event of an engine's answer.
type Chunk = stream.Chunk

// StatusKVMissing is the status of an engine's answer to a completion whose KV
// cache it could not import. The engine has generated nothing.
const StatusKVMissing = http.StatusFailedDependency

// Load is the body of the answer to GET /v1/load at an engine or a plain service.
type Load struct {
	Incarnation         fleet.Incarnation `json:"incarnation"`
	Sequence            int64             `json:"sequence"`
	Role                string            `json:"role,omitempty"`
	Models              []fleet.ModelName `json:"models,omitempty"`
	Running             int               `json:"running"`
	Waiting             int               `json:"waiting"`
	WaitingPromptTokens int               `json:"waiting_prompt_tokens"`
	KVUsedTokens        int               `json:"kv_used_tokens"`
	KVCapacityTokens    int               `json:"kv_capacity_tokens"`
	// PrefilledTokensTotal and GeneratedTokensTotal count the prompt and output
	// tokens processed by this incarnation; absent when the upstream does not
	// count them.
	PrefilledTokensTotal int64 `json:"prefilled_tokens_total,omitempty"`
	GeneratedTokensTotal int64 `json:"generated_tokens_total,omitempty"`
	Leaving              bool  `json:"leaving"`
	// AgeMS is the age of the report when it was sent, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}
