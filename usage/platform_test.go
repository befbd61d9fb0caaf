package usage

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/duty/dutytest"
	"github.com/bramleywick/bramleywick/store"
)

// nodeStore is the store as one node sees it.
type nodeStore struct {
	n *node
	s *dutytest.Store
}

func do[T any](s nodeStore, f func() (T, error)) (T, error) {
	s.n.w.called(s.n, false)
	defer s.n.w.called(s.n, true)
	if s.n.storeDown {
		var none T
		return none, store.ErrUnavailable
	}
	if !s.s.Down {
		s.n.era = s.s.Era()
	}
	return f()
}

// Era returns the era that the node has seen.
func (s nodeStore) Era() int64 { return s.n.era }

func (s nodeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return do(s, func() (store.Entry, error) { return s.s.Get(ctx, key) })
}

func (s nodeStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease string) (store.Entry, error) {
	return do(s, func() (store.Entry, error) { return s.s.CompareAndSwap(ctx, key, revision, value, lease) })
}

func (s nodeStore) GrantLease(ctx context.Context, d time.Duration) (store.Lease, error) {
	return do(s, func() (store.Lease, error) { return s.s.GrantLease(ctx, d) })
}

func (s nodeStore) RenewLease(ctx context.Context, id string) error {
	_, err := do(s, func() (int, error) { return 0, s.s.RenewLease(ctx, id) })
	return err
}

func (s nodeStore) RevokeLease(ctx context.Context, id string) error {
	_, err := do(s, func() (int, error) { return 0, s.s.RevokeLease(ctx, id) })
	return err
}

// nodeCloud is the platform's API as one node sees it.
type nodeCloud struct{ n *node }

// ReportUsage implements Cloud.
func (c nodeCloud) ReportUsage(_ context.Context, by duty.Call, k int64, got map[fleet.MemberID]int64) error {
	w := c.n.w
	w.called(c.n, false)
	defer w.called(c.n, true)
	if err := by.Check(); err != nil {
		return err
	}
	err := w.unreachable[c.n.id]
	if errors.Is(err, duty.ErrUnavailable) {
		return err
	}
	w.calls = append(w.calls, received{at: w.now, holder: by.Holder, fence: by.Fence, window: k, counts: maps.Clone(got)})
	call := &w.calls[len(w.calls)-1]
	if errors.Is(err, errExecutedLate) {
		late := *call
		w.later(6*time.Second, func() { _ = w.execute(&late) })
		return duty.ErrOutcomeUnknown
	}
	refused := w.execute(call)
	if err != nil {
		return err
	}
	return refused
}

// errExecutedLate makes a call without an answer take effect seconds later.
var errExecutedLate = errors.Wrap(duty.ErrOutcomeUnknown, "executed late")

// execute executes a call at the platform and checks its rules.
func (w *world) execute(c *received) error {
	if w.requireFencing && c.fence < w.highest {
		return duty.ErrRefused
	}
	w.highest = max(w.highest, c.fence)
	if before, ok := w.accepted[c.window]; ok && !maps.Equal(before, c.counts) {
		w.faults = append(w.faults, fmt.Sprintf("window %d: %v after %v", c.window, c.counts, before))
	}
	if _, ok := w.accepted[c.window]; !ok {
		w.acceptedAt[c.window] = w.now
	}
	w.accepted[c.window], c.executed = c.counts, true
	return nil
}

// checkRules checks the rules of the duty: one set of counts for each window, no
// lower fencing number after a higher one where the platform does not check, no
// number used by two instances, and no order A, B, A within a lease.
func (w *world) checkRules(t testing.TB, name string) {
	t.Helper()
	for _, f := range w.faults {
		t.Error(name, f)
	}
	holders := map[int64]fleet.InstanceID{}
	highest := int64(0)
	for i, c := range w.calls {
		if !w.requireFencing && c.fence < highest {
			t.Errorf(name+": fencing number %d after %d", c.fence, highest)
		}
		highest = max(highest, c.fence)
		if other, ok := holders[c.fence]; ok && other != c.holder {
			t.Errorf(name+": %s and %s with number %d", other, c.holder, c.fence)
		}
		holders[c.fence] = c.holder
		between := false
		for j := i - 1; j >= 0 && c.at-w.calls[j].at < ttl; j-- {
			if between = between || w.calls[j].holder != c.holder; between && w.calls[j].holder == c.holder {
				t.Errorf(name+": %s acts at %v and %v, another holder in between", c.holder, w.calls[j].at, c.at)
			}
		}
	}
}

// check checks the rules of the duty, and that each window from first to last is
// reported in time with the counts of the truth within a tolerance.
func (w *world) check(t testing.TB, name string, first, last int64, tolerance float64) {
	t.Helper()
	w.checkRules(t, name)
	for k := first; k <= last; k++ {
		got, ok := w.accepted[k]
		if !ok {
			t.Errorf(name+": window %d: no report", k)
			continue
		}
		if n := w.acceptedAt[k] + epoch0 - fleet.Instant(k+1)*window; n > late {
			t.Errorf(name+": window %d: reported %v after its end", k, n)
		}
		for member, want := range w.truth[k] {
			if diff := float64(got[member] - want); diff > tolerance*float64(want) || -diff > tolerance*float64(want) {
				t.Errorf(name+": window %d: %d requests of %s, %d in truth", k, got[member], member, want)
			}
		}
		for member := range got {
			if w.truth[k][member] == 0 {
				t.Errorf(name+": window %d: requests of %s", k, member)
			}
		}
	}
}
