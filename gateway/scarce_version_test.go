package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/budget"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

const (
	versionTarget   = 500 * time.Millisecond
	versionPatience = 2 * time.Second
	// versionPrompt is the length of all prompts, and versionSpeed the tokens that an
	// engine prefills in a millisecond.
	versionPrompt, versionSpeed = 4000, 40
	versionGap                  = 20 * time.Millisecond
	versionSlots                = 12
)

// versionReplay runs streams through one State in virtual time, before engines of two
// software versions that prefill one prompt after the other and make as many answers at
// the same time as they have slots.
type versionReplay struct {
	state *State
	// idle are the times at which prefill engines have worked off their prompts, and at
	// which each slot of a decode engine is free.
	idle map[fleet.UpstreamID][]fleet.Instant
	due  []dueCall
	// events is the number of events of an answer.
	events int
}

// dueCall is a call that is made at a time.
type dueCall struct {
	at fleet.Instant
	do func()
}

// enginesOf returns engines of a version.
func enginesOf(version string, stage fleet.Role, n int) (out []placement.Server) {
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", version, stage, i)
		out = append(out, placement.Server{ID: fleet.UpstreamID(id), Group: "llm", Address: id, DataCentre: "dc", SoftwareVersion: version, Slots: versionSlots, Stage: stage})
	}
	return out
}

func newVersionReplay(events int, engines ...[]placement.Server) *versionReplay {
	s := NewState(placement.Config{Instance: "i", DataCentre: "dc"}, budget.Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 100})
	s.at = 1
	s.ConfigurationChanged(routes.Compile(routes.Configuration{Version: 1, Services: []routes.Service{
		{Name: "llm", Engine: &routes.Engine{Slots: versionSlots, KVTokens: 4_000_000, KVBytesPerToken: 18432, LinkBytesPerSecond: 9e10}},
	}}))
	list := slices.Concat(engines...)
	var versions []string
	p := &versionReplay{state: s, events: events, idle: map[fleet.UpstreamID][]fleet.Instant{}}
	for _, e := range list {
		versions = append(versions, e.SoftwareVersion)
		p.idle[e.ID] = make([]fleet.Instant, 1)
		if e.Stage != fleet.RolePrefill {
			p.idle[e.ID] = make([]fleet.Instant, versionSlots)
		}
	}
	slices.Sort(versions)
	s.LearnVersions("llm", slices.Compact(versions))
	s.ServersChanged(list)
	return p
}

// occupy has an engine work for a duration once it is free, and returns when it is done.
func (p *versionReplay) occupy(id fleet.UpstreamID, d time.Duration) fleet.Instant {
	idle := p.idle[id]
	first := slices.Index(idle, slices.Min(idle))
	idle[first] = max(idle[first], p.state.at) + d
	return idle[first]
}

func (p *versionReplay) after(at fleet.Instant, do func()) { p.due = append(p.due, dueCall{at, do}) }

// advance moves the time on, and makes the calls that are due in their order.
func (p *versionReplay) advance(until fleet.Instant) {
	for {
		next := -1
		for i, c := range p.due {
			if c.at <= until && (next < 0 || c.at < p.due[next].at) {
				next = i
			}
		}
		if next < 0 {
			p.state.at = until
			return
		}
		c := p.due[next]
		p.due = slices.Delete(p.due, next, next+1)
		p.state.at = max(p.state.at, c.at)
		c.do()
	}
}

// stream sends a stream, and calls first if its first event comes while its caller waits.
func (p *versionReplay) stream(r *call.Request, allowed restriction, first func()) {
	sent := p.state.at
	prefill, direct, split := p.state.chooseEngines("llm", r, allowed)
	c := direct
	if split {
		c = prefill
	}
	if c.Candidates == 0 {
		return
	}
	if _, d, _ := p.state.decide("llm", r, c, versionTarget, versionPatience); !d.Admit || !split {
		return
	}
	prefillDone, end := p.state.begin(c.Server.ID, r.Rank, c.UncachedTokens)
	p.after(p.occupy(c.Server.ID, versionPrompt/versionSpeed*time.Millisecond), func() {
		prefillDone()
		end()
		decode, ok := p.state.chooseDecode("llm", r, c.Server, allowed)
		if !ok {
			return
		}
		_, ended := p.state.begin(decode.Server.ID, r.Rank, 0)
		done := p.occupy(decode.Server.ID, time.Duration(p.events)*versionGap)
		p.after(done, ended)
		if done-time.Duration(p.events-1)*versionGap-sent <= versionPatience {
			first()
		}
	})
}

