package verdicts_test

import (
	"context"
	"encoding/hex"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/platform"
	"github.com/bramleywick/bramleywick/platform/platformtest"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/verdicts"
)

const digest = "=request"

// deployment is a store with keepers of several instances.
type deployment struct {
	store   *platformtest.Store
	client  *platform.Store
	keepers []*verdicts.Keeper
	mu      sync.Mutex
	learned []quarantine.VerdictRecord
}

func newDeployment(t *testing.T, instances int) *deployment {
	d := &deployment{store: platformtest.NewStore()}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.client = platform.NewStore(server.Listener.Addr().String(), time.Second, func(string, store.Result) {})
	for range instances {
		d.keepers = append(d.keepers, verdicts.New(verdicts.Options{
			Store: d.client, Log: zap.NewNop(), Instances: func() int { return instances },
			Learn: func(r quarantine.VerdictRecord) {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.learned = append(d.learned, r)
			},
		}))
	}
	return d
}

func key(part string) string { return directory.VerdictsPrefix + hex.EncodeToString([]byte(part)) }

func (d *deployment) stored(part string) bool {
	_, err := d.client.Get(context.Background(), key(part))
	return err == nil
}

func within(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// TestVerdictIsKept guards against verdicts that the store lacks, or keeps after their end.
func TestVerdictIsKept(t *testing.T) {
	verdict := quarantine.Verdict{Part: digest, Crashes: 3, Requests: 2, LastCrash: time.Second, Remaining: 20 * time.Second}
	Convey("A verdict", t, func() {
		d := newDeployment(t, 1)
		k := d.keepers[0]
		Convey("is written, and removed when it ends", func() {
			k.Changed(quarantine.Quarantined{Verdict: verdict})
			So(within(time.Second, func() bool { return d.stored(digest) }), ShouldBeTrue)
			Convey("and an instance that reads it learns it", func() {
				e, err := d.client.Get(context.Background(), key(digest))
				So(err, ShouldBeNil)
				k.EntryChanged(store.Change{Entry: e})
				So(d.learned[0].Remaining, ShouldBeBetween, 15*time.Second, 20*time.Second)
				So(d.learned[0].Age, ShouldBeBetween, 900*time.Millisecond, 5*time.Second)
				So(d.learned[0].Crashes, ShouldEqual, 3)
			})
			time.Sleep(50 * time.Millisecond)
			k.Changed(quarantine.Released{Verdict: verdict, Answered: true})
			So(within(time.Second, func() bool { return !d.stored(digest) }), ShouldBeTrue)
		})
		Convey("is written once the store is back", func() {
			d.store.SetFaults(platformtest.Faults{Down: true})
			k.Changed(quarantine.Quarantined{Verdict: verdict})
			time.Sleep(300 * time.Millisecond)
			d.store.SetFaults(platformtest.Faults{})
			So(within(3*time.Second, func() bool { return d.stored(digest) }), ShouldBeTrue)
		})
		Convey("that another instance has told, or that has ended, is not written", func() {
			k.Changed(quarantine.Quarantined{Verdict: verdict, Reported: true})
			other := verdict
			other.Part = "=other"
			k.Changed(quarantine.Quarantined{Verdict: other})
			k.Changed(quarantine.Released{Verdict: other})
			time.Sleep(200 * time.Millisecond)
			So(d.stored(digest), ShouldBeFalse)
			So(d.stored(other.Part), ShouldBeFalse)
		})
	})
	Convey("A verdict that 40 instances reach at once costs few calls", t, func() {
		d := newDeployment(t, 40)
		before := d.store.Calls()
		for _, k := range d.keepers {
			k.Changed(quarantine.Quarantined{Verdict: verdict})
		}
		// Every instance follows the store.
		for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if e, err := d.client.Get(context.Background(), key(digest)); err == nil {
				for _, k := range d.keepers {
					k.EntryChanged(store.Change{Entry: e})
				}
			}
			before++
		}
		So(d.store.Calls()-before, ShouldBeLessThanOrEqualTo, 30)
	})
}

// TestOddVerdictEntries guards against entries of other writers.
func TestOddVerdictEntries(t *testing.T) {
	Convey("Entries that no instance writes are ignored", t, func() {
		d := newDeployment(t, 1)
		for _, value := range []string{"", "{", `{"part":"other"}`, `{"part":5}`, `{"part":"=request","crashes":-1}`,
			`{"part":"=request","held_until_ms":1e400}`, strings.Repeat("[", 3000), strings.Repeat("x", 5000)} {
			d.keepers[0].EntryChanged(store.Change{Entry: store.Entry{Key: key(digest), Value: []byte(value)}})
		}
		d.keepers[0].EntryChanged(store.Change{Entry: store.Entry{Key: directory.VerdictsPrefix + "zz"}, Deleted: true})
		So(d.learned, ShouldBeEmpty)
	})
}

// TestTrialIsClaimedOnce guards against a request that several instances try at once.
func TestTrialIsClaimedOnce(t *testing.T) {
	Convey("Of 20 instances one may try a request", t, func() {
		d := newDeployment(t, 20)
		var claimed sync.WaitGroup
		var mu sync.Mutex
		n := 0
		var release func()
		for _, k := range d.keepers {
			claimed.Go(func() {
				if r, ok := k.ClaimTrial(context.Background(), digest); ok {
					mu.Lock()
					defer mu.Unlock()
					n++
					release = r
				}
			})
		}
		claimed.Wait()
		So(n, ShouldEqual, 1)
		Convey("and none while the store is down", func() {
			d.store.SetFaults(platformtest.Faults{Down: true})
			_, ok := d.keepers[0].ClaimTrial(context.Background(), "=new")
			So(ok, ShouldBeFalse)
		})
		Convey("and another once it has given the claim up", func() {
			release()
			So(within(time.Second, func() bool {
				_, ok := d.keepers[1].ClaimTrial(context.Background(), digest)
				return ok
			}), ShouldBeTrue)
		})
	})
}
