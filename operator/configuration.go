package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// defaultWait is how long Apply and Revert wait by default. A version must
	// be in force at every instance within that time.
	defaultWait = 10 * time.Second
	maxWait     = 5 * time.Minute
)

// Plan validates a declaration and returns its difference from the one in
// force. It changes nothing.
func (s *Server) Plan(_ context.Context, req *connect.Request[operatorv1.PlanRequest]) (*connect.Response[operatorv1.PlanResponse], error) {
	file := fileName(req.Msg.File)
	declaration, err := s.Keeper.Check(file, req.Msg.Text)
	if err != nil {
		return nil, connectError(err)
	}
	var inForce *declare.Declaration
	var version int64
	if index := s.Keeper.Index(); index != nil {
		inForce, version = index.Declaration, index.Version
	}
	return connect.NewResponse(&operatorv1.PlanResponse{
		BaseVersion:   version,
		Changes:       protoChanges(declare.Diff(inForce, declaration)),
		Remarks:       protoFaults(declfile.Lint(file, []byte(req.Msg.Text), declaration)),
		TextBytes:     int64(len(req.Msg.Text)),
		LimitBytes:    store.MaxValueBytes,
		CanonicalText: string(declfile.Format(declaration)),
	}), nil
}

// Apply makes a declaration the next version.
func (s *Server) Apply(ctx context.Context, req *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	m := req.Msg
	s.observeVersions()
	stamp, err := s.Keeper.Apply(ctx, config.Change{
		ID: m.ChangeId, Author: m.Author, File: fileName(m.File), Text: m.Text, Base: m.BaseVersion,
	})
	s.logChange("apply", m.ChangeId, m.Author, stamp, err)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(s.applyResponse(ctx, stamp, m.Wait, m.WaitLimitMs)), nil
}

// Revert makes the content of an old version the next version.
func (s *Server) Revert(ctx context.Context, req *connect.Request[operatorv1.RevertRequest]) (*connect.Response[operatorv1.RevertResponse], error) {
	m := req.Msg
	s.observeVersions()
	stamp, err := s.Keeper.Revert(ctx, m.Version, config.Change{ID: m.ChangeId, Author: m.Author, Base: m.BaseVersion})
	s.logChange("revert", m.ChangeId, m.Author, stamp, err)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.RevertResponse{
		Applied: s.applyResponse(ctx, stamp, m.Wait, m.WaitLimitMs),
	}), nil
}

// observeVersions passes the versions in force at other instances to the
// keeper. Otherwise, after the store was restored, a change made at an instance
// that lags would get a version that the others consider old.
func (s *Server) observeVersions() {
	for _, i := range s.Versions.VersionsInForce() {
		s.Keeper.ObserveVersion(i.Version)
	}
}

// logChange logs whether a configuration change was accepted.
func (s *Server) logChange(step, changeID, author string, stamp config.Stamp, err error) {
	fields := []zap.Field{zap.String("step", step), zap.String("change_id", changeID), zap.String("author", author)}
	if err != nil {
		// The error itself is not logged: it quotes the declaration, which may
		// contain a key pasted by mistake.
		s.Log.Warn("configuration change refused", append(fields, zap.String("code", codeOf(err).String()))...)
		return
	}
	s.Log.Info("configuration change accepted", append(fields, zap.Int64("version", stamp.Version))...)
}

// applyResponse returns the response to an accepted change. If requested it
// first waits until the version is in force at every live instance.
func (s *Server) applyResponse(ctx context.Context, stamp config.Stamp, wait bool, limitMS int64) *operatorv1.ApplyResponse {
	out := &operatorv1.ApplyResponse{Version: stamp.Version, ChangeId: stamp.ChangeID, Waited: wait}
	if !wait {
		return out
	}
	limit := defaultWait
	if limitMS > 0 {
		limit = min(time.Duration(limitMS)*time.Millisecond, maxWait)
	}
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	start := time.Now()
	out.NotInForce = protoInstances(config.WaitInForce(ctx, s.Versions, stamp.Version), stamp.Version)
	out.WaitedMs = time.Since(start).Milliseconds()
	return out
}

// Show returns the text of a version. Version 0 is the one in force.
func (s *Server) Show(ctx context.Context, req *connect.Request[operatorv1.ShowRequest]) (*connect.Response[operatorv1.ShowResponse], error) {
	record, err := s.Keeper.Show(ctx, req.Msg.Version)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.ShowResponse{Version: protoVersion(record.Stamp), Text: record.Text}), nil
}

// Diff returns the changes between two versions. Version 0 is the one in force.
func (s *Server) Diff(ctx context.Context, req *connect.Request[operatorv1.DiffRequest]) (*connect.Response[operatorv1.DiffResponse], error) {
	changes, err := s.Keeper.Diff(ctx, req.Msg.From, req.Msg.To)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.DiffResponse{Changes: protoChanges(changes)}), nil
}

// History returns the accepted versions, newest first, without their texts.
func (s *Server) History(_ context.Context, req *connect.Request[operatorv1.HistoryRequest]) (*connect.Response[operatorv1.HistoryResponse], error) {
	return connect.NewResponse(&operatorv1.HistoryResponse{
		Versions: protoVersions(s.Keeper.History(int(req.Msg.Limit))),
	}), nil
}

// fileName returns the name of a declaration's file for error messages.
func fileName(name string) string {
	if name == "" {
		return "declaration"
	}
	return name
}
