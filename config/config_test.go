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

// text is a valid declaration that differs by share.
func text(share int) string {
	return fmt.Sprintf("[member shea]\nshare = %d\nkey_sha256 = %s\n", share, declare.HashKey("key"))
}

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

// counted records what a keeper reports.
type counted struct {
	mu      sync.Mutex
	refused map[string]int
	forced  []int64
	stored  int64
}

func (c *counted) ConfigInForce(v int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forced = append(c.forced, v)
}

func (c *counted) ConfigRefused(source config.Source, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused == nil {
		c.refused = map[string]int{}
	}
	c.refused[string(source)+" "+reason]++
}

func (c *counted) ConfigRead(bool) {}

func (c *counted) ConfigStored(v int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = v
}

func (c *counted) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[key]
}

func change(id string, share int, base int64) config.Change {
	return config.Change{ID: id, Author: "op", File: "f.ini", Text: text(share), Base: base}
}

// cutOff loses the answer to the first write, and reads fail until heal.
type cutOff struct {
	store.Store
	applies bool
	cut     bool
	healed  bool
	// late delivers the write that was held back.
	late func()
}

func (s *cutOff) heal() { s.healed = true }

func (s *cutOff) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease string) (store.Entry, error) {
	if s.healed {
		return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	}
	s.cut = true
	s.late = func() { _, _ = s.Store.CompareAndSwap(context.Background(), key, revision, value, lease) }
	if s.applies {
		s.late()
	}
	return store.Entry{}, store.ErrOutcomeUnknown
}

func (s *cutOff) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.cut && !s.healed {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// undecided applies change c1 and tells whether its outcome stayed open.
func undecided(ctx context.Context, store store.Store) bool {
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err := config.NewKeeper(config.Options{Store: store}).Apply(short, change("c1", 1, 0))
	var open *config.Undecided
	return errors.As(err, &open)
}

// settled applies c1 again and returns its version, which must be current.
func settled(ctx context.Context, b *bench, store store.Store) int64 {
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

// eventually waits up to the bound of invariant 9.
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

// TestApply guards against a change that is lost, made twice or accepted on
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
			store := &cutOff{Store: b.store(), applies: true}
			So(undecided(ctx, store), ShouldBeTrue)
			store.heal()
			So(settled(ctx, b, store), ShouldEqual, 1)
		}},
		{"a write that arrives late and its repeat make one version", func(ctx context.Context, b *bench, _ *config.Keeper) {
			store := &cutOff{Store: b.store()}
			So(undecided(ctx, store), ShouldBeTrue)
			store.heal()
			store.late()
			So(settled(ctx, b, store), ShouldEqual, 1)
		}},
		{"a write that arrives after its repeat has no effect", func(ctx context.Context, b *bench, _ *config.Keeper) {
			store := &cutOff{Store: b.store()}
			So(undecided(ctx, store), ShouldBeTrue)
			store.heal()
			So(settled(ctx, b, store), ShouldEqual, 1)
			store.late()
			So(settled(ctx, b, store), ShouldEqual, 1)
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
			b.service.SetSwitches(standin.Switches{StaleReads: true})
			_, err := k.Apply(ctx, change("c3", 3, 0))
			So(err, ShouldNotBeNil)
			So(k.Version(), ShouldEqual, 2)
		}},
		{"a change after a restored store is newer everywhere", func(ctx context.Context, b *bench, k *config.Keeper) {
			_, err := k.Apply(ctx, change("c1", 1, 0))
			So(err, ShouldBeNil)
			image := b.service.TakeSnapshot()
			_, err = k.Apply(ctx, change("c2", 2, 0))
			So(err, ShouldBeNil)
			b.service.Restore(image)
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

// TestNeverBack guards against a version in force that goes back.
func TestNeverBack(t *testing.T) {
	record := func(version int64, id string) config.Record {
		return config.Record{Stamp: config.Stamp{Version: version, ChangeID: id}, Text: text(int(version))}
	}
	cases := []struct {
		name string
		// disturb brings an older record to a keeper with version 2 in force.
		disturb func(ctx context.Context, b *bench, k *config.Keeper, first standin.Snapshot)
		counter string
		// follows tells that the keeper knows the newer revision already.
		follows bool
	}{
		{"stale read", func(_ context.Context, b *bench, _ *config.Keeper, _ standin.Snapshot) {
			b.service.SetSwitches(standin.Switches{StaleReads: true})
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
				// Other writes take the revision beyond what the next change
				// reaches after a restore.
				for i := 0; i < 10; i++ {
					_, err := b.store().CompareAndSwap(ctx, fmt.Sprint("other/", i), 0, nil, "")
					So(err, ShouldBeNil)
				}
				_, err = writer.Apply(ctx, change("c2", 2, 0))
				So(err, ShouldBeNil)
				seen := &counted{}
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

				// The next change must not wait for a watch to run out.
				b.service.SetSwitches(standin.Switches{})
				stamp, err := writer.Apply(ctx, change("c3", 3, 2))
				So(err, ShouldBeNil)
				start := time.Now()
				So(eventually(func() bool { return k.Version() == stamp.Version }), ShouldBeTrue)
				So(time.Since(start), ShouldBeLessThan, 2*time.Second)
				seen.mu.Lock()
				defer seen.mu.Unlock()
				So(seen.forced, ShouldResemble, []int64{2, 3})
			})
		})
	}
}

