package caller

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/upstream"
)

// service forwards a call on a declared route to a plain service.
func (s *Server) service(c echo.Context) error {
	id := newRequestID()
	index, member, refusal := s.identify(c)
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	path := c.Request().URL.Path
	route := index.Route(path)
	if route == nil || !member.Grants(route.Kind) {
		return s.refuse(c, id, fleet.Refuse(fleet.ReasonKindNotGranted, "no granted route matches the path"))
	}
	if kind := index.Kind(route.Kind); !kind.Repeatable && c.Request().Header.Get(idempotencyHeader) != "" {
		return s.once(c, id, index, member, kind)
	}
	ctx := c.Request().Context()
	ticket, refusal := s.Requests.Submit(ctx, sched.Request{ID: id, Member: member.ID, Kind: route.Kind})
	if refusal != nil {
		return s.refuse(c, id, refusal)
	}
	address := index.Upstream(ticket.Choice.Target).Address
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxRequestBytes)
	resp, err := s.Services.Call(ctx, address, c.Request().Method, c.Request().URL.RequestURI(), c.Request().Header.Get("Content-Type"), body)
	if err != nil {
		ticket.Fail()
		if upstream.NotSent(err) {
			return s.refuse(c, id, fleet.Refuse(fleet.ReasonUpstreamFailed, "%v", err))
		}
		return s.refuse(c, id, &fleet.Refusal{Reason: fleet.ReasonOutcomeUnknown, Outcome: fleet.OutcomeUnknown, Detail: err.Error()})
	}
	defer func() { _ = resp.Body.Close() }()
	ticket.Finish(fleet.Usage{})
	c.Response().Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	c.Response().WriteHeader(resp.StatusCode)
	_, err = io.Copy(c.Response(), resp.Body)
	return err
}

// models lists the models of the groups that the member's kinds use.
func (s *Server) models(c echo.Context) error {
	index, member, refusal := s.identify(c)
	if refusal != nil {
		return s.refuse(c, "", refusal)
	}
	type model struct {
		ID     fleet.ModelName `json:"id"`
		Object string          `json:"object"`
	}
	list := []model{}
	seen := map[fleet.ModelName]bool{}
	for _, name := range member.Kinds {
		id := index.Group(index.Kind(name).Group).Model
		if id != "" && !seen[id] {
			seen[id] = true
			list = append(list, model{ID: id, Object: "model"})
		}
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": list})
}
