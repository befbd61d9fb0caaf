package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/store"
)

// TestListing guards against a wrong readiness when the instance's row is missing
// for a moment or names another address, or when a read is lost or rate limited.
func TestListing(t *testing.T) {
	Convey("With the reads of an instance's list", t, func() {
		l := newPlatformListing()
		row := func(id, address string) store.InstanceInfo { return store.InstanceInfo{ID: id, Address: address} }
		for i, step := range []struct {
			rows        []store.InstanceInfo
			err         error
			waits, down bool
		}{
			{nil, store.ErrUnavailable, true, false},
			{nil, store.ErrRateLimited, true, false},
			{nil, store.ErrUnavailable, true, true},
			{[]store.InstanceInfo{row("a2", "x"), row("a1", "y")}, nil, true, false},
			{nil, nil, false, false}, // the platform keeps no list
			{[]store.InstanceInfo{row("a1", "y"), row("a1", "x")}, nil, true, false},
			{[]store.InstanceInfo{row("a2", "x")}, nil, false, false},
		} {
			if step.err != nil {
				l.readFailed(step.err)
			} else {
				l.readSucceeded(step.rows, "a1", "x")
			}
			reason, down := l.status()
			So([]any{i, reason != "", down}, ShouldResemble, []any{i, step.waits, step.down})
			if l.needsMarks(0) {
				l.setMarksAdopted()
			}
		}
		So(l.needsMarks(0), ShouldBeFalse)
		So(l.needsMarks(1), ShouldBeTrue)
	})
}
