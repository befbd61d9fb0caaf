package stream

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func chunk(seq int64) Chunk {
	return Chunk{RequestID: "r", Seq: seq, Text: string(rune('a' + seq%26)), Tokens: 1}
}

// drain pushes chunks and returns the sequence numbers in the order in which
// Next returns them, and the first error of Push.
func drain(s *Sequencer, seqs ...int64) (out []int64, err error) {
	for _, seq := range seqs {
		if err = s.Push(chunk(seq)); err != nil {
			return out, err
		}
		for c, ok := s.Next(); ok; c, ok = s.Next() {
			out = append(out, c.Seq)
		}
	}
	return out, nil
}

// TestSequencer guards against an answer with missing, duplicated or foreign
// tokens, and against unbounded memory for chunks out of order.
func TestSequencer(t *testing.T) {
	limits := Limits{MaxAhead: 3, MaxAheadBytes: 100, MaxAnswerBytes: 1000}
	Convey("Sequences of chunks", t, func() {
		for _, c := range []struct {
			name   string
			in     []int64
			out    []int64
			fault  Fault
			resume int64
		}{
			{"in order", []int64{1, 2, 3}, []int64{1, 2, 3}, "", 4},
			{"swapped", []int64{2, 1, 3}, []int64{1, 2, 3}, "", 4},
			{"doubled", []int64{1, 1, 2, 1, 2}, []int64{1, 2}, "", 3},
			{"early chunk doubled", []int64{3, 3, 1, 2}, []int64{1, 2, 3}, "", 4},
			{"late by as many chunks as the buffer holds", []int64{2, 3, 4, 1}, []int64{1, 2, 3, 4}, "", 5},
			{"missing", []int64{1, 3, 4, 5, 6}, []int64{1}, FaultGap, 2},
			{"number too low", []int64{1, 0}, []int64{1}, FaultBadChunk, 2},
			{"number far ahead", []int64{1, 1 << 62}, []int64{1}, FaultGap, 2},
		} {
			Convey(c.name, func() {
				s := New("r", limits)
				out, err := drain(s, c.in...)
				So(out, ShouldResemble, c.out)
				So(s.ResumeFrom(), ShouldEqual, c.resume)
				var fault *Error
				if errors.As(err, &fault) {
					So(fault.Fault, ShouldEqual, c.fault)
				} else {
					So(c.fault, ShouldEqual, Fault(""))
				}
			})
		}
		Convey("a chunk of another request is rejected", func() {
			err := New("other", limits).Push(chunk(1))
			So(err.(*Error).Fault, ShouldEqual, FaultWrongRequest)
		})
		Convey("nothing follows the last chunk", func() {
			s := New("r", limits)
			last := chunk(1)
			last.Finish = "stop"
			So(s.Push(last), ShouldBeNil)
			_, ok := s.Next()
			So(ok, ShouldBeTrue)
			out, err := drain(s, 2)
			So(out, ShouldBeEmpty)
			So(err, ShouldBeNil)
			So(s.Done(), ShouldBeTrue)
		})
		Convey("a gap is detected, and buffered chunks can be dropped", func() {
			s := New("r", limits)
			_, _ = drain(s, 1, 3)
			So(s.Gap(), ShouldBeTrue)
			s.Discard()
			So(s.Gap(), ShouldBeFalse)
			out, _ := drain(s, 2, 3)
			So(out, ShouldResemble, []int64{2, 3})
		})
		Convey("an answer beyond its bound is rejected", func() {
			s := New("r", Limits{MaxAhead: 3, MaxAheadBytes: 100, MaxAnswerBytes: 2})
			_, err := drain(s, 1, 2, 3)
			So(err.(*Error).Fault, ShouldEqual, FaultTooLong)
		})
	})
}

// TestSequencerAnyOrder guards against losing or repeating a chunk for any
// order within the window.
func TestSequencerAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("r", Limits{MaxAhead: 8, MaxAheadBytes: 1 << 10, MaxAnswerBytes: 1 << 20})
		want := int64(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			seq := rapid.Int64Range(max(1, want-4), want+8).Draw(t, "seq")
			out, err := drain(s, seq)
			if err != nil {
				t.Fatalf("chunk %d within the window: %v", seq, err)
			}
			for _, got := range out {
				if got != want {
					t.Fatalf("got chunk %d, want %d", got, want)
				}
				want++
			}
		}
	})
}
