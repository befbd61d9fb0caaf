package loadshare

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
)

// Agree receives what the sender tells of quarantined parts and limits, and
// answers with the same of this instance.
func (s service) Agree(in Report, out *Report) error {
	in.AgreementOnly = true
	s.e.apply(in)
	*out = s.e.agreement(in.From)
	return nil
}

// catchUp asks a few instances at once for what they agree on. A process that has
// just started may get requests before the exchange has begun, which depends on
// when the others dial it.
func (e *Exchange) catchUp(ctx context.Context, list []directory.Instance) {
	begin := int(membership.Hash(string(e.self)) % uint64(max(len(list), 1)))
	asked := 0
	for k := range list {
		i := list[(begin+k)%len(list)]
		if i.ID == e.self || asked == catchUpPeers {
			continue
		}
		asked++
		go e.agreeWith(ctx, i)
	}
	e.caughtUp = asked > 0
}

// catchUpPeers is the number of instances that are asked: some of the listed ones
// may be gone.
const catchUpPeers = 4

// backupHub returns the hub of another data centre through which this instance
// exchanges what instances agree on while its own hub is lost.
func (e *Exchange) backupHub(lost fleet.InstanceID) (directory.Instance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lost != e.topology.Hub || len(e.otherHubs) == 0 {
		return directory.Instance{}, false
	}
	return e.otherHubs[membership.Hash(string(e.self))%uint64(len(e.otherHubs))], true
}

// agreeWith exchanges what instances agree on with one instance a few times. The
// load is left out: it would be counted twice when the own hub returns.
func (e *Exchange) agreeWith(ctx context.Context, i directory.Instance) {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		e.log.Debug("no hub reached", zap.String("instance", string(i.ID)), logline.Error(err))
		return
	}
	client := rpc.NewClient(&progressConn{Conn: conn, stall: callTimeout})
	defer func() { _ = client.Close() }()
	for range backupExchanges {
		if err := conn.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
			return
		}
		var answer Report
		if err := client.Call(serviceName+".Agree", e.agreement(i.ID), &answer); err != nil {
			e.log.Debug("no agreement with a hub", zap.String("instance", string(i.ID)), logline.Error(err))
			return
		}
		e.apply(answer)
		if sleep(ctx, interval) != nil {
			return
		}
	}
}

// backupExchanges is the number of exchanges with the hub of another data centre
// between two attempts to reach the own hub. The second one confirms the first.
const backupExchanges = 3

// agreement returns the part of a report that instances agree on.
func (e *Exchange) agreement(to fleet.InstanceID) Report {
	limits := e.view.Limits(to, func(fleet.InstanceID) bool { return false })
	limits.Rates = nil
	e.mu.Lock()
	topo := e.topology
	e.mu.Unlock()
	return Report{From: e.self, Quarantine: e.view.Quarantine(to), Limits: limits, Departures: e.changes.Departures(departureMemory), AgreementOnly: true, Usage: e.usageReport(to, topo)}
}
