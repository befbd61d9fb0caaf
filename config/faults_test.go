package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// changeLog records the results that writers got for their changes.
type changeLog struct {
	mu       sync.Mutex
	accepted map[string]int64
	refused  map[string]bool
}

// note records the result of a change, unless its outcome is unknown.
func (l *changeLog) note(id string, stamp config.Stamp, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var moved *config.Moved
	switch {
	case err == nil:
		l.accepted[id] = stamp.Version
	case errors.As(err, &moved), errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		l.refused[id] = true
	}
}

// disturb switches random faults on and off until ctx ends, then turns all off.
func disturb(ctx context.Context, b *bench, random *rand.Rand) {
	for ctx.Err() == nil {
		b.service.SetFaults(standin.Faults{Down: random.IntN(5) == 0, LoseWriteAnswers: random.IntN(3) == 0})
		b.service.SetOptions(standin.Options{StaleReads: random.IntN(4) == 0, DropWatchEvents: random.IntN(3) == 0})
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	b.service.SetFaults(standin.Faults{})
	b.service.SetOptions(standin.Options{})
}

// TestRandomFaults guards against a change that is reported as accepted and
// lost or as refused and made, against a version that is given twice, and
// against a version in force that decreases, while two operators make changes
// during random faults.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
			defer stop()
			var all liveKeepers
			for i := 0; i < 4; i++ {
				last := int64(0)
				k := config.NewKeeper(config.Options{Store: b.store(), OnInForce: func(x *declare.Index) {
					if x.Version <= last {
						t.Errorf("version %d put in force after %d", x.Version, last)
					}
					last = x.Version
				}})
				all = append(all, k)
				follow(ctx, k, i < 2)
			}
			results := &changeLog{accepted: map[string]int64{}, refused: map[string]bool{}}
			faultCtx, stopFaults := context.WithTimeout(ctx, 1500*time.Millisecond)
			defer stopFaults()
			var writers sync.WaitGroup
			for w := 0; w < 2; w++ {
				writers.Add(1)
				go func() {
					defer writers.Done()
					for n := 1; faultCtx.Err() == nil; n++ {
						id := fmt.Sprintf("w%d-%d", w, n)
						short, done := context.WithTimeout(ctx, 200*time.Millisecond)
						stamp, err := all[w].Apply(short, change(id, n, 0))
						done()
						results.note(id, stamp, err)
						// At most 75 changes fit into the time, below
						// HistoryLimit.
						time.Sleep(40 * time.Millisecond)
					}
				}()
			}
			disturb(faultCtx, b, rand.New(rand.NewPCG(seed, seed)))
			writers.Wait()
			stamp, err := all[0].Apply(ctx, change("last", 1, 0))
			if err != nil {
				t.Fatal(err)
			}
			if behind := config.WaitInForce(ctx, all, stamp.Version); len(behind) > 0 {
				t.Fatalf("%d keepers are behind", len(behind))
			}
			results.check(t, all[3].History(0))
		})
	}
}

// check compares the results with the history of a keeper that has the last
// version in force.
func (l *changeLog) check(t *testing.T, history []config.Stamp) {
	made := map[string]int64{}
	given := map[int64]bool{}
	for _, s := range history {
		if given[s.Version] {
			t.Errorf("version %d was given twice", s.Version)
		}
		given[s.Version] = true
		made[s.ChangeID] = s.Version
	}
	t.Logf("%d versions, %d accepted, %d refused", len(history), len(l.accepted), len(l.refused))
	for id, version := range l.accepted {
		if made[id] != version {
			t.Errorf("change %s was accepted as %d but is %d", id, version, made[id])
		}
	}
	for id := range l.refused {
		if made[id] != 0 {
			t.Errorf("change %s was refused but is version %d", id, made[id])
		}
	}
	if len(l.accepted) == 0 || len(history) > config.HistoryLimit {
		t.Errorf("%d accepted and %d kept changes do not show anything", len(l.accepted), len(history))
	}
}
