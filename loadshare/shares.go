package loadshare

import (
	"maps"
	"time"

	"github.com/bramleywick/bramleywick/boottime"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
)

// sharesInterval is the time between two reports of members' rates to an instance. They
// count for 3 s, so that two may be lost.
const sharesInterval = time.Second

// maxSharesSent is the number of instances from which on those that are due are
// forgotten: names of instances that are gone would add up.
const maxSharesSent = 1024

// sharesReport returns the members' rates for another instance; nil when it is not time
// for them.
func (e *Exchange) sharesReport(to fleet.InstanceID, include func(fleet.InstanceID) bool) fairshare.Report {
	if !e.sharesDue(to, boottime.Now()) {
		return nil
	}
	return e.view.Shares(include)
}

// sharesDue reports whether an instance is to be sent the members' rates, and records
// that it is. Only those from which load counts get them.
func (e *Exchange) sharesDue(to fleet.InstanceID, now fleet.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, sent := e.sharesSent[to]
	if sent && now-last < sharesInterval || !e.topology.CountsLoadOf(to, false) {
		return false
	}
	if len(e.sharesSent) >= maxSharesSent {
		maps.DeleteFunc(e.sharesSent, func(_ fleet.InstanceID, last fleet.Instant) bool { return now-last >= sharesInterval })
	}
	e.sharesSent[to] = now
	return true
}
