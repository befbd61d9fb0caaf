package caller

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/upstream"
)

const defaultMaxTokens = 256

// joinedText is decoded from a JSON string, or from a list of strings and text
// parts, which are joined.
type joinedText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *joinedText) UnmarshalJSON(raw []byte) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] != '[' {
		return json.Unmarshal(raw, (*string)(t))
	}
	var parts []part
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(string(p))
	}
	*t = joinedText(joined.String())
	return nil
}

// part is an element of the list from which a joinedText is decoded: a string or
// an object of type "text".
type part string

// UnmarshalJSON implements json.Unmarshaler.
func (p *part) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '"' {
		return json.Unmarshal(raw, (*string)(p))
	}
	var object struct{ Type, Text string }
	if err := json.Unmarshal(raw, &object); err != nil {
		return err
	}
	if object.Type != "text" {
		return errors.New("only text parts are served")
	}
	*p = part(object.Text)
	return nil
}

type message struct {
	Role    string     `json:"role"`
	Content joinedText `json:"content"`
}

// completionBody is the body of a request to either completion interface.
type completionBody struct {
	Model     fleet.ModelName `json:"model"`
	Prompt    joinedText      `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens; it takes precedence.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	N                   int  `json:"n"`
	Stream              bool `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	upstream.Sampling
}

// parseCompletion decodes and checks a body. The refusal never quotes the body.
func parseCompletion(raw []byte, chat bool) (*completionBody, *fleet.Refusal) {
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "the body is not a completion request in JSON")
	}
	switch {
	case chat && len(b.Messages) == 0:
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "messages is empty")
	case !chat && b.Prompt == "":
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "prompt is empty")
	case b.N > 1:
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "n may be 1 only")
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0:
		return nil, fleet.Refuse(fleet.ReasonBadRequest, "max_tokens is negative")
	}
	if b.MaxCompletionTokens > 0 {
		b.MaxTokens = b.MaxCompletionTokens
	}
	return &b, nil
}

// promptText returns the prompt, for a chat the messages with their roles.
func (b *completionBody) promptText(chat bool) string {
	if !chat {
		return string(b.Prompt)
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return text.String()
}

// checkSize returns a refusal if the prompt or MaxTokens exceeds the kind's
// limits. It sets MaxTokens to its default if it is 0.
func (b *completionBody) checkSize(kind *declare.Kind, prompt string, limits Limits) *fleet.Refusal {
	tokens := promptTokens(prompt)
	if kind.MaxPromptTokens > 0 && tokens > kind.MaxPromptTokens {
		return fleet.Refuse(fleet.ReasonTooLarge, "the prompt has about %d tokens; kind %q allows %d", tokens, kind.Name, kind.MaxPromptTokens)
	}
	limit := kind.MaxOutputTokens
	if limit <= 0 {
		limit = limits.DefaultMaxOutputTokens
	}
	if b.MaxTokens > limit {
		return fleet.Refuse(fleet.ReasonTooLarge, "max_tokens is %d; kind %q allows %d", b.MaxTokens, kind.Name, limit)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = min(defaultMaxTokens, limit)
	}
	return nil
}

// engineKind returns the wanted kind if it is granted to the member. If wanted
// is empty, it returns the member's first kind whose engines serve the model,
// or any model if model is empty.
func engineKind(index *declare.Index, member *declare.Member, wanted fleet.KindName, model fleet.ModelName) (*declare.Kind, *fleet.Refusal) {
	for _, name := range member.Kinds {
		kind := index.Kind(name)
		group := index.Group(kind.Group)
		if group.Type != declare.GroupEngine || wanted != "" && name != wanted {
			continue
		}
		if model == "" || model == group.Model {
			return kind, nil
		}
		if wanted != "" {
			return nil, fleet.Refuse(fleet.ReasonBadRequest, "kind %q is not served by the model named in the body", wanted)
		}
	}
	if wanted != "" {
		return nil, fleet.Refuse(fleet.ReasonKindNotGranted, "the kind named in X-Kind is not granted for completions")
	}
	return nil, fleet.Refuse(fleet.ReasonKindNotGranted, "no granted kind serves the model")
}
