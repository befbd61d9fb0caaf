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
	// defaultWait is the bound within which a version is in force everywhere.
	defaultWait = 10 * time.Second
	maxWait     = 5 * time.Minute
)

// Plan implements the call of the same name.
func (s *Server) Plan(_ context.Context, req *connect.Request[operatorv1.PlanRequest]) (*connect.Response[operatorv1.PlanResponse], error) {
	file := fileName(req.Msg.File)
	declaration, err := s.Keeper.Check(file, req.Msg.Text)
	if err != nil {
		return nil, failure(err)
	}
	var inForce *declare.Declaration
	var version int64
	if index := s.Keeper.Index(); index != nil {
		inForce, version = index.Declaration, index.Version
	}
	return connect.NewResponse(&operatorv1.PlanResponse{
		BaseVersion:   version,
		Changes:       changesOut(declare.Diff(inForce, declaration)),
		Remarks:       faultsOut(declfile.Advise(file, []byte(req.Msg.Text), declaration)),
		TextBytes:     int64(len(req.Msg.Text)),
		LimitBytes:    store.MaxValueBytes,
		CanonicalText: string(declfile.Format(declaration)),
	}), nil
}

// Apply implements the call of the same name.
func (s *Server) Apply(ctx context.Context, req *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	m := req.Msg
	s.hear()
	stamp, err := s.Keeper.Apply(ctx, config.Change{
		ID: m.ChangeId, Author: m.Author, File: fileName(m.File), Text: m.Text, Base: m.BaseVersion,
	})
	s.logChange("apply", m.ChangeId, m.Author, stamp, err)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(s.accepted(ctx, stamp, m.Wait, m.WaitLimitMs)), nil
}

// Revert implements the call of the same name.
func (s *Server) Revert(ctx context.Context, req *connect.Request[operatorv1.RevertRequest]) (*connect.Response[operatorv1.RevertResponse], error) {
	m := req.Msg
	s.hear()
	stamp, err := s.Keeper.Revert(ctx, m.Version, config.Change{ID: m.ChangeId, Author: m.Author, Base: m.BaseVersion})
	s.logChange("revert", m.ChangeId, m.Author, stamp, err)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&operatorv1.RevertResponse{
		Applied: s.accepted(ctx, stamp, m.Wait, m.WaitLimitMs),
	}), nil
}

// hear tells the keeper which versions are in force elsewhere. After the store
// was restored, a change at an instance that lags would otherwise be given a
// version that is old to the others.
func (s *Server) hear() {
	for _, i := range s.InForce.VersionsInForce() {
		s.Keeper.ObserveVersion(i.Version)
	}
}

func (s *Server) logChange(step, changeID, author string, stamp config.Stamp, err error) {
	fields := []zap.Field{zap.String("step", step), zap.String("change_id", changeID), zap.String("author", author)}
	if err != nil {
		// Faults quote the declaration, which may hold a key pasted by mistake.
		s.Log.Warn("configuration change refused", append(fields, zap.String("code", codeOf(err).String()))...)
		return
	}
	s.Log.Info("configuration change accepted", append(fields, zap.Int64("version", stamp.Version))...)
}

// accepted answers an accepted change and waits where that was asked for.
func (s *Server) accepted(ctx context.Context, stamp config.Stamp, wait bool, limitMS int64) *operatorv1.ApplyResponse {
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
	out.NotInForce = instancesOut(config.WaitInForce(ctx, s.InForce, stamp.Version), stamp.Version)
	out.WaitedMs = time.Since(start).Milliseconds()
	return out
}

// Show implements the call of the same name.
func (s *Server) Show(ctx context.Context, req *connect.Request[operatorv1.ShowRequest]) (*connect.Response[operatorv1.ShowResponse], error) {
	record, err := s.Keeper.Show(ctx, req.Msg.Version)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&operatorv1.ShowResponse{Version: versionOut(record.Stamp), Text: record.Text}), nil
}

// Diff implements the call of the same name.
func (s *Server) Diff(ctx context.Context, req *connect.Request[operatorv1.DiffRequest]) (*connect.Response[operatorv1.DiffResponse], error) {
	changes, err := s.Keeper.Diff(ctx, req.Msg.From, req.Msg.To)
	if err != nil {
		return nil, failure(err)
	}
	return connect.NewResponse(&operatorv1.DiffResponse{Changes: changesOut(changes)}), nil
}

// History implements the call of the same name.
func (s *Server) History(_ context.Context, req *connect.Request[operatorv1.HistoryRequest]) (*connect.Response[operatorv1.HistoryResponse], error) {
	return connect.NewResponse(&operatorv1.HistoryResponse{
		Versions: versionsOut(s.Keeper.History(int(req.Msg.Limit))),
	}), nil
}

func fileName(name string) string {
	if name == "" {
		return "declaration"
	}
	return name
}
