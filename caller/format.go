package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// answerWriter writes an answer to the caller, as events or as one document.
type answerWriter interface {
	// chunk writes the next piece of the text, which arrived at the given time.
	chunk(text string, at time.Time) error
	// end writes the finish reason and the usage, and ends the answer.
	end(finish string, usage fleet.Usage) error
}

// answerShape is the JSON around the text in one format of answers.
type answerShape struct {
	object      string
	open, close string // the JSON between "choices":[{"index":0, and the text, and after it
}

var (
	textShape      = answerShape{"text_completion", `"text":`, ``}
	chatChunkShape = answerShape{"chat.completion.chunk", `"delta":{"role":"assistant","content":`, `}`}
	chatShape      = answerShape{"chat.completion", `"message":{"role":"assistant","content":`, `}`}
)

// head returns the JSON of an answer up to its text, with the current time as
// the time of creation.
func (f answerShape) head(id fleet.RequestID, model fleet.ModelName) string {
	var name []byte
	name = appendJSONString(name, string(model))
	return fmt.Sprintf(`{"id":"%s","object":"%s","created":%d,"model":%s,"choices":[{"index":0,%s`,
		id, f.object, time.Now().Unix(), name, f.open)
}

// appendJSONString appends s as a JSON string. Plain ASCII text, the common
// case, is copied without the JSON encoder.
func appendJSONString(dst []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			raw, _ := json.Marshal(s) // a string always encodes
			return append(dst, raw...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

func appendUsage(dst []byte, u fleet.Usage) []byte {
	return fmt.Appendf(dst, `{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		u.PromptTokens, u.OutputTokens, u.PromptTokens+u.OutputTokens, u.CachedTokens)
}

// sseWriter writes an answer as server-sent events.
type sseWriter struct {
	response      *echo.Response
	writeDeadline *writeDeadline
	shape         answerShape
	head          string
	// withUsage adds an event with the usage before the end.
	withUsage bool
	buffer    []byte
}

// begin writes the header unless it was written before.
func (w *sseWriter) begin() {
	if w.response.Committed {
		return
	}
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.response.WriteHeader(http.StatusOK)
}

// event appends an event to the buffer.
func (w *sseWriter) event(text string, finish string) {
	w.buffer = append(w.buffer, "data: "...)
	w.buffer = append(w.buffer, w.head...)
	w.buffer = appendJSONString(w.buffer, text)
	w.buffer = append(w.buffer, w.shape.close...)
	w.buffer = append(w.buffer, `,"finish_reason":`...)
	if finish == "" {
		w.buffer = append(w.buffer, "null"...)
	} else {
		w.buffer = appendJSONString(w.buffer, finish)
	}
	w.buffer = append(w.buffer, "}]}\n\n"...)
}

// flush writes the buffer to the caller.
func (w *sseWriter) flush(now time.Time) error {
	w.begin()
	w.writeDeadline.extendAt(now)
	_, err := w.response.Write(w.buffer)
	w.buffer = w.buffer[:0]
	if err != nil {
		return err
	}
	return w.writeDeadline.control.Flush()
}

func (w *sseWriter) chunk(text string, at time.Time) error {
	w.event(text, "")
	return w.flush(at)
}

func (w *sseWriter) end(finish string, usage fleet.Usage) error {
	w.event("", finish)
	if w.withUsage {
		w.buffer = append(w.buffer, "data: "...)
		w.buffer = append(w.buffer, w.head[:strings.Index(w.head, `"choices":[`)]...)
		w.buffer = append(w.buffer, `"choices":[],"usage":`...)
		w.buffer = appendUsage(w.buffer, usage)
		w.buffer = append(w.buffer, "}\n\n"...)
	}
	w.buffer = append(w.buffer, "data: [DONE]\n\n"...)
	return w.flush(time.Now())
}

// fail ends a stream with an error event.
func (w *sseWriter) fail(body []byte) error {
	w.buffer = append(w.buffer[:0], "event: error\ndata: "...)
	w.buffer = append(w.buffer, body...)
	w.buffer = append(w.buffer, "\n\n"...)
	return w.flush(time.Now())
}

// jsonWriter writes an answer as one JSON document. The answer that uses the
// writer collects the text.
type jsonWriter struct {
	k     *call
	shape answerShape
	head  string
	text  *strings.Builder
}

func (w *jsonWriter) chunk(string, time.Time) error { return nil }

func (w *jsonWriter) end(finish string, usage fleet.Usage) error {
	body := make([]byte, 0, len(w.head)+w.text.Len()+256)
	body = append(body, w.head...)
	body = appendJSONString(body, w.text.String())
	body = append(body, w.shape.close...)
	body = append(body, `,"finish_reason":`...)
	body = appendJSONString(body, finish)
	body = append(body, `}],"usage":`...)
	body = appendUsage(body, usage)
	body = append(body, '}')
	w.k.c.Response().Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.k.writeDeadline.extend()
	return w.k.c.JSONBlob(http.StatusOK, body)
}
