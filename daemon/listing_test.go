package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/platform"
)

// TestListing guards against a row that is missing for a moment, another's row,
// a lost answer or a refused call that decide about readiness.
func TestListing(t *testing.T) {
	Convey("With the reads of an instance's list", t, func() {
		l := newListing()
		row := func(id, address string) platform.InstanceInfo { return platform.InstanceInfo{ID: id, Address: address} }
		for i, step := range []struct {
			rows        []platform.InstanceInfo
			err         error
			waits, down bool
		}{
			{nil, platform.ErrUnavailable, true, false},
			{nil, platform.ErrRateLimited, true, false},
			{nil, platform.ErrUnavailable, true, true},
			{[]platform.InstanceInfo{row("a2", "x"), row("a1", "y")}, nil, true, false},
			{nil, nil, false, false}, // the platform keeps no list
			{[]platform.InstanceInfo{row("a1", "y"), row("a1", "x")}, nil, true, false},
			{[]platform.InstanceInfo{row("a2", "x")}, nil, false, false},
		} {
			if step.err != nil {
				l.missed(step.err)
			} else {
				l.took(step.rows, "a1", "x")
			}
			reason, down := l.state()
			So([]any{i, reason != "", down}, ShouldResemble, []any{i, step.waits, step.down})
			if l.adopting(0) {
				l.tookMarks()
			}
		}
		So(l.adopting(0), ShouldBeFalse)
		So(l.adopting(1), ShouldBeTrue)
	})
}
