package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/door"
)

// readAll returns the bytes of all events that eventReader returns for a stream,
// and the last id among them.
func readAll(r io.Reader) (out string, last string, err error) {
	e := &eventReader{memory: door.NewBudget(2*defaultBufferBytes, defaultBufferBytes), in: r}
	for {
		data, id, err := e.next()
		if err == io.EOF {
			return out, last, nil
		}
		if err != nil {
			return out, last, err
		}
		out += string(data)
		if id != "" {
			last = id
		}
	}
}

func TestEvents(t *testing.T) {
	Convey("A stream of events", t, func() {
		const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		for _, c := range []struct {
			name, in, out, last string
			// broken streams end with an error; it comes from the connection
			// where reset is set.
			broken, reset bool
		}{
			{"whole", whole, whole, "2", false, false},
			{"cut in the middle of an event", whole + "id: 3\nda", whole, "2", true, true},
			{"cut between events", whole, whole, "2", true, true},
			{"that ends inside an event", whole + "id: 3\n", whole, "2", true, false},
			{"that ends with a further line end", whole + "\n", whole + "\n", "2", false, false},
			{"that begins with another field", "weight-versions: 2\nid: 1\ndata: a\n\n", "weight-versions: 2\nid: 1\ndata: a\n\n", "1", false, false},
			{"without ids", "data: a\n\n", "data: a\n\n", "", false, false},
			{"empty", "", "", "", false, false},
		} {
			Convey(c.name, func() {
				in := io.Reader(strings.NewReader(c.in))
				if c.reset {
					in = io.MultiReader(in, iotest.ErrReader(errors.New("reset")))
				}
				out, last, err := readAll(iotest.OneByteReader(in))
				So(out, ShouldEqual, c.out)
				So(last, ShouldEqual, c.last)
				So(err != nil, ShouldEqual, c.broken)
			})
		}
	})
}

// FuzzEvents checks that events are forwarded byte for byte however the stream
// is divided into reads, and that no part of a truncated event is forwarded.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Add("\n\n\n", 1)
	f.Add("0\n\n\n0", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		if cut < 0 || cut > len(text) {
			return
		}
		out, _, err := readAll(io.MultiReader(strings.NewReader(text[:cut]), strings.NewReader(text[cut:])))
		end := strings.LastIndex(text, "\n\n")
		events := strings.TrimRight(text[:max(end, 0)], "\n")
		inside := strings.Trim(text[max(end, 0):], "\r\n") != ""
		switch {
		case !inside && (err != nil || out != text):
			t.Fatalf("%q became %q: %v", text, out, err)
		case inside && (!errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(text, out) || strings.TrimRight(out, "\n") != events):
			t.Fatalf("%q ends inside an event and became %q: %v", text, out, err)
		}
		out, _, err = readAll(io.MultiReader(strings.NewReader(text[:cut]), iotest.ErrReader(errors.New("reset"))))
		if err == nil || !strings.HasPrefix(text, out) || (out != "" && !strings.HasSuffix(out, "\n\n")) {
			t.Fatalf("%q was cut to %q: %v", text[:cut], out, err)
		}
	})
}

// countedMemory counts the reserved bytes.
type countedMemory struct{ reserved int64 }

func (m *countedMemory) Reserve(n int64) bool       { m.reserved += n; return true }
func (m *countedMemory) ReserveAnswer(n int64) bool { return m.Reserve(n) }
func (m *countedMemory) Release(n int64)            { m.reserved -= n }

// TestEventMemory guards against events without an end that hold more memory than is
// reserved for them.
func TestEventMemory(t *testing.T) {
	Convey("The whole buffer of an event without an end is reserved", t, func() {
		memory := &countedMemory{}
		e := &eventReader{memory: memory}
		e.in = readerFunc(func(p []byte) (int, error) {
			if int64(cap(e.buf)) > memory.reserved+freeEventBytes {
				t.Fatalf("%d bytes held, %d reserved", cap(e.buf), memory.reserved)
			}
			return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
		})
		_, _, err := e.next()
		So(err, ShouldEqual, errTooLong)
		e.release()
		So(memory.reserved, ShouldEqual, 0)
	})
}
