package caller

import (
	"encoding/json"
	"net/http"
	"path"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPromptBlocks guards against cache hits across members and models, and
// against hashes that do not cover the whole text before them.
func TestPromptBlocks(t *testing.T) {
	Convey("Block hashes", t, func() {
		text := strings.Repeat("ledger ", 4000)
		blocks := promptBlocks("shea", "m", text)
		So(blocks, ShouldHaveLength, len(text)/blockBytes)
		So(promptBlocks("shea", "m", text), ShouldResemble, blocks)
		So(promptBlocks("polegar", "m", text)[0], ShouldNotEqual, blocks[0])
		So(promptBlocks("shea", "n", text)[0], ShouldNotEqual, blocks[0])
		So(promptBlocks("shea", "m", "L"+text[1:])[2], ShouldNotEqual, blocks[2])
		So(promptBlocks("shea", "m", text[:2*blockBytes+5]), ShouldResemble, blocks[:2])
		So(promptBlocks("shea", "m", "short"), ShouldBeEmpty)
	})
}

// FuzzParseCompletion guards against a panic on a caller's body, and against
// bodies that are accepted although they are invalid.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":3}`), false)
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Add([]byte(`{"prompt":["a","b"],"max_completion_tokens":-1}`), false)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		body, refusal := parseCompletion(raw, chat)
		if refusal != nil {
			return
		}
		if body.MaxTokens < 0 || body.N > 1 || body.promptText(chat) == "" {
			t.Fatalf("accepted %+v", body)
		}
	})
}

// TestCopyHeader guards against hop-by-hop headers that are passed on.
func TestCopyHeader(t *testing.T) {
	Convey("Headers of a service's answer", t, func() {
		to := http.Header{"X-Request-Id": {"ours"}}
		copyHeader(to, http.Header{
			"Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"},
			"X-Request-Id": {"theirs"}, "Etag": {"e"}, "Set-Cookie": {"a", "b"},
		})
		So(to, ShouldResemble, http.Header{"X-Request-Id": {"ours"}, "Etag": {"e"}, "Set-Cookie": {"a", "b"}})
	})
}

// FuzzCleanPath guards against accepting a path that a service resolves to
// another one.
func FuzzCleanPath(f *testing.F) {
	f.Add("/balance/7")
	f.Add("/balance/../payout")
	f.Add("//balance/./")
	f.Fuzz(func(t *testing.T, p string) {
		if strings.HasPrefix(p, "/") && cleanPath(p) && path.Clean(p) != p && path.Clean(p)+"/" != p {
			t.Fatalf("accepted %q, which resolves to %q", p, path.Clean(p))
		}
	})
}

// FuzzJSONString guards against a chunk that makes its event invalid: by a line
// break or a wrong JSON string.
func FuzzJSONString(f *testing.F) {
	f.Add("plain")
	f.Add("line\nbreak \"quoted\" \\ ü \u2028 \xff")
	f.Fuzz(func(t *testing.T, text string) {
		raw := appendJSONString(nil, text)
		var back string
		if err := json.Unmarshal(raw, &back); err != nil || back != strings.ToValidUTF8(text, "\ufffd") && strings.ToValidUTF8(text, "") == text {
			t.Fatalf("%q became %s", text, raw)
		}
		if strings.ContainsAny(string(raw), "\n\r") {
			t.Fatalf("line break in %s", raw)
		}
	})
}
