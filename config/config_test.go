package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// text returns a valid declaration with the given share.
func text(share int) string {
	return fmt.Sprintf("[member shea]\nshare = %d\nkey_sha256 = %s\n", share, declare.HashKey("key"))
}

// bench is a stand-in of the platform behind an HTTP server.
type bench struct {
	service *standin.Server
	url     string
	server  *httptest.Server
}

func newBench(t *testing.T) *bench {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return &bench{service: service, server: server, url: server.URL}
}

func (b *bench) store() store.Store {
	return store.NewLimitedClient(b.url, b.server.Client(), store.Limits{
		ReadsPerSecond: 1000, WritesPerSecond: 1000, CallTimeout: time.Second,
	})
}

func (b *bench) keeper(observer config.Observer) *config.Keeper {
	return config.NewKeeper(config.Options{Store: b.store(), Observer: observer, OperatorKeyHashes: []string{declare.HashKey("operator")}})
}

// recordingObserver is a config.Observer that records its calls.
type recordingObserver struct {
	mu      sync.Mutex
	refused map[string]int
	inForce []int64
	stored  int64
}

func (c *recordingObserver) ConfigInForce(v int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce = append(c.inForce, v)
}

func (c *recordingObserver) ConfigRefused(source config.Source, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[string]int{}
	}
	c.refused[string(source)+" "+reason]++
}

func (c *recordingObserver) ConfigRead(bool) {}

func (c *recordingObserver) ConfigStored(v int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = v
}

func (c *recordingObserver) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[key]
}

func change(id string, share int, base int64) config.Change {
	return config.Change{ID: id, Author: "op", File: "f.ini", Text: text(share), Base: base}
}

// failingStore loses the answers to writes, whether a write is applied or held
// back, and fails all reads after the first write, until clearFaults.
type failingStore struct {
	store.Store
	applyFirst    bool
	failing       bool
	faultsCleared bool
	// applyWrite applies the last write.
	applyWrite func()
}

func (s *failingStore) clearFaults() { s.faultsCleared = true }

func (s *failingStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease string) (store.Entry, error) {
	if s.faultsCleared {
		return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	}
	s.failing = true
	s.applyWrite = func() { _, _ = s.Store.CompareAndSwap(context.Background(), key, revision, value, lease) }
	if s.applyFirst {
		s.applyWrite()
	}
	return store.Entry{}, store.ErrOutcomeUnknown
}

