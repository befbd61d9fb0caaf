package stages

import (
	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
)

// errLeaves means that no order was sent.
var errLeaves = errors.New("the engine leaves")

// stays reports whether the process of an engine is listed and does not leave.
func (r *Reconciler) stays(service *routes.Service, s placement.Server) bool {
	for _, e := range r.Engines.Engines(service) {
		if e.Process() == s.Process() {
			return !e.Leaving
		}
	}
	return false
}
