// Package operator serves the operators' calls that operator.proto describes.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/inifile"
	"github.com/bramleywick/bramleywick/platform"
)

// Server implements the operators' service. Calls that it does not define
// answer "unimplemented".
type Server struct {
	operatorv1connect.UnimplementedOperatorServiceHandler
	keeper *config.Keeper
}

// NewHandler returns the HTTP handler of the operators' listener. keyHashes
// are the hex SHA-256 digests of the keys that are let in.
func NewHandler(keeper *config.Keeper, keyHashes []string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&Server{keeper: keeper}))
	return authenticate(keyHashes, mux)
}

func authenticate(keyHashes []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := declare.HashKey(key)
		for _, known := range keyHashes {
			if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
				next.ServeHTTP(w, r)
				return
			}
		}
		http.Error(w, "operator key not known", http.StatusUnauthorized)
	})
}

// Apply implements the call of the same name.
func (s *Server) Apply(ctx context.Context, req *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	record, err := s.keeper.Apply(ctx, config.Change{ID: req.Msg.ChangeId, Author: req.Msg.Author, File: req.Msg.File, Text: req.Msg.Text})
	if err != nil {
		return nil, connect.NewError(codeOf(err), err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Version: record.Version}), nil
}

// Show implements the call of the same name.
func (s *Server) Show(_ context.Context, _ *connect.Request[operatorv1.ShowRequest]) (*connect.Response[operatorv1.ShowResponse], error) {
	r := s.keeper.Record()
	return connect.NewResponse(&operatorv1.ShowResponse{
		Version: r.Version, ChangeId: r.ChangeID, Author: r.Author, Text: r.Text,
	}), nil
}

func codeOf(err error) connect.Code {
	var faults inifile.Faults
	switch {
	case errors.As(err, &faults):
		return connect.CodeInvalidArgument
	case errors.Is(err, platform.ErrConflict):
		return connect.CodeAborted
	case errors.Is(err, platform.ErrUnavailable):
		return connect.CodeUnavailable
	default:
		return connect.CodeUnknown
	}
}