func (s *failingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.failing && !s.faultsCleared {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// applyUndecided applies change c1 and reports whether it returned *Undecided.
func applyUndecided(ctx context.Context, store store.Store) bool {
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err := config.NewKeeper(config.Options{Store: store}).Apply(short, change("c1", 1, 0))
	var open *config.Undecided
	return errors.As(err, &open)
}

// applyAgain applies change c1 again, checks that it is the only version and
// current, and returns the version.
func applyAgain(ctx context.Context, b *bench, store store.Store) int64 {
	stamp, err := config.NewKeeper(config.Options{Store: store}).Apply(ctx, change("c1", 1, 0))
	So(err, ShouldBeNil)
	entry, err := b.store().Get(ctx, config.CurrentKey)
	So(err, ShouldBeNil)
	var current config.Record
	So(json.Unmarshal(entry.Value, &current), ShouldBeNil)
	So(current.Stamp, ShouldResemble, stamp)
	So(current.Recent, ShouldBeEmpty)
	return stamp.Version
}

// eventually waits for a condition, up to the 10 s of invariant 9, and reports
// whether it held.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func follow(ctx context.Context, k *config.Keeper, watcher bool) {
	go k.Run(ctx, func() bool { return watcher })
}

// TestApply guards against a change that is lost, made twice, or accepted on
// top of a version that its operator has not seen.
func TestApply(t *testing.T) {
	cases := []struct {
		name string
		run  func(ctx context.Context, b *bench, k *config.Keeper)
	}{
		{"a repeated change id has no further effect", func(ctx context.Context, b *bench, k *config.Keeper) {
			first, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			again, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			So(again.Version, ShouldEqual, first.Version)
		}},
		{"the second of two operators is told what changed", func(ctx context.Context, b *bench, k *config.Keeper) {
			_, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			_, err = b.keeper(nil).Apply(ctx, change("c2", 2, 1))
			So(err, ShouldBeNil)
			_, err = k.Apply(ctx, change("c3", 3, 1))
			var moved *config.Moved
			So(errors.As(err, &moved), ShouldBeTrue)
			So(moved.Since[0].ChangeID, ShouldEqual, "c2")
			So(moved.Changes[0].String(), ShouldEqual, "~ member shea: share 1 -> 2")
		}},
		{"a lost answer is settled by reading back", func(ctx context.Context, b *bench, k *config.Keeper) {
			b.service.SetFaults(standin.Faults{LoseWriteAnswers: true})
			stamp, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			So(stamp.Version, ShouldEqual, 1)
			So(b.service.Counts().Writes, ShouldEqual, 1)
			So(k.Version(), ShouldEqual, 1)
		}},
		{"an answer lost in an outage is undecided and settled by the same id", func(ctx context.Context, b *bench, _ *config.Keeper) {
			store := &failingStore{Store: b.store(), applyFirst: true}
			So(applyUndecided(ctx, store), ShouldBeTrue)
			store.clearFaults()
			So(applyAgain(ctx, b, store), ShouldEqual, 1)
		}},
		{"a write that arrives late and its repeat make one version", func(ctx context.Context, b *bench, _ *config.Keeper) {
			store := &failingStore{Store: b.store()}
			So(applyUndecided(ctx, store), ShouldBeTrue)
			store.clearFaults()
			store.applyWrite()
			So(applyAgain(ctx, b, store), ShouldEqual, 1)
		}},
		{"a write that arrives after its repeat has no effect", func(ctx context.Context, b *bench, _ *config.Keeper) {
			store := &failingStore{Store: b.store()}
			So(applyUndecided(ctx, store), ShouldBeTrue)
			store.clearFaults()
			So(applyAgain(ctx, b, store), ShouldEqual, 1)
			store.applyWrite()
			So(applyAgain(ctx, b, store), ShouldEqual, 1)
		}},
		{"an outage changes nothing and says so", func(ctx context.Context, b *bench, k *config.Keeper) {
			_, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			b.service.SetFaults(standin.Faults{Down: true})
			_, err = k.Apply(ctx, change("c2", 2, 0))
			So(errors.Is(err, store.ErrUnavailable), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "nothing was changed")
			So(k.Version(), ShouldEqual, 1)
		}},
		{"a stale read conflicts instead of undoing a change", func(ctx context.Context, b *bench, k *config.Keeper) {
			for i := 1; i <= 2; i++ {
				_, err := k.Apply(ctx, change(fmt.Sprint("c", i), i, 0))
				So(err, ShouldBeNil)
			}
			b.service.SetOptions(standin.Options{StaleReads: true})
			_, err := k.Apply(ctx, change("c3", 3, 0))
			So(err, ShouldNotBeNil)
			So(k.Version(), ShouldEqual, 2)
		}},
		{"a change after a restored store is newer everywhere", func(ctx context.Context, b *bench, k *config.Keeper) {
			_, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			snapshot := b.service.TakeSnapshot()
			_, err = k.Apply(ctx, change("c2", 2, 0))
			So(err, ShouldBeNil)
			b.service.Restore(snapshot)
			stamp, err := k.Apply(ctx, change("c3", 3, 2))
			So(err, ShouldBeNil)
			So(stamp.Version, ShouldEqual, 3)
			So(len(k.History(0)), ShouldEqual, 3)
			for version := int64(1); version <= 3; version++ {
				old, err := k.Show(ctx, version)
				So(err, ShouldBeNil)
				So(old.Text, ShouldEqual, text(int(version)))
			}
		}},
		{"a revert is a new version with old content", func(ctx context.Context, b *bench, k *config.Keeper) {
			for i := 1; i <= 3; i++ {
				_, err := k.Apply(ctx, change(fmt.Sprint("c", i), i, 0))
				So(err, ShouldBeNil)
			}
			stamp, err := k.Revert(ctx, 1, config.Change{ID: "r", Author: "op"})
			So(err, ShouldBeNil)
			So(stamp.Version, ShouldEqual, 4)
			So(stamp.RevertOf, ShouldEqual, 1)
			So(k.Record().Text, ShouldEqual, text(1))
			So(len(k.History(0)), ShouldEqual, 4)
			_, err = k.Revert(ctx, 9, config.Change{ID: "r2"})
			So(errors.Is(err, config.ErrNoVersion), ShouldBeTrue)
		}},
		{"an oversize declaration is refused with advice", func(ctx context.Context, b *bench, k *config.Keeper) {
			c := change("c1", 1, 0)
			c.Text += strings.Repeat("; note\n", store.MaxValueBytes/7)
			_, err := k.Apply(ctx, c)
			var large *config.TooLarge
			So(errors.As(err, &large), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "canonical")
		}},
		{"an operator's key is refused as a member's", func(ctx context.Context, b *bench, k *config.Keeper) {
			c := change("c1", 1, 0)
			c.Text = strings.ReplaceAll(c.Text, declare.HashKey("key"), declare.HashKey("operator"))
			_, err := k.Apply(ctx, c)
			So(err.Error(), ShouldContainSubstring, "operator's key")
			record := config.Record{Stamp: config.Stamp{Version: 1, ChangeID: "x"}, Text: c.Text}
			So(k.Offer(record), ShouldBeNil)
			So(k.Index().MemberByKey("operator"), ShouldBeNil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			Convey(c.name, t, func() {
				ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
				defer stop()
				c.run(ctx, b, b.keeper(nil))
			})
		})
	}
}

// TestHistoryIsBounded guards against a history that grows without limit.
func TestHistoryIsBounded(t *testing.T) {
	Convey("Only the last versions are kept", t, func() {
		ctx := context.Background()
		b := newBench(t)
		k := b.keeper(nil)
		for i := 1; i <= config.HistoryLimit+5; i++ {
			_, err := k.Apply(ctx, change(fmt.Sprint("c", i), i, 0))
			So(err, ShouldBeNil)
		}
		list, err := b.store().List(ctx, config.HistoryPrefix)
		So(err, ShouldBeNil)
		So(len(list), ShouldEqual, config.HistoryLimit)
		So(len(k.History(0)), ShouldEqual, config.HistoryLimit+1)
	})
}

// TestNeverBack guards against a version in force that is replaced by an older
// one.
func TestNeverBack(t *testing.T) {
	record := func(version int64, id string) config.Record {
		return config.Record{Stamp: config.Stamp{Version: version, ChangeID: id}, Text: text(int(version))}
	}
	cases := []struct {
		name string
		// disturb offers an older or invalid record to a keeper with version 2
		// in force.
		disturb func(ctx context.Context, b *bench, k *config.Keeper, first standin.Snapshot)
		counter string
		// follows reports whether the keeper watches the platform, and so knows
		// the newer revision, before disturb.
		follows bool
	}{
		{"stale read", func(_ context.Context, b *bench, _ *config.Keeper, _ standin.Snapshot) {
			b.service.SetOptions(standin.Options{StaleReads: true})
		}, "platform older", false},
		{"restored store", func(_ context.Context, b *bench, _ *config.Keeper, first standin.Snapshot) {
			b.service.Restore(first)
		}, "platform older", true},
		{"older peer", func(_ context.Context, _ *bench, k *config.Keeper, _ standin.Snapshot) {
			So(k.Offer(record(1, "c1")), ShouldNotBeNil)
		}, "peer older", false},
		{"forked peer", func(_ context.Context, _ *bench, k *config.Keeper, _ standin.Snapshot) {
			So(k.Offer(record(2, "other")), ShouldNotBeNil)
		}, "peer forked", false},
		{"broken peer", func(_ context.Context, _ *bench, k *config.Keeper, _ standin.Snapshot) {
			So(k.Offer(config.Record{Stamp: config.Stamp{Version: 9, ChangeID: "x"}, Text: "[what]"}), ShouldNotBeNil)
		}, "peer invalid", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			Convey(c.name, t, func() {
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				writer := b.keeper(nil)
				_, err := writer.Apply(ctx, change("c1", 1, 0))
				So(err, ShouldBeNil)
				first := b.service.TakeSnapshot()
				// Other writes raise the revision above that of the next change
				// after a restore.
				for i := 0; i < 10; i++ {
					_, err := b.store().CompareAndSwap(ctx, fmt.Sprint("other/", i), 0, nil, "")
					So(err, ShouldBeNil)
				}
				_, err = writer.Apply(ctx, change("c2", 2, 0))
				So(err, ShouldBeNil)
				seen := &recordingObserver{}
				k := b.keeper(seen)
				So(k.Offer(record(2, "c2")), ShouldBeNil)
				if c.follows {
					follow(ctx, k, true)
					So(eventually(func() bool { return b.service.Counts().ByCall["GET /v1/watch"] > 1 }), ShouldBeTrue)
				}
				c.disturb(ctx, b, k, first)
				if !c.follows {
					follow(ctx, k, true)
				}
				So(eventually(func() bool { return seen.count(c.counter) > 0 }), ShouldBeTrue)
				So(k.Version(), ShouldEqual, 2)
				if strings.HasPrefix(c.counter, "platform") {
					seen.mu.Lock()
					So(seen.stored, ShouldEqual, 1)
					seen.mu.Unlock()
				}

				// The next change must not wait for a watch to time out.
				b.service.SetOptions(standin.Options{})
				stamp, err := writer.Apply(ctx, change("c3", 3, 2))
				So(err, ShouldBeNil)
				start := time.Now()
				So(eventually(func() bool { return k.Version() == stamp.Version }), ShouldBeTrue)
				So(time.Since(start), ShouldBeLessThan, 2*time.Second)
				seen.mu.Lock()
				defer seen.mu.Unlock()
				So(seen.inForce, ShouldResemble, []int64{2, 3})
			})
		})
	}
}

// TestOffersAreSerialised guards against two concurrent offers that call
// OnInForce with the older version last.
func TestOffersAreSerialised(t *testing.T) {
	var inForce []int64
	entered, release := make(chan struct{}), make(chan struct{})
	k := config.NewKeeper(config.Options{OnInForce: func(x *declare.Index) {
		if x.Version == 2 {
			close(entered)
			<-release
		}
		inForce = append(inForce, x.Version)
	}})
	offer := func(version int64, done chan<- error) {
		done <- k.Offer(config.Record{Stamp: config.Stamp{Version: version, ChangeID: fmt.Sprint(version)}, Text: text(1)})
	}
	done := make(chan error, 2)
	go offer(2, done)
	<-entered
	go offer(3, done)
	time.Sleep(20 * time.Millisecond)
	close(release)
	for i := 0; i < 2; i++ {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if len(inForce) != 2 || inForce[0] != 2 || inForce[1] != 3 {
		t.Errorf("put in force in the order %v", inForce)
	}
}

// TestFollow guards against an instance that does not learn of a version within
// 10 s, and against one that reads often although it is not a watcher.
func TestFollow(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		watcher bool
		disturb func(b *bench)
	}{
		{"watcher", true, func(*bench) {}},
		{"poller", false, func(*bench) {}},
		{"watch gap", true, func(b *bench) { b.service.SetOptions(standin.Options{DropWatchEvents: true}) }},
		{"short outage", true, func(b *bench) {
			b.service.SetFaults(standin.Faults{Down: true})
			time.AfterFunc(300*time.Millisecond, func() { b.service.SetFaults(standin.Faults{}) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			k := b.keeper(nil)
			follow(ctx, k, c.watcher)
			// The first read finds nothing before the change is made.
			time.Sleep(50 * time.Millisecond)
			c.disturb(b)
			for writer, version := b.keeper(nil), int64(1); version <= 2; {
				stamp, err := writer.Apply(ctx, change(fmt.Sprint("c", version), int(version), 0))
				if errors.Is(err, store.ErrUnavailable) {
					continue
				}
				if err != nil || !eventually(func() bool { return k.Version() == stamp.Version }) {
					t.Fatalf("version %d is not in force within 10 s: %v", version, err)
				}
				version++
			}
			watches := b.service.Counts().ByCall["GET /v1/watch"]
			if !c.watcher && watches > 10 {
				t.Errorf("%d reads by an instance that does not watch", watches)
			}
		})
	}
}

// liveKeepers is a config.VersionLister with one live instance per keeper.
type liveKeepers []*config.Keeper

func (v liveKeepers) VersionsInForce() []config.InstanceVersion {
	var list []config.InstanceVersion
	for _, k := range v {
		list = append(list, config.InstanceVersion{Version: k.Version()})
	}
	return list
}

// TestWaitNamesLaggards guards against a wait that ends before the version is
// in force everywhere, or that does not return the instances where it is not.
func TestWaitNamesLaggards(t *testing.T) {
	Convey("An instance that does not follow is named", t, func() {
		b := newBench(t)
		ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer stop()
		all := liveKeepers{b.keeper(nil), b.keeper(nil)}
		stamp, err := all[0].Apply(ctx, change("c1", 1, 0))
		So(err, ShouldBeNil)
		So(len(config.WaitInForce(ctx, all, stamp.Version)), ShouldEqual, 1)
		raw, err := json.Marshal(all[0].Record())
		So(err, ShouldBeNil)
		var copied config.Record
		So(json.Unmarshal(raw, &copied), ShouldBeNil)
		So(all[1].Offer(copied), ShouldBeNil)
		So(config.WaitInForce(context.Background(), all, stamp.Version), ShouldBeEmpty)
	})
}

// BenchmarkIdleCalls measures the calls of idle instances to the platform: of
// all per second, and of one instance per minute. The last row is the two-year
// size with two watchers in each of 11 data centres.
func BenchmarkIdleCalls(b *testing.B) {
	const span = 24 * time.Second
	for _, c := range []struct{ instances, watchers int }{{8, 8}, {8, 0}, {390, 22}} {
		b.Run(fmt.Sprintf("instances=%d/watchers=%d", c.instances, c.watchers), func(b *testing.B) {
			service := standin.New()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			fixture := &bench{service: service, server: server, url: server.URL}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			if _, err := fixture.keeper(nil).Apply(ctx, change("c", 1, 0)); err != nil {
				b.Fatal(err)
			}
			for i := 0; i < c.instances; i++ {
				follow(ctx, fixture.keeper(nil), i < c.watchers)
			}
			// Leaves out the reads at the start.
			time.Sleep(time.Second)
			service.ResetCounts()
			time.Sleep(span)
			counts := service.Counts()
			perSecond := float64(counts.Reads+counts.Writes) / span.Seconds()
			b.ReportMetric(perSecond, "calls/s")
			b.ReportMetric(perSecond/float64(c.instances)*time.Minute.Seconds(), "calls/instance/min")
		})
	}
}

// BenchmarkPropagation measures the time from an accepted change until it is
// in force at 8 keepers, with 8 watchers, and with 2 watchers and no exchange
// between peers.
func BenchmarkPropagation(b *testing.B) {
	for _, watchers := range []int{8, 2} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			service := standin.New()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			fixture := &bench{service: service, server: server, url: server.URL}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var all liveKeepers
			for i := 0; i < 8; i++ {
				all = append(all, fixture.keeper(nil))
				follow(ctx, all[i], i < watchers)
			}
			writer := fixture.keeper(nil)
			var worst, total time.Duration
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				stamp, err := writer.Apply(ctx, change(fmt.Sprint("c", i), i+1, 0))
				if err != nil {
					b.Fatal(err)
				}
				start := time.Now()
				for len(config.InstancesBehind(all, stamp.Version)) > 0 {
					time.Sleep(time.Millisecond)
				}
				took := time.Since(start)
				worst, total = max(worst, took), total+took
			}
			b.StopTimer()
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst_ms")
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "mean_ms")
		})
	}
}
