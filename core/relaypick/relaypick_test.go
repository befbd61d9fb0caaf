package relaypick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func peersOf(perDataCentre, dataCentres int) (list []Peer) {
	for d := range dataCentres {
		for i := range perDataCentre {
			id := fleet.InstanceID(fmt.Sprintf("%c%d", 'a'+d, i))
			list = append(list, Peer{ID: id, DataCentre: fleet.DataCentre(fmt.Sprint(string(rune('a' + d)))), Address: "10.0.0.1:1"})
		}
	}
	return list
}

func newPicker(list []Peer, seed uint64) *Picker {
	p := New("a0", "a", rand.New(rand.NewPCG(seed, 1)).IntN)
	p.SetPeers(list)
	return p
}

func TestPick(t *testing.T) {
	Convey("A peer is chosen", t, func() {
		Convey("from the own data centre while one there is not excluded, and never this instance or one without an address", func() {
			list := append(peersOf(3, 2), Peer{ID: "a9", DataCentre: "a"})
			p := newPicker(list, 1)
			seen := map[fleet.InstanceID]int{}
			for range 100 {
				peer, ok := p.Pick(nil, time.Second)
				So(ok, ShouldBeTrue)
				seen[peer.ID]++
			}
			So(len(seen), ShouldEqual, 2)
			So(seen["a1"]+seen["a2"], ShouldEqual, 100)
			p.Failed("a1", time.Second)
			p.Failed("a2", time.Second)
			peer, ok := p.Pick(nil, time.Second)
			So(ok, ShouldBeTrue)
			So(peer.DataCentre, ShouldEqual, fleet.DataCentre("b"))
		})
		Convey("not twice for one request", func() {
			p := newPicker(peersOf(2, 1), 1)
			_, ok := p.Pick([]fleet.InstanceID{"a1"}, 0)
			So(ok, ShouldBeFalse)
		})
		Convey("after two refusals from another data centre", func() {
			p := newPicker(peersOf(20, 2), 1)
			peer, _ := p.Pick([]fleet.InstanceID{"a1", "a2"}, 0)
			So(peer.DataCentre, ShouldEqual, fleet.DataCentre("b"))
		})
		Convey("after a refusal first among those that have taken a request", func() {
			p := newPicker(peersOf(20, 2), 1)
			p.Taken("b3", time.Second)
			peer, _ := p.Pick([]fleet.InstanceID{"a1"}, time.Second)
			So(peer.ID, ShouldEqual, fleet.InstanceID("b3"))
		})
		Convey("so that none of them gets far more than the others", func() {
			p := newPicker(peersOf(21, 1), 1)
			load := map[fleet.InstanceID]int{}
			for range 400 {
				peer, _ := p.Pick(nil, 0)
				p.Begin(peer.ID)
				load[peer.ID]++
			}
			for _, n := range load {
				So(n, ShouldBeBetween, 15, 25)
			}
		})
	})
	Convey("Peers with more processor get more", t, func() {
		list := peersOf(21, 1)
		for i := range list {
			list[i].Cores = 0.15
			if i <= 10 {
				list[i].Cores = 0.6
			}
		}
		p := newPicker(list, 1)
		large := 0
		for range 400 {
			peer, _ := p.Pick(nil, 0)
			p.Begin(peer.ID)
			if peer.Cores > 0.5 {
				large++
			}
		}
		So(large, ShouldBeBetween, 260, 340)
	})
	Convey("An exclusion doubles up to a bound, also counts failures of one moment once, and ends with a request that is taken", t, func() {
		p := newPicker(peersOf(2, 1), 1)
		So(p.Failed("a1", time.Second), ShouldEqual, 2*time.Second)
		So(p.Failed("a1", 2*time.Second), ShouldEqual, time.Second)
		So(p.Failed("a1", 3*time.Second), ShouldEqual, 4*time.Second)
		So(p.Failed("a1", 7*time.Second), ShouldEqual, 8*time.Second)
		So(p.Failed("a1", 15*time.Second), ShouldEqual, 10*time.Second)
		p.Taken("a1", 25*time.Second)
		So(p.Failed("a1", 26*time.Second), ShouldEqual, 2*time.Second)
		Convey("or with a new address", func() {
			p.SetPeers([]Peer{{ID: "a1", DataCentre: "a", Address: "10.0.0.2:1"}})
			_, ok := p.Pick(nil, 26*time.Second)
			So(ok, ShouldBeTrue)
		})
	})
	Convey("With most peers or a whole data centre cut off, most requests find one that takes them within three tries", t, func() {
		for _, deployment := range []struct {
			name                       string
			perDataCentre, dataCentres int
			cutOff                     func(i int, p Peer) bool
		}{
			{"8 instances, 60%", 4, 2, func(i int, _ Peer) bool { return i%5 < 3 }},
			{"195 instances, 60%", 39, 5, func(i int, _ Peer) bool { return i%5 < 3 }},
			{"8 instances, a data centre", 4, 2, func(_ int, p Peer) bool { return p.DataCentre == "a" }},
			{"195 instances, a data centre", 39, 5, func(_ int, p Peer) bool { return p.DataCentre == "a" }},
		} {
			list := peersOf(deployment.perDataCentre, deployment.dataCentres)
			cut := map[fleet.InstanceID]bool{}
			for i, peer := range list {
				cut[peer.ID] = deployment.cutOff(i, peer)
			}
			served, requests := 0, 0
			for seed := range uint64(20) {
				p := newPicker(list, seed)
				for at := fleet.Instant(1); at < 12*time.Second; at += 500 * time.Millisecond {
					requests++
					var asked []fleet.InstanceID
					for range 3 {
						peer, ok := p.Pick(asked, at)
						if !ok {
							break
						}
						if !cut[peer.ID] {
							p.Taken(peer.ID, at)
							served++
							break
						}
						asked = append(asked, peer.ID)
						p.Failed(peer.ID, at)
					}
				}
			}
			t.Logf("%s: %d of %d", deployment.name, served, requests)
			So(float64(served), ShouldBeGreaterThan, 0.9*float64(requests))
		}
	})
}
