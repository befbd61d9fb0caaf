package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// digestOf returns the digest of a request with some content.
func digestOf(content string) string {
	var h [32]byte
	copy(h[:], content)
	return Digest(h, h)
}

// runAt lets a server of a service end under requests with the given contents, each at the
// instance of its number.
func (w *world) runAt(service string, contents ...string) {
	w.process++
	p := fleet.Process{Server: fleet.UpstreamID(fmt.Sprint("s", w.process%12)), StartTime: w.process}
	for i, content := range contents {
		v := Victim{Request: w.requestID(), Service: fleet.GroupName(service), Parts: Parts([]string{"shared"}, digestOf(content))}
		d := w.detectors[i%len(w.detectors)]
		if d.RequestBroken(p, v, w.now) {
			defer d.ProcessEnded(p, w.now)
		}
	}
}

// answerShared lets an instance answer another request with the part that all share.
func (w *world) answerShared() { w.answer(len(w.detectors)-1, "shared") }

func (w *world) refusingRequest(content string) int {
	n := 0
	for _, d := range w.detectors {
		if d.Refused([]string{digestOf(content)}, "", w.now) != nil {
			n++
		}
	}
	return n
}

// TestRepeatedRequest guards against a request that ends server after server because each
// of its repeats is taken for another one.
func TestRepeatedRequest(t *testing.T) {
	for _, n := range []int{1, 8, 390} {
		Convey(fmt.Sprintf("Three ends under one request make a verdict on it alone at all of %d instances", n), t, func() {
			w := newWorld(n)
			for k := range 3 {
				w.runAt("s", "dead", fmt.Sprint("sound", k))
				w.pass(200 * time.Millisecond)
				w.answerShared()
			}
			w.pass(time.Second)
			So(w.refusingRequest("dead"), ShouldEqual, n)
			So(w.refusing("shared"), ShouldEqual, 0)
			for k := range 3 {
				So(w.refusingRequest(fmt.Sprint("sound", k)), ShouldEqual, 0)
			}
			Convey("which is tried a few times only", func() {
				tried := 0
				for until := w.now + 15*time.Minute; w.now < until; w.pass(100 * time.Millisecond) {
					for i, d := range w.detectors[:min(n, 8)] {
						parts := Parts(nil, digestOf("dead"))
						if trial, refused := d.Admit(parts, w.now); refused == nil && trial != "" && d.StartTrial(trial, w.now) == nil {
							tried++
							w.process++
							p := fleet.Process{Server: "s", StartTime: w.process}
							if d.RequestBroken(p, Victim{Request: w.requestID(), Parts: parts}, w.now) {
								w.detectors[i].ProcessEnded(p, w.now)
							}
						}
					}
					if n > 8 {
						break
					}
				}
				So(tried, ShouldBeLessThanOrEqualTo, 3)
			})
		})
	}
	Convey("Ends at one moment suffice, and an answer to a trial ends the verdict", t, func() {
		w := newWorld(8)
		for range 3 {
			w.runAt("s", "same")
			w.now += 20 * time.Millisecond
		}
		w.pass(500 * time.Millisecond)
		So(w.refusingRequest("same"), ShouldEqual, 8)
		w.pass(2 * time.Second)
		w.detectors[2].Answered([]string{digestOf("same")}, w.now, w.now)
		w.pass(500 * time.Millisecond)
		So(w.refusingRequest("same"), ShouldEqual, 0)
	})
	Convey("Two requests that end the servers of one service by turns, and servers of another service that end too, are found by four ends each", t, func() {
		w := newWorld(8)
		for range 4 {
			w.runAt("s", "dead1")
			w.now += 30 * time.Millisecond
			w.runAt("s", "dead2", "bystander")
			w.runAt("other", "unrelated", "innocent")
			w.pass(300 * time.Millisecond)
			w.answerShared()
		}
		w.pass(time.Second)
		So(w.refusingRequest("dead1"), ShouldEqual, 8)
		So(w.refusingRequest("dead2"), ShouldEqual, 8)
	})
}

