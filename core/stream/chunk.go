// Package stream reorders the chunks of an engine's answer: it drops
// duplicates, buffers early chunks within bounds, detects gaps and knows where
// a broken stream must be resumed.
package stream

import "github.com/bramleywick/bramleywick/core/fleet"

// Chunk is a piece of an engine's answer. Sequence numbers start at 1 and
// increase by 1.
type Chunk struct {
	RequestID fleet.RequestID `json:"request_id"`
	Seq       int64           `json:"seq"`
	Text      string          `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// Finish is "stop" or "length" on the last chunk.
	Finish string       `json:"finish,omitempty"`
	Usage  *fleet.Usage `json:"usage,omitempty"`
}
