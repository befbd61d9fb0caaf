package gateway

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/door"
)

// TestBodiesInBlocks guards against bodies that are changed where two blocks meet, and
// against memory that is not counted or not given back.
func TestBodiesInBlocks(t *testing.T) {
	readers := map[string]func([]byte) io.Reader{
		"at once":     func(b []byte) io.Reader { return bytes.NewReader(b) },
		"end apart":   func(b []byte) io.Reader { return iotest.DataErrReader(bytes.NewReader(b)) },
		"in halves":   func(b []byte) io.Reader { return iotest.HalfReader(bytes.NewReader(b)) },
		"byte by one": func(b []byte) io.Reader { return iotest.OneByteReader(bytes.NewReader(b)) },
	}
	Convey("Bodies and answers of all lengths are whole, and their memory is counted", t, func() {
		for _, n := range []int{0, 1, 1023, 1024, 1025, 4096, 4097, door.BlockBytes - 1, door.BlockBytes, door.BlockBytes + 1, 3 * door.BlockBytes, 100_001} {
			want := make([]byte, n)
			for i := range want {
				want[i] = byte(i * 7 / 3)
			}
			for name, reader := range readers {
				budget := door.NewBudget(1<<20, 512<<10)
				p := &proxyRequest{g: &Gateway{budget: budget}, memory: budget}
				for kind, read := range map[string]func() (*body, error){
					"request of a known length":    func() (*body, error) { return p.readRequest(reader(want), int64(n)) },
					"request of an unknown length": func() (*body, error) { return p.readRequest(reader(want), unknownSize) },
					"answer":                       func() (*body, error) { return p.readAnswer(reader(want), 1<<20) },
				} {
					what := fmt.Sprint(kind, " of ", n, " bytes ", name)
					b, err := read()
					if err != nil || !bytes.Equal(b.joined(), want) || b.len() != n || !bytes.Equal(bytes.Join(b.pieces(), nil), want) {
						t.Fatalf("%s: %v", what, err)
					}
					if used := budget.Used(); used < int64(n)-uncountedBytes || used > int64(2*n)+door.BlockBytes {
						t.Errorf("%s: %d bytes reserved", what, used)
					}
					b.release()
					if used := budget.Used(); used != 0 {
						t.Errorf("%s: %d bytes not given back", what, used)
					}
				}
			}
		}
	})
	Convey("What does not fit is refused, and its memory given back", t, func() {
		budget := door.NewBudget(256<<10, 128<<10)
		p := &proxyRequest{g: &Gateway{budget: budget}, memory: budget}
		for _, size := range []int64{200 << 10, unknownSize} {
			_, err := p.readRequest(bytes.NewReader(make([]byte, 200<<10)), size)
			So(err, ShouldEqual, errBuffersFull)
			So(budget.Used(), ShouldEqual, 0)
		}
		b, err := p.readAnswer(bytes.NewReader(make([]byte, 200<<10)), 1<<20)
		So(err, ShouldBeNil)
		b.release()
		_, err = p.readAnswer(bytes.NewReader(make([]byte, 200<<10)), 100<<10)
		So(err, ShouldEqual, errAnswerTooLong)
		So(budget.Used(), ShouldEqual, 0)
	})
}
