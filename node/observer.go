package node

import (
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// ConfigurationChanged implements directory.Observer.
func (n *Node) ConfigurationChanged(t *routes.Table) {
	n.state.ConfigurationChanged(t)
	n.metrics.KeepRoutes(t.HasRoute())
}

// ServersChanged implements directory.Observer.
func (n *Node) ServersChanged(list []placement.Server) {
	n.state.ServersChanged(list)
	n.links.SetServers(list)
	n.log.Info("servers", zap.Int("listed", len(list)))
}
