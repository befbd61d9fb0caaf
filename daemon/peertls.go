package daemon

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/peer"
	"github.com/bramleywick/bramleywick/settings"
)

// refusedLogPeriod is the least time between two log lines about refused
// connections, since a peer with a bad certificate tries again every second.
const refusedLogPeriod = 10 * time.Second

// peerTransport returns d.PeerTransport if it was set or if the settings have no
// TLS for peers, and otherwise a TLS transport.
func (d *Daemon) peerTransport() (peer.Transport, error) {
	files, secure := d.settings.TLS[settings.ListenerPeers]
	if !secure || d.PeerTransport.Dial != nil {
		return d.PeerTransport, nil
	}
	if files.CAFile == "" {
		return peer.Transport{}, errors.New("TLS between peers requires ca in [tls peers]: the authorities that sign their certificates")
	}
	certificate, err := newCertificate(files, d.log)
	if err != nil {
		return peer.Transport{}, errors.Wrap(err, "listen for peers")
	}
	return peer.TLS(peerIdentities(certificate), d.newHandshakeObserver()), nil
}

// peerIdentities returns a function that returns the current material of a
// certificate as a peer.Identity. The pointer changes exactly when the material
// does.
func peerIdentities(c *certificate) peer.IdentityFunc {
	type cachedIdentity struct {
		material *settings.Credentials
		identity *peer.Identity
	}
	var last atomic.Pointer[cachedIdentity]
	return func() *peer.Identity {
		m := c.material()
		cached := last.Load()
		if cached == nil || cached.material != m {
			cached = &cachedIdentity{m, &peer.Identity{Certificate: m.Certificate, Authorities: m.Authorities}}
			last.Store(cached)
		}
		return cached.identity
	}
}

// newHandshakeObserver registers a counter of failed handshakes and returns the
// function that counts and logs one.
func (d *Daemon) newHandshakeObserver() func(net.Addr, error) {
	var count atomic.Int64
	var lastLoggedAt atomic.Int64 // Unix time in nanoseconds
	d.metrics.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "bramleywick_peer_handshakes_refused_total", Help: "Connections to the peers' listener without a valid certificate.",
	}, func() float64 { return float64(count.Load()) }))
	return func(remote net.Addr, err error) {
		total := count.Add(1)
		now, last := time.Now().UnixNano(), lastLoggedAt.Load()
		if now-last < int64(refusedLogPeriod) || !lastLoggedAt.CompareAndSwap(last, now) {
			return
		}
		d.log.Warn("connection of a peer refused", zap.Stringer("remote", remote), zap.Int64("refused", total), zap.Error(err))
	}
}
