package links

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// deployments are the numbers of servers of fleets in use, with requests per second of
// one instance.
var deployments = []struct {
	servers   int
	perSecond float64
}{{21, 1}, {21, 30}, {64, 1}, {64, 10}, {115, 2}, {115, 40}}

const seeds = 10

// firstBytes are times to the first event: of an idle fleet and of a busy one.
var firstBytes = []time.Duration{120 * time.Millisecond, 900 * time.Millisecond}

// eachWorld calls f with each deployment, speed and seed after some seconds of service.
func eachWorld(f func(name string, w *world)) {
	for _, d := range deployments {
		for _, firstByte := range firstBytes {
			for seed := range uint64(seeds) {
				w := newWorld(seed, d.servers, d.perSecond, firstByte)
				w.run(5 * time.Second)
				f(fmt.Sprintf("%d servers, %g requests/s, first byte %v, seed %d", d.servers, d.perSecond, firstByte, seed), w)
			}
		}
	}
}

func TestFindsPartition(t *testing.T) {
	for name, c := range map[string]cut{"hang": cutSilent, "are reset": cutReset, "live on while new ones are refused": cutRefuse} {
		Convey("An instance whose connections to all servers "+name+" finds out and returns", t, func() {
			worst, worstAt := time.Duration(0), ""
			eachWorld(func(at string, w *world) {
				w.begin(c)
				w.run(6 * time.Second)
				So(w.State(), ShouldEqual, Partitioned)
				// A probe may find the cut before an attempt meets it.
				if took := w.partitionedAt - w.troubleAt; w.troubleAt != never && took > worst {
					worst, worstAt = took, at
				}
				w.probes = 0
				w.run(3 * time.Second)
				So(w.probes, ShouldBeBetweenOrEqual, 7, 14)
				ended := w.now
				w.begin(cutNone)
				w.run(5 * time.Second)
				So(w.partitions, ShouldEqual, 1)
				So(w.returnedAt-ended, ShouldBeBetween, 0, 2500*time.Millisecond)
			})
			t.Log(name, "found after at most", worst, worstAt)
			So(worst, ShouldBeLessThan, 1200*time.Millisecond)
		})
	}
}

func TestTroubleThatIsNoPartition(t *testing.T) {
	for _, c := range []struct {
		name   string
		happen func(*world)
	}{
		{"nothing", func(*world) {}},
		{"a release that stops a fifth of the servers at a time", func(w *world) {
			for i, s := range w.servers {
				w.after(time.Duration(i%5)*1500*time.Millisecond, func() { w.stop(s, 1200*time.Millisecond) })
			}
		}},
		{"a crash of a third of the servers, all of one data centre", func(w *world) {
			for i, s := range w.servers {
				if i%3 == 0 {
					w.stop(s, 8*time.Second)
				}
			}
		}},
		{"the loss of all servers of a small service", func(w *world) {
			for _, s := range w.servers[:plainServers] {
				w.stop(s, 8*time.Second)
			}
		}},
		{"one server that is silent for 1.5 s again and again", func(w *world) {
			for i := range 4 {
				w.after(time.Duration(i)*2*time.Second, func() { w.servers[4].silentUntil = w.now + 1500*time.Millisecond })
			}
		}},
		{"restarts of all servers one by one", func(w *world) {
			for i, s := range w.servers {
				w.after(time.Duration(i)*8*time.Second/time.Duration(len(w.servers)), func() { w.stop(s, 300*time.Millisecond) })
			}
		}},
	} {
		Convey(c.name+" is no partition and costs few probes", t, func() {
			worst, sum, n, worstAt := 0, 0, 0, ""
			eachWorld(func(at string, w *world) {
				w.probes = 0
				c.happen(w)
				w.run(10 * time.Second)
				So(fmt.Sprint(at, w.partitionedAt), ShouldEqual, fmt.Sprint(at, never))
				if w.probes > worst {
					worst, worstAt = w.probes, at
				}
				sum += w.probes
				n++
			})
			t.Log(c.name, "probes in 10 s: at most", worst, worstAt, "mean", float64(sum)/float64(n))
			So(worst, ShouldBeLessThanOrEqualTo, 20)
		})
	}
}

func TestFailureDuringReturn(t *testing.T) {
	Convey("An instance whose links fail again while they return goes back to the partition", t, func() {
		w := newWorld(1, 21, 100, firstBytes[0])
		w.run(2 * time.Second)
		w.begin(cutReset)
		w.run(2 * time.Second)
		w.begin(cutNone)
		So(w.runUntil(Returning), ShouldBeTrue)
		So(w.Share(), ShouldEqual, firstShare)
		So(w.Trusted(w.now), ShouldBeFalse)
		w.run(2*shareInterval + StepInterval)
		So(w.Share(), ShouldEqual, 4*firstShare)
		w.begin(cutReset)
		w.run(200 * time.Millisecond)
		So(w.State(), ShouldEqual, Partitioned)
		So(w.Share(), ShouldEqual, 0)
	})
}

func TestTrustAfterReturn(t *testing.T) {
	Convey("Failures count again a moment after the return", t, func() {
		w := newWorld(1, 21, 100, firstBytes[0])
		w.run(2 * time.Second)
		w.begin(cutSilent)
		w.run(3 * time.Second)
		w.begin(cutNone)
		So(w.runUntil(Connected), ShouldBeTrue)
		So(w.Trusted(w.now), ShouldBeFalse)
		So(w.Trusted(w.now+trustDelay), ShouldBeTrue)
	})
}

func TestFrozenInstance(t *testing.T) {
	Convey("What an instance missed while its process stood still says nothing", t, func() {
		w := newWorld(1, 21, 100, firstBytes[0])
		w.run(2 * time.Second)
		w.Waiting(w.now)
		So(w.State(), ShouldEqual, Connected)
		So(w.Step(w.now+fleet.Instant(3*time.Second)), ShouldBeEmpty)
		So(w.State(), ShouldEqual, Connected)
	})
}

// TestServersDownDuringReturn guards against an instance that takes servers which are down
// for a partition that has begun again.
func TestServersDownDuringReturn(t *testing.T) {
	Convey("Servers that are down while the links return are no partition", t, func() {
		again, againAt := 0, ""
		eachWorld(func(at string, w *world) {
			w.begin(cutReset)
			w.run(6 * time.Second)
			for i, s := range w.servers {
				if i%3 == 0 {
					w.stop(s, 30*time.Second)
				}
			}
			w.begin(cutNone)
			w.run(10 * time.Second)
			if w.partitions > 1 {
				again, againAt = again+1, at
			}
		})
		So(fmt.Sprint(again, againAt), ShouldEqual, "0")
	})
}

// TestFailuresBeforeAPause guards against servers that no longer count as failing because
// they failed before the process stood still, for example while it started.
func TestFailuresBeforeAPause(t *testing.T) {
	Convey("Servers fail, the process stands still, and they fail again", t, func() {
		d := New(func() float64 { return 0.5 }, 0)
		var list []Server
		for i := range 6 {
			list = append(list, Server{Address: fmt.Sprint("s", i), Group: "g", DataCentre: "dc"})
		}
		d.SetServers(list)
		fail := func(now fleet.Instant) {
			for _, s := range list {
				d.Failed(s.Address, now)
			}
		}
		fail(10 * time.Millisecond)
		So(d.Step(10*time.Millisecond+2*maxStepGap), ShouldBeEmpty)
		fail(20*time.Millisecond + 2*maxStepGap)
		So(d.Step(60*time.Millisecond+2*maxStepGap), ShouldNotBeEmpty)
		So(d.State(), ShouldEqual, Suspected)
	})
}
