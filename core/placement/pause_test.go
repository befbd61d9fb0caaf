package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// pauseResult is the outcome of simulatePauses.
type pauseResult struct {
	// during is the highest number of requests that one instance sent to a server
	// that it knew to be paused, and first the number of all requests that were
	// turned away.
	during, first int
	// wave is the highest number of requests that reached a server in waveSpan
	// after a pause, over the mean of an unpaused server.
	wave float64
	// served is the share of the requests that were served, or that could not be
	// because all servers were paused.
	served float64
}

// waveSpan is the time after a pause in which a wave shows, long enough that chance
// alone adds less than a third.
const waveSpan = 500 * time.Millisecond

// simulatePauses simulates instances in front of servers of eight slots, with
// views of each other that are renewed every 200 ms. A request takes 50 ms. From
// paused(n, now) on, server n turns requests away until the returned time.
func simulatePauses(instances, servers int, load float64, paused func(n int, now fleet.Instant) fleet.Instant) pauseResult {
	const slots, took, age, length = 8, 50 * time.Millisecond, 200 * time.Millisecond, 12 * time.Second
	random := rand.New(rand.NewPCG(2, uint64(instances)))
	fleets := make([]*Fleet, instances)
	for i := range fleets {
		fleets[i] = newFleet(0, servers)
		for _, s := range fleets[i].groups["llm"] {
			s.Slots, s.DataCentre = slots, "dc0"
		}
	}
	number := map[fleet.UpstreamID]int{}
	for n, s := range fleets[0].groups["llm"] {
		number[s.ID] = n
	}
	var open []openRun
	ended := make([]fleet.Instant, servers)
	inWave := make([]int, servers)
	known := map[[2]int]fleet.Instant{}
	during := map[[2]int]int{}
	perSecond := load * float64(servers*slots) / took.Seconds()
	var out pauseResult
	total, served, most := 0, 0, 0
	var now, renewed fleet.Instant
	for now < length {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		open = endRuns(fleets, open, now)
		if now-renewed >= age {
			renewed = now
			renewViews(fleets, now)
		}
		for n := range servers {
			if until := paused(n, now); until > now {
				ended[n], inWave[n] = until, 0
			}
		}
		at := random.IntN(instances)
		id := fleet.RequestID(fmt.Sprint("r", total))
		total++
		var skip []fleet.UpstreamID
		for range servers + 1 {
			c, ok := fleets[at].ChoosePlain("llm", id, now, skip)
			if !ok {
				break
			}
			n := number[c.Server.ID]
			if until := paused(n, now); until > now {
				out.first++
				key := [2]int{at, n}
				if known[key] > now {
					during[key]++
					out.during = max(out.during, during[key])
				}
				known[key] = until
				fleets[at].Pause(c.Server.Process(), until)
				skip = append(skip, c.Server.ID)
				continue
			}
			if ended[n] > 0 && now-ended[n] < waveSpan {
				inWave[n]++
				most = max(most, inWave[n])
			}
			fleets[at].Begin(c.Server.ID, 0, 0)
			open = append(open, openRun{at, c.Server.ID, now + took})
			served++
			break
		}
	}
	out.wave = float64(most) / (perSecond * waveSpan.Seconds() / float64(servers))
	out.served = float64(served) / float64(total)
	return out
}

// TestPause guards against requests to a server that has turned one away and named
// a time, against a wave of them when the time is over, and against requests that
// are lost though other servers take them.
func TestPause(t *testing.T) {
	const pause = 2 * time.Second
	for _, instances := range []int{1, 8, 195} {
		Convey(fmt.Sprintf("With %d instances", instances), t, func() {
			Convey("and one server that pauses, the others take its requests and it is filled again slowly", func() {
				r := simulatePauses(instances, 6, 0.5, func(n int, now fleet.Instant) fleet.Instant {
					if n == 0 && now%(4*time.Second) >= 2*time.Second {
						return now - now%(4*time.Second) + 2*pause
					}
					return 0
				})
				So(r.during, ShouldEqual, 0)
				So(r.first, ShouldBeLessThanOrEqualTo, 3*instances)
				So(r.served, ShouldEqual, 1)
				So(r.wave, ShouldBeLessThanOrEqualTo, 1.5)
			})
			Convey("and servers that pause in turn, every request is served", func() {
				r := simulatePauses(instances, 6, 0.5, func(n int, now fleet.Instant) fleet.Instant {
					if turn := now / pause; int(turn)%6 == n {
						return (turn + 1) * pause
					}
					return 0
				})
				So(r.during, ShouldEqual, 0)
				So(r.served, ShouldEqual, 1)
				So(r.wave, ShouldBeLessThanOrEqualTo, 1.5)
			})
			Convey("and servers that pause all at once, requests are refused for that time only", func() {
				r := simulatePauses(instances, 6, 0.5, func(_ int, now fleet.Instant) fleet.Instant {
					if now >= 6*time.Second && now < 8*time.Second {
						return 8 * time.Second
					}
					return 0
				})
				So(r.during, ShouldEqual, 0)
				So(r.first, ShouldBeLessThanOrEqualTo, 6*instances)
				// A sixth of the time, and half of the first second after it.
				So(r.served, ShouldBeGreaterThan, 1-(2+0.5)/12)
				So(r.wave, ShouldBeLessThanOrEqualTo, 1.5)
			})
		})
	}
	Convey("A pause ends with the process", t, func() {
		f := newFleet(0, 1)
		s := f.groups["llm"][0].Server
		So(f.Pause(s.Process(), time.Minute), ShouldBeTrue)
		So(f.Pause(s.Process(), time.Second), ShouldBeFalse)
		_, ok := f.ChoosePlain("llm", "r", 0, nil)
		So(ok, ShouldBeFalse)
		So(f.Unavailable(), ShouldResemble, Unavailable{Paused: 1, PausedFor: time.Minute})
		s.StartTime++
		f.SetServers([]Server{s})
		_, ok = f.ChoosePlain("llm", "r", 0, nil)
		So(ok, ShouldBeTrue)
	})
}
