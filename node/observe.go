package node

import (
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/place"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Configured implements directory.Observer.
func (n *Node) Configured(t *routes.Table) { n.state.Configured(t) }

// Servers implements directory.Observer.
func (n *Node) Servers(list []place.Server) {
	n.state.Servers(list)
	n.log.Info("servers", zap.Int("listed", len(list)))
}
