package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/routes"
)

// deployment returns a Fleet of engines spread over data centres, a quarter of
// them at the decode stage.
func deployment(engines, centres, slots, kv int) *Fleet {
	f := New(Config{Instance: "i", DataCentre: "dc0"})
	f.Configure(routes.Compile(routes.Configuration{Version: 1, Services: []routes.Service{
		{Name: "llm", Engine: &routes.Engine{Slots: slots, KVTokens: kv, KVBytesPerToken: 18432, LinkBytesPerSecond: 9e10}},
	}}))
	var list []Server
	for i := range engines {
		stage := fleet.RolePrefill
		if i%4 == 0 {
			stage = fleet.RoleDecode
		}
		list = append(list, Server{
			ID: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), Group: "llm", Slots: slots, Stage: stage,
			DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%centres)),
		})
	}
	f.SetServers(list)
	return f
}

// TestDeployments checks unusual deployments: each request finds an engine, and
// instances in all data centres agree on the home of a shared part.
func TestDeployments(t *testing.T) {
	for _, c := range []struct {
		name                        string
		engines, centres, slots, kv int
	}{
		{"one data centre", 12, 1, 64, kvTokens},
		{"six data centres", 24, 6, 12, kvTokens},
		{"an engine in each data centre", 6, 6, 12, kvTokens},
		{"two engines", 2, 2, 4, kvTokens},
		{"memory for one prompt", 12, 3, 12, 20_000},
		{"one slot", 12, 3, 1, kvTokens},
	} {
		Convey("With "+c.name, t, func() {
			homes := map[string]fleet.UpstreamID{}
			for dc := range c.centres {
				f := deployment(c.engines, c.centres, c.slots, c.kv)
				f.config.DataCentre = fleet.DataCentre(fmt.Sprint("dc", dc))
				for i := range 50 {
					r := prompt(i, i%10, 13300, 500)
					prefill, _, split := f.ChooseEngines("llm", r, 0, nil)
					So(split, ShouldBeTrue)
					run, ok := f.ChooseDecode("llm", r, prefill.Server, 0, nil)
					So(ok, ShouldBeTrue)
					So(run.Server.Stage, ShouldEqual, fleet.RoleDecode)
					if i < 10 {
						part := r.Parts[0].ID
						if homes[part] == "" {
							homes[part] = prefill.Server.ID
						}
						So(string(prefill.Server.ID), ShouldEqual, string(homes[part]))
					}
				}
			}
		})
	}
}

// TestTinyMemory checks engines whose memory holds one shared part: an evicted
// part is expected neither by prefill nor by a copy.
func TestTinyMemory(t *testing.T) {
	Convey("An engine with memory for one prompt", t, func() {
		f := deployment(4, 1, 12, 20_000)
		r := prompt(1, 1, 13300, 500)
		at, _ := f.ChoosePrefill("llm", r, 0, nil)
		f.AddCachedPrompt(at.Server.ID, r, 0)
		f.AddCachedPrompt(at.Server.ID, prompt(2, 2, 13300, 500), 0)
		c, _ := f.ChoosePrefill("llm", prompt(3, 1, 13300, 500), time.Second, nil)
		So(c.UncachedTokens, ShouldEqual, 13800)
		So(c.CopiedTokens, ShouldEqual, 0)
	})
}

// TestMixedEngines checks engines without a stage, which run both prefill and
// decode.
func TestMixedEngines(t *testing.T) {
	Convey("Engines without a stage run both prefill and decode", t, func() {
		f := deployment(4, 2, 12, kvTokens)
		var list []Server
		for _, s := range f.groups["llm"] {
			s.Server.Stage = fleet.RoleMixed
			list = append(list, s.Server)
		}
		f.SetServers(list)
		_, direct, split := f.ChooseEngines("llm", prompt(1, 1, 13300, 500), 0, nil)
		So(split, ShouldBeFalse)
		So(direct.Candidates, ShouldEqual, 4)
	})
}

// TestManyEngines checks fleets of thousands of engines, of which only a sample
// is scored for each request: shared parts keep their homes.
func TestManyEngines(t *testing.T) {
	Convey("With 3,000 engines", t, func() {
		f := deployment(3000, 11, 12, kvTokens)
		first := map[string]fleet.UpstreamID{}
		for i := range 200 {
			r := prompt(i, i%20, 13300, 500)
			c, ok := f.ChoosePrefill("llm", r, 0, nil)
			So(ok, ShouldBeTrue)
			So(c.Candidates, ShouldBeLessThanOrEqualTo, maxScored+1)
			part := r.Parts[0].ID
			if first[part] == "" {
				first[part] = c.Server.ID
			}
			So(string(c.Server.ID), ShouldEqual, string(first[part]))
			run, ok := f.ChooseDecode("llm", r, c.Server, 0, nil)
			So(ok, ShouldBeTrue)
			So(run.Candidates, ShouldBeLessThanOrEqualTo, maxScored)
		}
	})
}
