package takeup_test

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

	"github.com/bramleywick/bramleywick/core/fleet"
	core "github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/platform"
	"github.com/bramleywick/bramleywick/platform/platformtest"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/takeup"
)

// instance is one that follows the store by reading its record again and again.
type instance struct {
	keeper   *takeup.Keeper
	mu       sync.Mutex
	versions *core.Versions
	start    time.Time
}

func (i *instance) now() fleet.Instant { return time.Since(i.start) + time.Minute }

func (i *instance) list(versions ...string) {
	set := map[string]bool{}
	for _, v := range versions {
		set[v] = true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.versions.Listed(map[fleet.GroupName]map[string]bool{"llm": set}, i.now())
}

func key(service string) string {
	return directory.VersionsPrefix + hex.EncodeToString([]byte(service))
}

func newInstances(ctx context.Context, client *platform.Store, n int) (out []*instance) {
	for range n {
		i := &instance{versions: core.NewVersions(), start: time.Now()}
		i.keeper = takeup.New(takeup.Options{
			Store: client, Log: zap.NewNop(), Instances: func() int { return n },
			Changes: func() []core.RecordChange {
				i.mu.Lock()
				defer i.mu.Unlock()
				return i.versions.RecordChanges(core.MinMemory, i.now())
			},
			Learn: func(group fleet.GroupName, versions []string) {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.versions.Recorded(group, versions, i.now())
			},
		})
		go i.keeper.Run(ctx)
		go i.follow(ctx, client)
		out = append(out, i)
	}
	return out
}

func (i *instance) follow(ctx context.Context, client *platform.Store) {
	last := int64(0)
	for ctx.Err() == nil {
		e, err := client.Get(ctx, key("llm"))
		if err == nil && e.Revision != last {
			last = e.Revision
			i.keeper.EntryChanged(store.Change{Entry: e})
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// TestVersionsAreRecorded guards against versions that the store lacks when all instances
// are lost.
func TestVersionsAreRecorded(t *testing.T) {
	Convey("Ten instances see a second version", t, func() {
		s := platformtest.NewStore()
		server := httptest.NewServer(s)
		defer server.Close()
		client := platform.NewStore(server.Listener.Addr().String(), time.Second, func(string, store.Result) {})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		recorded := func() string {
			e, _ := client.Get(context.Background(), key("llm"))
			return string(e.Value)
		}
		within := func(text string) bool {
			for range 200 {
				if strings.Contains(recorded(), text) {
					return true
				}
				time.Sleep(10 * time.Millisecond)
			}
			return false
		}
		all := newInstances(ctx, client, 10)
		for _, i := range all {
			i.list("old")
		}
		So(within(`["old"]`), ShouldBeTrue)
		s.SetFaults(platformtest.Faults{Down: true})
		for _, i := range all {
			i.list("old", "new")
		}
		time.Sleep(300 * time.Millisecond)
		s.SetFaults(platformtest.Faults{})
		So(within(`["new","old"]`), ShouldBeTrue)
		for _, i := range all {
			i.list("new")
		}
		time.Sleep(500 * time.Millisecond)
		So(recorded(), ShouldContainSubstring, `["new","old"]`)
	})
}

// TestOddVersionRecords guards against entries of other writers.
func TestOddVersionRecords(t *testing.T) {
	Convey("Records that no instance writes are ignored", t, func() {
		learned := 0
		k := takeup.New(takeup.Options{Log: zap.NewNop(), Learn: func(fleet.GroupName, []string) { learned++ }})
		for _, value := range []string{"", "[", `{"service":"other","versions":[]}`, `{"service":"llm","versions":[5]}`,
			`{"service":"llm","versions":["` + strings.Repeat("x", 200) + `"]}`, strings.Repeat("[", 5000), strings.Repeat("x", 9000)} {
			k.EntryChanged(store.Change{Entry: store.Entry{Key: key("llm"), Value: []byte(value)}})
		}
		So(learned, ShouldEqual, 0)
	})
}