// TestOffersAreSerialised guards against a scheduler that is left with the
// older of two versions offered at once.
func TestOffersAreSerialised(t *testing.T) {
	var forced []int64
	entered, release := make(chan struct{}), make(chan struct{})
	k := config.NewKeeper(config.Options{OnInForce: func(x *declare.Index) {
		if x.Version == 2 {
			close(entered)
			<-release
		}
		forced = append(forced, x.Version)
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
	if len(forced) != 2 || forced[0] != 2 || forced[1] != 3 {
		t.Errorf("put in force in the order %v", forced)
	}
}

// TestFollow guards against an instance that does not learn of a version, and
// against one that holds a watch or reads often without being a watcher.
func TestFollow(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		watcher bool
		disturb func(b *bench)
	}{
		{"watcher", true, func(*bench) {}},
		{"poller", false, func(*bench) {}},
		{"watch gap", true, func(b *bench) { b.service.SetSwitches(standin.Switches{DropWatchEvents: true}) }},
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

// versions lists keepers as the live instances.
type versions []*config.Keeper

func (v versions) VersionsInForce() []config.InstanceVersion {
	var list []config.InstanceVersion
	for _, k := range v {
		list = append(list, config.InstanceVersion{Version: k.Version()})
	}
	return list
}

// TestWaitNamesLaggards guards against a wait that ends before the version is
// in force everywhere, or that does not tell where it is not.
func TestWaitNamesLaggards(t *testing.T) {
	Convey("An instance that does not follow is named", t, func() {
		b := newBench(t)
		ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer stop()
		all := versions{b.keeper(nil), b.keeper(nil)}
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

// BenchmarkIdleCalls reports the calls of idle instances on the platform: of
// one instance per minute, and of all per second. The last row is the two-year
// size with two watchers in each of 11 data centres.
func BenchmarkIdleCalls(b *testing.B) {
	const span = 24 * time.Second
	for _, c := range []struct{ instances, watchers int }{{8, 8}, {8, 0}, {390, 22}} {
		b.Run(fmt.Sprintf("instances=%d/watchers=%d", c.instances, c.watchers), func(b *testing.B) {
			service := standin.New()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			box := &bench{service: service, server: server, url: server.URL}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			if _, err := box.keeper(nil).Apply(ctx, change("c", 1, 0)); err != nil {
				b.Fatal(err)
			}
			for i := 0; i < c.instances; i++ {
				follow(ctx, box.keeper(nil), i < c.watchers)
			}
			// The reads at the start are not idle ones.
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

// BenchmarkPropagation reports the time from an accepted apply to being in
// force at 8 keepers, with 8 watchers, and with 2 watchers while the exchange
// between peers is down.
func BenchmarkPropagation(b *testing.B) {
	for _, watchers := range []int{8, 2} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			service := standin.New()
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			box := &bench{service: service, server: server, url: server.URL}
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var all versions
			for i := 0; i < 8; i++ {
				all = append(all, box.keeper(nil))
				follow(ctx, all[i], i < watchers)
			}
			writer := box.keeper(nil)
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
