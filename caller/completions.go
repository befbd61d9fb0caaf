package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/upstream"
)

const (
	maxRequestBytes  = 8 << 20
	defaultMaxTokens = 256
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     fleet.ModelName `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (b *completionBody) text() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return text.String()
}

// answerFormat shapes chunks for one of the two completion interfaces.
type answerFormat struct {
	object string
	choice func(text string, finish *string) any
}

var (
	textFormat = answerFormat{object: "text_completion", choice: func(text string, finish *string) any {
		return map[string]any{"index": 0, "text": text, "finish_reason": finish}
	}}
	chatChunkFormat = answerFormat{object: "chat.completion.chunk", choice: func(text string, finish *string) any {
		return map[string]any{"index": 0, "delta": message{Role: "assistant", Content: text}, "finish_reason": finish}
	}}
	chatFormat = answerFormat{object: "chat.completion", choice: func(text string, finish *string) any {
		return map[string]any{"index": 0, "message": message{Role: "assistant", Content: text}, "finish_reason": finish}
	}}
)

func (s *Server) completions(c echo.Context) error { return s.complete(c, textFormat, textFormat) }

func (s *Server) chatCompletions(c echo.Context) error {
	return s.complete(c, chatChunkFormat, chatFormat)
}

func (s *Server) complete(c echo.Context, streamed, whole answerFormat) error {
	id := newRequestID()
	index, member, refusal := s.identify(c)
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	var body completionBody
	raw := http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBytes)
	if err := json.NewDecoder(raw).Decode(&body); err != nil {
		return s.refuse(c, id, fleet.Refuse(fleet.ReasonBadRequest, "the body is not a completion request: %v", err))
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	kind, refusal := engineKind(index, member, fleet.KindName(c.Request().Header.Get("X-Kind")))
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	prompt := body.text()
	ticket, refusal := s.Requests.Submit(c.Request().Context(), sched.Request{
		ID: id, Member: member.ID, Kind: kind.Name,
		PromptTokens: len(prompt) / bytesPerToken, MaxOutputTokens: body.MaxTokens,
	})
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	in := upstream.CompletionRequest{RequestID: id, Model: body.Model, Prompt: prompt, MaxTokens: body.MaxTokens}
	if body.Stream {
		return s.answer(c, ticket, in, index, &sseWriter{c: c, id: id, format: streamed})
	}
	return s.answer(c, ticket, in, index, &wholeWriter{c: c, id: id, format: whole})
}

// bytesPerToken is the initial estimate of a prompt's length.
const bytesPerToken = 4

// engineKind returns the wanted kind, or the member's first kind that engines
// serve.
func engineKind(index *declare.Index, member *declare.Member, wanted fleet.KindName) (*declare.Kind, *fleet.Refusal) {
	for _, name := range member.Kinds {
		kind := index.Kind(name)
		group := index.Group(kind.Group)
		if name == wanted || wanted == "" && group.Type == declare.GroupEngine {
			return kind, nil
		}
	}
	return nil, fleet.Refuse(fleet.ReasonKindNotGranted, "kind %q is not granted", wanted)
}

// answerWriter sends an answer to the caller in one of two shapes.
type answerWriter interface {
	chunk(text string) error
	end(finish string, usage fleet.Usage) error
	begun() bool
}

func (s *Server) answer(c echo.Context, t *dispatch.Ticket, in upstream.CompletionRequest, index *declare.Index, w answerWriter) error {
	ctx := c.Request().Context()
	address := index.Upstream(t.Choice.Target).Address
	stream, err := s.Engines.Complete(ctx, address, in)
	if err != nil {
		t.Fail()
		return s.refuse(c, in.RequestID, &fleet.Refusal{Reason: fleet.ReasonUpstreamFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()})
	}
	defer func() { _ = stream.Close() }()
	first := true
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			t.Fail()
			return nil
		}
		if err != nil {
			t.Cancel()
			return err
		}
		if first {
			t.FirstToken()
			first = false
		}
		if chunk.Finish != "" {
			usage := fleet.Usage{}
			if chunk.Usage != nil {
				usage = *chunk.Usage
			}
			t.Finish(usage)
			return w.end(chunk.Finish, usage)
		}
		t.Tokens(chunk.Tokens)
		if err := w.chunk(chunk.Text); err != nil {
			t.Cancel()
			return err
		}
	}
}

// sseWriter streams server-sent events.
type sseWriter struct {
	c      echo.Context
	id     fleet.RequestID
	format answerFormat
	open   bool
}

func (w *sseWriter) begun() bool { return w.open }

func (w *sseWriter) send(text string, finish *string) error {
	if !w.open {
		w.open = true
		w.c.Response().Header().Set("Content-Type", "text/event-stream")
		w.c.Response().WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(map[string]any{
		"id": w.id, "object": w.format.object, "choices": []any{w.format.choice(text, finish)},
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w.c.Response(), "data: %s\n\n", raw); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}

func (w *sseWriter) chunk(text string) error { return w.send(text, nil) }

func (w *sseWriter) end(finish string, _ fleet.Usage) error {
	if err := w.send("", &finish); err != nil {
		return err
	}
	_, err := io.WriteString(w.c.Response(), "data: [DONE]\n\n")
	return err
}

// wholeWriter collects the answer and sends it as one JSON document.
type wholeWriter struct {
	c      echo.Context
	id     fleet.RequestID
	format answerFormat
	text   strings.Builder
}

func (w *wholeWriter) begun() bool { return false }

func (w *wholeWriter) chunk(text string) error {
	w.text.WriteString(text)
	return nil
}

func (w *wholeWriter) end(finish string, usage fleet.Usage) error {
	return w.c.JSON(http.StatusOK, map[string]any{
		"id": w.id, "object": w.format.object,
		"choices": []any{w.format.choice(w.text.String(), &finish)},
		"usage": map[string]int{
			"prompt_tokens":     usage.PromptTokens,
			"completion_tokens": usage.OutputTokens,
			"total_tokens":      usage.PromptTokens + usage.OutputTokens,
		},
	})
}
