package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRevision guards against a revision of an earlier era that is taken for a newer
// one, or for the same.
func TestRevision(t *testing.T) {
	Convey("Revisions rise with the era, whatever the store's own number", t, func() {
		So(Revision(2, 3), ShouldBeGreaterThan, Revision(1, 1<<eraShift-1))
		So(Revision(1, 7), ShouldBeGreaterThan, Revision(1, 6))
		So(EraOf(Revision(5, 9)), ShouldEqual, 5)
		So(NumberOf(Revision(5, 9)), ShouldEqual, 9)
		So(Revision(5, 0), ShouldEqual, 0)
		So(Revision(0, 9), ShouldEqual, 9)
	})
}
