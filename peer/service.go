package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Names of the net/rpc methods between instances.
const (
	serviceName  = "Exchange"
	pushMethod   = serviceName + ".Push"
	configMethod = serviceName + ".Config"
)

// Delta is an encoded message or reply of package exchange.
type Delta struct{ Payload []byte }

// Service is the net/rpc receiver of a node.
type Service struct{ node *Node }

// Push applies a peer's message and sets out to the reply. It fails on a
// malformed message.
func (s *Service) Push(in Delta, out *Delta) error {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	payload, err := n.exchange.Receive(n.options.Now(), in.Payload)
	if err != nil {
		n.messagesRejected++
		return err
	}
	out.Payload = payload
	n.runExchangeCommands()
	return nil
}

// Config sets out to the configuration in force. It fails if there is none.
func (s *Service) Config(in ConfigArgs, out *ConfigReply) error {
	record := s.node.options.Config.Record()
	if record.Version == 0 {
		return errors.New("no configuration is in force")
	}
	var err error
	*out, err = s.node.textHistory.pack(in, record)
	return err
}

// Serve answers peers on a listener until it is closed. It then closes their
// connections, so that they notice at once. It always returns an error.
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

// Call calls a method of one of Options.Services at a peer. The method must be
// idempotent: a call whose connection was closed is retried once.
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

// add adds a connection and reports whether it did so. It does not if there are
// maxConns already.
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
