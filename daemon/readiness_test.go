package daemon_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/daemon"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

// readyBound is a timeout for tests that fail; a healthy instance needs one or two
// reads of the platform's list.
const readyBound = 15 * time.Second

// TestReadinessWaitsForList guards against an instance that takes requests before
// the order holder can find it: only listed instances are asked to drain an
// engine.
func TestReadinessWaitsForList(t *testing.T) {
	Convey("With an instance that is listed and has a configuration", t, func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		s := newTestFleet(ctx, "a")
		first := s.start("a1")
		s.apply()
		So(s.eventually(readyBound, ready), ShouldBeLessThan, readyBound)
		s.unlisted = true
		setListedAddress := func(address string) {
			s.platform.SetInstances(append(s.rows[:1:1], store.InstanceInfo{ID: "a2", Address: address, DataCentre: "a"}))
		}
		awaitReadiness := func(text string) {
			So(s.eventually(readyBound, func(d *daemon.Daemon) bool {
				_, body := get(d.Addresses.Admin, "/readyz", "")
				return body == text+"\n" && ready(d) == strings.HasPrefix(text, "ready")
			}), ShouldBeLessThan, readyBound)
		}

		Convey("another one is ready only once the list names it at its address", func() {
			d := s.start("a2")
			s.daemons = s.daemons[1:]
			awaitReadiness("the platform's list does not name this instance")
			So(d.VersionsInForce()[0].Version, ShouldEqual, 1)
			setListedAddress(first.Addresses.Peers)
			awaitReadiness("the platform's list names this instance at " + first.Addresses.Peers + ", but peers reach it at " + d.Addresses.Peers)
			setListedAddress(d.Addresses.Peers)
			awaitReadiness("ready")
		})
		Convey("one that learned the configuration from its peers is ready while the platform is down, and only then", func() {
			s.platform.SetFaults(standin.Faults{Down: true})
			d := s.start("a2", first.Addresses.Peers)
			s.daemons = s.daemons[1:]
			awaitReadiness("ready without the platform's list: the platform does not answer; configuration version 1 is in force")
			s.platform.SetFaults(standin.Faults{})
			awaitReadiness("the platform's list does not name this instance")
			setListedAddress(d.Addresses.Peers)
			awaitReadiness("ready")
		})
	})
}
