package shutdown

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAccepts guards against a request that is accepted during a planned stop and
// may outlive the process, for any deadline, grace time and moment of arrival.
func TestAccepts(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	Convey("Every accepted request is answered before the process ends, and none that can be is refused", t, func() {
		for grace := time.Second; grace <= 32*time.Second; grace *= 2 {
			for limit := 50 * time.Millisecond; limit <= time.Minute; limit *= 2 {
				for after := time.Duration(0); after < grace; after += grace / 16 {
					deadline := start.Add(after + limit)
					So(Accepts(deadline, start.Add(grace)), ShouldEqual, after+limit+answerTime <= grace)
				}
			}
		}
	})
}
