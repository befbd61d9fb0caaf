package loadshare

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/store"
)

// configurationReport returns the statement of this instance's configuration; nil if
// nothing is confirmed yet.
func (e *Exchange) configurationReport() *freshness.Report {
	r, ok := e.changes.ConfigurationReport()
	if !ok {
		return nil
	}
	return &r
}

// hearConfiguration applies what the hub states of its configuration in the answer to
// an exchange; asked is the time on boottime before the exchange. What others state,
// or state in an exchange that they began, counts from no known time.
func (e *Exchange) hearConfiguration(from fleet.InstanceID, r *freshness.Report, asked fleet.Instant) {
	e.mu.Lock()
	hub := e.topology.Hub
	e.mu.Unlock()
	if r != nil && from == hub && checkConfiguration(r) == nil {
		e.changes.HubReport(*r, asked)
	}
}

// checkConfiguration returns an error for a report that no instance sends.
func checkConfiguration(r *freshness.Report) error {
	if r.Revision < 0 || r.Age < 0 {
		return errors.Errorf("Configuration: revision %d, age %v", r.Revision, r.Age)
	}
	return nil
}

// ConfigurationRequest asks for the configuration if it is newer than a revision.
type ConfigurationRequest struct{ Known int64 }

// Configuration serves an instance that has lost the store and its hub.
func (s service) Configuration(in ConfigurationRequest, out *directory.PeerConfiguration) error {
	var err error
	*out, err = s.e.changes.NewerConfiguration(in.Known)
	return err
}

// AskConfiguration asks another instance for its configuration, if it is newer than a
// revision, and for its age: the hub of another data centre, or any instance of a
// mesh. Each call asks the next one after the last that failed.
func (e *Exchange) AskConfiguration(ctx context.Context, known int64) (directory.PeerConfiguration, error) {
	e.mu.Lock()
	sources := e.sources
	next := e.nextSource
	e.mu.Unlock()
	if len(sources) == 0 {
		return directory.PeerConfiguration{}, errors.New("no other instance is known")
	}
	i := sources[next%len(sources)]
	out, err := askConfiguration(ctx, i, known)
	if err != nil {
		e.mu.Lock()
		e.nextSource = next + 1
		e.mu.Unlock()
	}
	return out, errors.Wrapf(err, "ask %s", i.ID)
}

// askConfiguration asks one instance over a connection of its own, which bounds how
// long another call can delay the answer.
func askConfiguration(ctx context.Context, i directory.Instance, known int64) (out directory.PeerConfiguration, err error) {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return out, err
	}
	client := rpc.NewClient(&progressConn{Conn: conn, stall: callTimeout})
	defer func() { _ = client.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := conn.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
		return out, err
	}
	if err := client.Call(serviceName+".Configuration", ConfigurationRequest{Known: known}, &out); err != nil {
		return out, err
	}
	if err := checkConfiguration(&out.Report); err != nil {
		return out, err
	}
	if len(out.Value) > store.MaxValueBytes {
		return out, errors.Errorf("a configuration of %d bytes", len(out.Value))
	}
	return out, nil
}
