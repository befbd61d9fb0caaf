package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"testing"
	"unicode/utf8"
)

// FuzzEvents guards against a crash and against unbounded memory on arbitrary
// bytes from an engine.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"seq\":1}\n\n: comment\ndata:{\"seq\":2,\"finish\":\"stop\"}\r\n\n"))
	f.Add([]byte("data: [DONE]\n"))
	f.Add(append(bytes.Repeat([]byte("x"), 5000), "\ndata: {}\n"...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := newEventReader(bytes.NewReader(raw))
		for {
			data, err := r.next()
			if err != nil {
				if err != io.EOF && err != ErrTooLarge {
					t.Fatal(err)
				}
				return
			}
			if len(data) > maxChunkBytes || cap(r.longLine) > 4*maxChunkBytes {
				t.Fatalf("event of %d bytes, buffer of %d", len(data), cap(r.longLine))
			}
			_, _ = decodeChunk(data, "r")
		}
	})
}

// FuzzChunk guards against a chunk that the fast decoders decode differently from
// the standard library.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"request_id":"r","seq":31,"text":"a\u00fc\n","tokens":1,"finish":"stop","usage":{"prompt_tokens":1}}`))
	f.Add([]byte(`{"request_id":"r","seq":31,"text":"a b ","tokens":1}`))
	f.Add([]byte(`{"request_id":"r","seq":031,"text":"a\\","tokens":1}`))
	f.Add([]byte(`{"seq":"1"}`))
	f.Add([]byte(`{"seq":1}x`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !utf8.Valid(raw) {
			return
		}
		got, err := decodeChunk(raw, "r")
		var want Chunk
		wantErr := json.Unmarshal(raw, &want)
		if err == nil && wantErr != nil {
			t.Fatalf("accepted, but: %v", wantErr)
		}
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// FuzzHandle guards against a crash on an engine's answer to a prefill and against
// a handle without id.
func FuzzHandle(f *testing.F) {
	f.Add([]byte(`{"address":"127.0.0.1:1","id":"kv-1"}`))
	f.Add([]byte(`{"id":""}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		handle, err := decodeHandle(bytes.NewReader(raw))
		if err == nil && handle.ID == "" {
			t.Fatal("accepted a handle without id")
		}
	})
}
