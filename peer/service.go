package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Names of the calls between instances.
const (
	serviceName  = "Exchange"
	pushMethod   = serviceName + ".Push"
	configMethod = serviceName + ".Config"
)

// Delta is a message of package exchange.
type Delta struct{ Payload []byte }

// Service is the receiving side of a node. Its methods have the form that
// net/rpc requires.
type Service struct{ node *Node }

// Push takes a peer's message and returns the answer.
func (s *Service) Push(in Delta, out *Delta) error {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	payload, err := n.exchange.Receive(n.options.Now(), in.Payload)
	if err != nil {
		n.refused++
		return err
	}
	out.Payload = payload
	n.flush()
	return nil
}

// Config returns the configuration in force.
func (s *Service) Config(in ConfigArgs, out *ConfigReply) error {
	record := s.node.options.Config.Record()
	if record.Version == 0 {
		return errors.New("no configuration is in force")
	}
	var err error
	*out, err = s.node.texts.pack(in, record)
	return err
}

// Serve answers peers on a listener until it is closed, then closes their
// connections, so that they notice at once.
func (n *Node) Serve(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{node: n}); err != nil {
		return errors.Wrap(err, "register the exchange")
	}
	for _, register := range n.options.Services {
		if err := register(server); err != nil {
			return err
		}
	}
	conns := newConnSet()
	defer conns.closeAll()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept peers")
		}
		if !conns.add(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			defer conns.remove(conn)
			server.ServeCodec(serverCodec{newGobConn(conn, idleTimeout)})
		}()
	}
}

// Call calls a method of a further receiver at a peer. The method must be
// idempotent: a call whose connection was closed is repeated once.
func (n *Node) Call(ctx context.Context, address, method string, in, out any) error {
	timeout := pushTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(err, "%s at peer %s", method, address)
	}
	return n.clients.call(address, method, in, out, timeout)
}

// connSet holds the open connections of a listener, at most maxConns.
type connSet struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func newConnSet() *connSet { return &connSet{open: map[net.Conn]bool{}} }

func (s *connSet) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConns {
		return false
	}
	s.open[conn] = true
	return true
}

func (s *connSet) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		_ = conn.Close()
	}
}
