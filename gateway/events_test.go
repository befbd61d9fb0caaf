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
			{"whose ids have gaps", "id: 9\n\nid: 10\n\nid:12\n\n", "id: 9\n\nid: 10\n\nid:12\n\n", "12", false, false},
			{"whose ids go back", whole + "id: 1\ndata: a\n\n", whole, "2", true, false},
			{"with an event twice", whole + "id: 2\ndata: b\n\n", whole, "2", true, false},
			{"whose ids are no numbers", "id: b\n\nid: a\n\n", "id: b\n\nid: a\n\n", "a", false, false},
			{"whose lines end with CRLF", crlf(whole), crlf(whole), "2", false, false},
			{"whose lines end with CR", cr(whole), cr(whole), "2", false, false},
			{"with CRLF, cut in the middle of an event", crlf(whole + "id: 3\nda"), crlf(whole), "2", true, true},
			{"with CR that ends inside an event", cr(whole + "id: 3\n"), cr(whole), "2", true, false},
			{"with all line ends", "id: 1\r\ndata: a\n\rid: 2\rdata: b\r\n\n", "id: 1\r\ndata: a\n\rid: 2\rdata: b\r\n\n", "2", false, false},
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

func crlf(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
func cr(text string) string   { return strings.ReplaceAll(text, "\n", "\r") }

// TestEventsArePassedOnAsTheyEnd guards against events that are held back until the stream
// ends because their lines do not end with LF.
func TestEventsArePassedOnAsTheyEnd(t *testing.T) {
	Convey("Each event is returned at its end, and its id with it", t, func() {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			event := strings.ReplaceAll("id: 1\ndata: a\n\n", "\n", end)
			in, out := io.Pipe()
			go func() { _, _ = out.Write([]byte(event + "id: 2")) }()
			e := &eventReader{memory: door.NewBudget(2*defaultBufferBytes, defaultBufferBytes), in: in}
			data, id, err := e.next()
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, event)
			So(id, ShouldEqual, "1")
			So(hasEvent(data), ShouldBeTrue)
			_ = in.Close()
		}
	})
}

// eventEnds returns the ends of the events of a text, line by line. A CR at its end may be
// half of a line end.
func eventEnds(text string) map[int]bool {
	ends := map[int]bool{}
	start := 0
	for i := 0; i < len(text); i++ {
		if text[i] != '\n' && text[i] != '\r' {
			continue
		}
		empty := i == start && i > 0
		half := text[i] == '\r' && i == len(text)-1 && i > 0 && text[i-1] == '\n'
		if text[i] == '\r' && i+1 < len(text) && text[i+1] == '\n' {
			i++
		}
		start = i + 1
		if empty && !half {
			ends[start] = true
		}
	}
	return ends
}

// FuzzEvents checks that events are forwarded byte for byte however the stream
// is divided into reads, and that no part of a truncated event is forwarded.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Add("\n\n\n", 1)
	f.Add("0\n\n\n0", 3)
	f.Add("id: 1\r\ndata: a\r\n\r\nid: 2", 18)
	f.Add("id: 1\rdata: a\r\rid: 2\r\r", 16)
	f.Add("a\n\r\n\r", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		if cut < 0 || cut > len(text) {
			return
		}
		out, _, err := readAll(io.MultiReader(strings.NewReader(text[:cut]), strings.NewReader(text[cut:])))
		end := 0
		for e := range eventEnds(text) {
			end = max(end, e)
		}
		events := strings.TrimRight(text[:end], "\r\n")
		inside := strings.Trim(text[end:], "\r\n") != ""
		switch {
		case !inside && (err != nil || out != text):
			t.Fatalf("%q became %q: %v", text, out, err)
		case inside && (!errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(text, out) || strings.TrimRight(out, "\r\n") != events):
			t.Fatalf("%q ends inside an event and became %q: %v", text, out, err)
		}
		out, _, err = readAll(io.MultiReader(strings.NewReader(text[:cut]), iotest.ErrReader(errors.New("reset"))))
		if err == nil || !strings.HasPrefix(text, out) || (out != "" && !eventEnds(text[:cut])[len(out)]) {
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
