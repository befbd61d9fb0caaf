package service

import (
	"encoding/json"
	"net/http"

	"github.com/bramleywick/bramleywick/upstream"
)

// load answers GET /v1/load; it is not a call and is not counted.
func load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(upstream.Load{Incarnation: "service"})
}