// run sends new streams and streams of the version "old" that are taken up, at rates per
// second, and returns the shares of either that get a first event.
func (p *versionReplay) run(newRate, takenUpRate float64) (began, wentOn float64) {
	const seconds = 30
	old := "old"
	kinds := []struct {
		rate    float64
		allowed restriction
		got     float64
	}{{rate: newRate, allowed: restriction{begins: "llm"}}, {rate: takenUpRate, allowed: restriction{software: &old}}}
	due := make([]float64, len(kinds))
	id := 0
	for at := fleet.Instant(0); at < seconds*time.Second; at += 5 * time.Millisecond {
		p.advance(at + 1)
		for k := range kinds {
			due[k] += kinds[k].rate * 0.005
			for ; due[k] >= 1; due[k]-- {
				id++
				p.stream(&call.Request{ID: fleet.RequestID(fmt.Sprint("r", id)), PromptTokens: versionPrompt, Rank: 1, OutputTokens: p.events}, kinds[k].allowed, func() { kinds[k].got++ })
			}
		}
	}
	p.advance((seconds + 10) * time.Second)
	return kinds[0].got / (seconds * newRate), kinds[1].got / (seconds * takenUpRate)
}

// TestTakenUpAtScarceVersion guards against streams that are taken up and are refused
// because few prefill engines of their software version serve, while others have room.
func TestTakenUpAtScarceVersion(t *testing.T) {
	Convey("One of eight prefill engines has the version of a quarter of the load, which is as much as all can prefill", t, func() {
		p := newVersionReplay(6,
			enginesOf("old", fleet.RolePrefill, 1), enginesOf("new", fleet.RolePrefill, 7),
			enginesOf("old", fleet.RoleDecode, 2), enginesOf("new", fleet.RoleDecode, 4),
		)
		began, wentOn := p.run(60, 20)
		So(wentOn, ShouldBeGreaterThanOrEqualTo, 0.9*began)
		So(began, ShouldBeGreaterThanOrEqualTo, 0.9)
	})
}

// TestTakenUpAtOnlyVersion guards against streams that are taken up and are placed
// otherwise than new ones where one software version serves.
func TestTakenUpAtOnlyVersion(t *testing.T) {
	Convey("Where one version serves, engines are chosen for streams that are taken up as for new ones", t, func() {
		p := newVersionReplay(6, enginesOf("old", fleet.RolePrefill, 4), enginesOf("old", fleet.RoleDecode, 3))
		old := "old"
		for i := range 200 {
			p.advance(fleet.Instant(i) * 20 * time.Millisecond)
			r := &call.Request{ID: fleet.RequestID(fmt.Sprint("r", i)), PromptTokens: versionPrompt, Rank: 1, OutputTokens: 6}
			newPrefill, newDirect, newSplit := p.state.chooseEngines("llm", r, restriction{begins: "llm"})
			prefill, direct, split := p.state.chooseEngines("llm", r, restriction{software: &old})
			So(prefill, ShouldResemble, newPrefill)
			So(direct, ShouldResemble, newDirect)
			So(split, ShouldEqual, newSplit)
			newDecode, _ := p.state.chooseDecode("llm", r, prefill.Server, restriction{begins: "llm"})
			decode, _ := p.state.chooseDecode("llm", r, prefill.Server, restriction{software: &old})
			So(decode, ShouldResemble, newDecode)
			p.stream(r, restriction{begins: "llm"}, func() {})
		}
	})
}

// TestVersionGoneBesidePrefillEngines guards against callers that are told to try again
// where no server of their stream's software version is left.
func TestVersionGoneBesidePrefillEngines(t *testing.T) {
	Convey("A stream of a version that", t, func() {
		for _, c := range []struct {
			name    string
			engines []placement.Server
			reason  fleet.Reason
		}{
			{"has left", nil, fleet.ReasonVersionGone},
			{"only prefills", enginesOf("old", fleet.RolePrefill, 1), fleet.ReasonNoUpstream},
		} {
			Convey(c.name, func() {
				p := newVersionReplay(6, c.engines, enginesOf("new", fleet.RolePrefill, 2), enginesOf("new", fleet.RoleDecode, 2))
				old := "old"
				choice, ok := p.state.chooseDirect("llm", &call.Request{ID: "r", PromptTokens: versionPrompt}, restriction{software: &old})
				So(ok, ShouldBeFalse)
				reason, _ := unavailableReason(choice.Unavailable)
				So(reason, ShouldEqual, c.reason)
			})
		}
	})
}
