package placement

import (
	"fmt"
	"testing"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// BenchmarkChooseEngines measures the choices for one request by the number of
// engines, with reports of three other instances for each engine.
func BenchmarkChooseEngines(b *testing.B) {
	for _, n := range []int{18, 60, 600, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := deployment(n, 3, 12, kvTokens)
			for peer := range 3 {
				work := map[fleet.UpstreamID]Work{}
				for id := range f.servers {
					work[id] = Work{Runs: 2, Speed: 40 + float64(peer), Pace: 30}
				}
				f.SetPeerWork(fleet.InstanceID(fmt.Sprint("j", peer)), Snapshot{Work: work}, 0)
			}
			for i := range b.N {
				r := prompt(i, i%100, 13300, 300)
				prefill, _, _ := f.ChooseEngines("llm", r, 0, nil)
				f.AddCachedPrompt(prefill.Server.ID, r, 0)
				f.ChooseDecode("llm", r, prefill.Server, 0, nil)
			}
		})
	}
}