// TestSoundRequestAtEnds guards against a verdict on a request that was at servers which
// ended for other reasons.
func TestSoundRequestAtEnds(t *testing.T) {
	Convey("A popular request at every end, answered between the ends, is not refused", t, func() {
		w := newWorld(8)
		for k := range 10 {
			w.runAt("s", "popular", fmt.Sprint("once", k))
			w.pass(500 * time.Millisecond)
			w.detectors[k%8].Answered([]string{digestOf("popular")}, w.now, w.now)
			w.pass(300 * time.Millisecond)
		}
		So(w.refusingRequest("popular"), ShouldEqual, 0)
	})
	Convey("A request at five ends at moments at which other servers ended without it is not refused", t, func() {
		w := newWorld(8)
		for k := range 5 {
			w.runAt("s", "sound")
			w.runAt("s", fmt.Sprint("a", k))
			w.runAt("s", fmt.Sprint("b", k))
			w.pass(time.Second)
		}
		So(w.refusingRequest("sound"), ShouldEqual, 0)
	})
	Convey("Where one attempt in ten is at an end, few requests that are repeated four times are refused", t, func() {
		refused, sent := 0, 0
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 9))
			w := newWorld(8)
			for k := range 200 {
				content := fmt.Sprint("r", k)
				for range 4 {
					sent++
					if w.refusingRequest(content) > 0 {
						refused++
						continue
					}
					if random.IntN(10) == 0 {
						w.runAt("s", content)
						w.pass(100 * time.Millisecond)
						continue
					}
					w.detectors[random.IntN(8)].Answered([]string{digestOf(content)}, w.now, w.now)
					break
				}
			}
		}
		t.Logf("%d of %d attempts refused", refused, sent)
		So(refused, ShouldBeLessThan, sent/200)
	})
}

// TestAbandonedAttempts guards against ends that are not held against a request because
// its instance had given the attempt up just before.
func TestAbandonedAttempts(t *testing.T) {
	Convey("An attempt that was given up counts at an end", t, func() {
		w := newWorld(8)
		p := fleet.Process{Server: "s", StartTime: 1}
		v := Victim{Request: "r", Parts: Parts(nil, digestOf("dead"))}
		known := func() int {
			_, crashes, _ := w.detectors[0].Counts()
			return crashes
		}
		Convey("that this instance finds", func() {
			So(w.detectors[0].AttemptAbandoned(p, v, w.now), ShouldBeTrue)
			So(w.detectors[0].AttemptAbandoned(p, v, w.now), ShouldBeFalse)
			w.now += 250 * time.Millisecond
			w.detectors[0].ProcessEnded(p, w.now)
			So(known(), ShouldEqual, 1)
		})
		Convey("that another instance tells", func() {
			w.detectors[0].AttemptAbandoned(p, v, w.now)
			w.now += 50 * time.Millisecond
			if w.detectors[5].RequestBroken(p, Victim{Request: "other", Parts: Parts(nil, digestOf("other"))}, w.now) {
				w.detectors[5].ProcessEnded(p, w.now)
			}
			w.pass(500 * time.Millisecond)
			So(w.detectors[0].crashes[p].holds(digestOf("dead")), ShouldBeTrue)
			So(w.detectors[7].crashes[p].holds(digestOf("dead")), ShouldBeTrue)
		})
		Convey("but not at one that comes long after", func() {
			w.detectors[0].AttemptAbandoned(p, v, w.now)
			w.now += 2 * time.Second
			w.detectors[0].ProcessEnded(p, w.now)
			So(known(), ShouldEqual, 0)
		})
		Convey("in bounded memory", func() {
			for i := range 5000 {
				w.detectors[0].AttemptAbandoned(fleet.Process{Server: fleet.UpstreamID(fmt.Sprint(i)), StartTime: 1}, v, w.now)
				w.detectors[0].AttemptAbandoned(p, v, w.now)
			}
			So(len(w.detectors[0].abandoned), ShouldBeLessThanOrEqualTo, maxAbandonedServers)
		})
	})
}

// TestPartsWithDigest guards against a caller's part that stands for another's request.
func TestPartsWithDigest(t *testing.T) {
	Convey("A part's id is never taken for a digest, and the digest is always kept", t, func() {
		many := make([]string, 100)
		for i := range many {
			many[i] = fmt.Sprint("=part", i)
		}
		parts := Parts(many, digestOf("x"))
		So(len(parts), ShouldEqual, maxParts)
		So(parts[len(parts)-1], ShouldEqual, digestOf("x"))
		for _, part := range parts[:len(parts)-1] {
			So(IsDigest(part), ShouldBeFalse)
		}
	})
}

// TestHiddenBehindVerdict guards against a request that ends servers and whose ends are all
// put down to another one.
func TestHiddenBehindVerdict(t *testing.T) {
	Convey("A request that was at three ends that a verdict explains, and at one more, is refused", t, func() {
		w := newWorld(8)
		w.runAt("s", "dead1")
		w.pass(200 * time.Millisecond)
		for range 3 {
			w.runAt("s", "dead1", "dead2")
			w.pass(200 * time.Millisecond)
			w.answerShared()
		}
		So(w.refusingRequest("dead1"), ShouldEqual, 8)
		So(w.refusingRequest("dead2"), ShouldEqual, 0)
		w.runAt("s", "dead2")
		w.pass(500 * time.Millisecond)
		So(w.refusingRequest("dead2"), ShouldEqual, 8)
	})
}
