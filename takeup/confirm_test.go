package takeup_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/store"
	"github.com/bramleywick/bramleywick/takeup"
)

// slowStore answers reads of the record after a time with what it was when they began.
type slowStore struct {
	takeup.Store
	mu       sync.Mutex
	versions string
	revision int64
	reads    int
}

func (s *slowStore) set(revision int64, versions string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.versions = revision, versions
}

// Get implements takeup.Store.
func (s *slowStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	s.reads++
	e := store.Entry{Key: key, Revision: s.revision, Value: []byte(fmt.Sprintf(`{"service":"llm","versions":[%s]}`, s.versions))}
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	return e, nil
}

func newConfirming(s *slowStore, learn func([]string)) *takeup.Keeper {
	return takeup.New(takeup.Options{Store: s, Log: zap.NewNop(), Learn: func(_ fleet.GroupName, versions []string) { learn(versions) }})
}

// TestSharedReads guards against an instance that takes a read of the record which began
// before the question for its answer, and against a read for each stream of a crowd.
func TestSharedReads(t *testing.T) {
	Convey("While a read of the record is under way, another version is recorded", t, func() {
		s := &slowStore{revision: store.Revision(1, 5), versions: `"old"`}
		k := newConfirming(s, func([]string) {})
		var asking sync.WaitGroup
		asking.Go(func() { _, _ = k.Confirm(context.Background(), "llm") })
		time.Sleep(20 * time.Millisecond)
		s.set(store.Revision(1, 6), `"new","old"`)
		var mu sync.Mutex
		incomplete := 0
		for range 100 {
			asking.Go(func() {
				versions, err := k.Confirm(context.Background(), "llm")
				mu.Lock()
				defer mu.Unlock()
				if err != nil || len(versions) != 2 {
					incomplete++
				}
			})
		}
		asking.Wait()
		So(incomplete, ShouldEqual, 0)
		So(s.reads, ShouldEqual, 2)
		Convey("and a caller that leaves does not end the read for the others", func() {
			ctx, stop := context.WithCancel(context.Background())
			asking.Go(func() { _, _ = k.Confirm(ctx, "llm") })
			time.Sleep(10 * time.Millisecond)
			stop()
			versions, err := k.Confirm(context.Background(), "llm")
			asking.Wait()
			So(err, ShouldBeNil)
			So(versions, ShouldHaveLength, 2)
		})
	})
}

// TestRecordsOfEarlierCopies guards against a record that a store which has come back from
// an older copy has again: versions are missing in it.
func TestRecordsOfEarlierCopies(t *testing.T) {
	Convey("A store comes back from a copy in which the record lacks a version", t, func() {
		s := &slowStore{revision: store.Revision(1, 9), versions: `"new","old"`}
		var learned [][]string
		k := newConfirming(s, func(versions []string) { learned = append(learned, versions) })
		versions, err := k.Confirm(context.Background(), "llm")
		So(err, ShouldBeNil)
		So(versions, ShouldHaveLength, 2)
		s.set(store.Revision(2, 4), `"old"`)
		_, err = k.Confirm(context.Background(), "llm")
		So(err, ShouldNotBeNil)
		Convey("and an answer of before it that comes late is not taken", func() {
			s.set(store.Revision(1, 9), `"new","old"`)
			_, _ = k.Confirm(context.Background(), "llm")
			So(learned, ShouldResemble, [][]string{{"new", "old"}, {"old"}})
		})
	})
}

// TestRecordOfEarlierCopyAtStart guards against an instance that starts while the store is
// back from an older copy, and takes the record there for all versions.
func TestRecordOfEarlierCopyAtStart(t *testing.T) {
	Convey("An instance that starts after a store has come back from a copy", t, func() {
		s := &slowStore{revision: store.Revision(2, 4), versions: `"old"`}
		k := newConfirming(s, func([]string) {})
		_, err := k.Confirm(context.Background(), "llm")
		So(err, ShouldNotBeNil)
	})
}
