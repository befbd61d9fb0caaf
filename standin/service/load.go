package service

import (
	"encoding/json"
	"net/http"

	"github.com/bramleywick/bramleywick/upstream"
)

// load handles GET /v1/load, which does not count as a call.
func load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(upstream.Load{Incarnation: "service"})
}
