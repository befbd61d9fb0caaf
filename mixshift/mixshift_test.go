package mixshift

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// seeds are fixed so that every run gives the same figures.
var seeds = []uint64{1, 2, 3}

// BenchmarkMixShift reports the figures of each deployment and policy for the seed
// with the lowest goodput.
func BenchmarkMixShift(b *testing.B) { benchmarkPolicies(b, Policies()) }

// BenchmarkAblation reports the same figures for the product's policy with one
// mechanism switched off.
func BenchmarkAblation(b *testing.B) { benchmarkPolicies(b, Ablations()) }

func benchmarkPolicies(b *testing.B, policies []Policy) {
	for _, d := range []Deployment{Hrafnsey(), Polegar()} {
		b.Run(d.Name, func(b *testing.B) {
			for _, p := range policies {
				b.Run(p.Name, func(b *testing.B) { benchmarkPolicy(b, d, p) })
			}
		})
	}
}

// runSeeds runs one policy on the scenario of every seed, in parallel.
func runSeeds(p Policy, scenarioOf func(seed uint64) scenario) []Result {
	results := make([]Result, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() { results[i] = Run(p, scenarioOf(seed)) })
	}
	wg.Wait()
	return results
}

func benchmarkPolicy(b *testing.B, d Deployment, p Policy) {
	for range b.N {
		results := runSeeds(p, func(seed uint64) scenario { return mixScenario(d, seed) })
		worst := results[0]
		for _, r := range results {
			if r.Goodput < worst.Goodput {
				worst = r
			}
		}
		report(b, worst)
	}
}

// BenchmarkOverload reports the requests answered in time at the capacity and at twice
// the capacity, and the share error while all members are backlogged.
func BenchmarkOverload(b *testing.B) {
	for _, d := range []Deployment{Hrafnsey(), Polegar()} {
		for _, p := range Policies()[:3] {
			b.Run(d.Name+"/"+p.Name, func(b *testing.B) {
				for range b.N {
					at := Run(p, overloadScenario(d, 1, 1))
					twice := Run(p, overloadScenario(d, 1, 2))
					b.ReportMetric(float64(at.InTime), "in_time_at_capacity")
					b.ReportMetric(float64(twice.InTime), "in_time_at_twice")
					b.ReportMetric(100*twice.shareError(overloadScenario(d, 1, 2).shares), "share_error_%")
				}
			})
		}
	}
}

// report reports the figures of a run as the benchmark's metrics.
func report(b *testing.B, r Result) {
	b.ReportMetric(100*r.Goodput, "goodput_%")
	b.ReportMetric(100*r.TokenGoodput, "tokens_%")
	b.ReportMetric(100*r.RefusedFraction, "refused_%")
	b.ReportMetric(float64(r.FirstTokenP95/time.Millisecond), "ttft_p95_ms")
	b.ReportMetric(float64(r.TokenGapP95/time.Millisecond), "tbt_p95_ms")
	b.ReportMetric(float64(r.RoleChanges), "role_changes")
	b.ReportMetric(100*r.FluidBound, "fluid_%")
	if testing.Verbose() {
		for name, k := range r.ByKind {
			b.Logf("%s: %+v", name, *k)
		}
		for _, reason := range r.sim.planReasons {
			b.Log(reason)
		}
		b.Logf("goodput by phase %.3f, refusals %v, choices %v", r.ByPhase, r.Refusals, r.Choices)
	}
}

// TestFluidBound guards against a wrong upper bound: no random assignment of roles may
// have a higher fluid capacity than the best one found.
func TestFluidBound(t *testing.T) {
	Convey("The best division carries the most for every mix", t, func() {
		d := Hrafnsey()
		rng := rand.New(rand.NewPCG(1, 1))
		for _, share := range []float64{0.18, 0.36, 0.54} {
			best, roles := d.bestDivision(d.Speeds, share)
			So(len(roles), ShouldEqual, len(d.Speeds))
			for range 2000 {
				rates := make([]engineRates, len(d.Speeds))
				for i, s := range d.Speeds {
					rates[i] = engineRatesOf(s, fleet.Role(rng.IntN(3)))
				}
				So(fluidCapacity(rates, share), ShouldBeLessThanOrEqualTo, best+1e-9)
			}
		}
	})
}

// TestRunIsDeterministicAndComplete guards against requests that the simulation loses
// or counts twice, and against figures that differ from run to run.
func TestRunIsDeterministicAndComplete(t *testing.T) {
	Convey("Two runs with one seed give one result, with every request ended", t, func() {
		d := Hrafnsey()
		phases := []phase{{length: 20 * time.Second, prefillShare: 0.36}}
		sc := scenario{
			deployment: d, seed: 5, phases: phases, load: 0.6, shares: equalShares(),
			faults:   faults{withdrawnEngine: 3, withdrawAt: 2 * time.Second, returnAt: 30 * time.Second, partitionedDC: 1, partitionAt: 5 * time.Second, partitionEndAt: 9 * time.Second},
			arrivals: d.workload(newGenerator(5, zipfDemand), phases, 0.6),
		}
		for _, p := range Policies() {
			a, b := Run(p, sc), Run(p, sc)
			So(a.InTime, ShouldEqual, b.InTime)
			So(a.FirstTokenP95, ShouldEqual, b.FirstTokenP95)
			ended := 0
			for _, r := range a.sim.arrivals {
				if r.done {
					ended++
				}
			}
			So(ended, ShouldEqual, len(sc.arrivals))
		}
	})
}
