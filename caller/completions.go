package caller

import (
	"net/http"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

func (s *Server) completions(k *call) *fleet.Refusal { return s.complete(k, false) }

func (s *Server) chatCompletions(k *call) *fleet.Refusal { return s.complete(k, true) }

// complete answers a completion request.
func (s *Server) complete(k *call, chat bool) *fleet.Refusal {
	a, release, cancel, refusal := s.prepare(k, chat)
	defer release()
	if refusal != nil {
		return refusal
	}
	defer cancel()
	return a.run()
}

// prepare reads and checks a completion request and waits until the scheduler
// dispatches it. release frees the memory reserved for the body and is never
// nil; cancel ends the deadline's context and is nil with a refusal.
func (s *Server) prepare(k *call, chat bool) (a *answer, release, cancel func(), refusal *fleet.Refusal) {
	raw, release, refusal := s.limiter.readBody(k.c)
	if refusal != nil {
		return nil, release, nil, refusal
	}
	body, refusal := parseCompletion(raw, chat)
	if refusal != nil {
		return nil, release, nil, refusal
	}
	schedRequest, engineRequest, refusal := k.buildRequests(body, chat)
	if refusal != nil {
		return nil, release, nil, refusal
	}
	ctx, cancel := k.withDeadline()
	k.ticket, refusal = s.Requests.Submit(ctx, schedRequest)
	if refusal != nil {
		cancel()
		return nil, release, nil, refusal
	}
	a = newAnswer(ctx, k, engineRequest)
	a.writer = k.writer(a, body, chat, engineRequest.Model)
	return a, release, cancel, nil
}

// buildRequests sets the kind of a completion request, checks its limits and
// returns the requests to the scheduler and to the engine.
func (k *call) buildRequests(body *completionBody, chat bool) (sched.Request, upstream.CompletionRequest, *fleet.Refusal) {
	wanted := fleet.KindName(k.c.Request().Header.Get("X-Kind"))
	kind, refusal := engineKind(k.index, k.member, wanted, body.Model)
	if refusal != nil {
		return sched.Request{}, upstream.CompletionRequest{}, refusal
	}
	k.setKind(kind)
	prompt := body.promptText(chat)
	if refusal := body.checkSize(kind, prompt, k.s.Limits); refusal != nil {
		return sched.Request{}, upstream.CompletionRequest{}, refusal
	}
	model := k.index.Group(kind.Group).Model
	return sched.Request{
			ID: k.id, Member: k.member.ID, Kind: kind.Name,
			PromptTokens: promptTokens(prompt), MaxOutputTokens: body.MaxTokens,
			Blocks: promptBlocks(k.member.ID, model, prompt),
		}, upstream.CompletionRequest{
			RequestID: k.id, Model: model, Prompt: prompt, MaxTokens: body.MaxTokens, Sampling: body.Sampling,
		}, nil
}

// writer returns the writer for the answer format that the caller asked for.
func (k *call) writer(a *answer, body *completionBody, chat bool, model fleet.ModelName) answerWriter {
	if !body.Stream {
		shape := textShape
		if chat {
			shape = chatShape
		}
		a.keepText = true
		return &jsonWriter{k: k, shape: shape, head: shape.head(k.id, model), text: &a.text}
	}
	shape := textShape
	if chat {
		shape = chatChunkShape
	}
	k.events = &sseWriter{
		response: k.c.Response(), writeDeadline: k.writeDeadline, shape: shape, head: shape.head(k.id, model),
		withUsage: body.StreamOptions.IncludeUsage,
	}
	return k.events
}

// models lists the models of the groups that the member's kinds use.
func (s *Server) models(k *call) *fleet.Refusal {
	type model struct {
		ID      fleet.ModelName `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		OwnedBy string          `json:"owned_by"`
	}
	list := []model{}
	seen := map[fleet.ModelName]bool{}
	for _, name := range k.member.Kinds {
		id := k.index.Group(k.index.Kind(name).Group).Model
		if id != "" && !seen[id] {
			seen[id] = true
			list = append(list, model{ID: id, Object: "model", OwnedBy: "bramleywick"})
		}
	}
	_ = k.c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}
