package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// readAll returns the bytes of all events that eventReader returns for a stream,
// and the last id among them.
func readAll(r io.Reader) (out string, last string, err error) {
	e := &eventReader{buffers: &buffers{limit: defaultBufferBytes}, in: r}
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
			broken              bool
		}{
			{"whole", whole, whole, "2", false},
			{"cut in the middle of an event", whole + "id: 3\nda", whole, "2", true},
			{"cut between events", whole, whole, "2", true},
			{"that ends without an empty line", whole + "id: 3\n", whole + "id: 3\n", "3", false},
			{"that begins with another field", "weight-versions: 2\nid: 1\ndata: a\n\n", "weight-versions: 2\nid: 1\ndata: a\n\n", "1", false},
			{"without ids", "data: a\n\n", "data: a\n\n", "", false},
			{"empty", "", "", "", false},
		} {
			Convey(c.name, func() {
				in := io.Reader(strings.NewReader(c.in))
				if c.broken {
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
	f.Fuzz(func(t *testing.T, text string, cut int) {
		if cut < 0 || cut > len(text) {
			return
		}
		out, _, err := readAll(io.MultiReader(strings.NewReader(text[:cut]), strings.NewReader(text[cut:])))
		if err != nil || out != text {
			t.Fatalf("%q became %q: %v", text, out, err)
		}
		out, _, err = readAll(io.MultiReader(strings.NewReader(text[:cut]), iotest.ErrReader(errors.New("reset"))))
		if err == nil || !strings.HasPrefix(text, out) || (out != "" && !strings.HasSuffix(out, "\n\n")) {
			t.Fatalf("%q was cut to %q: %v", text[:cut], out, err)
		}
	})
}
