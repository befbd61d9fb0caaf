package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/caller"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/standin/service"
)

// TestServiceCalls guards against a second run of a call that is not
// repeatable, and against an outcome that is not certain.
func TestServiceCalls(t *testing.T) {
	Convey("Faults of services", t, func() {
		for _, c := range []struct {
			name    string
			path    string
			fault   service.Fault
			status  int
			outcome fleet.Outcome
			// runs is how often the call ran at both services together.
			runs int
		}{
			{"payout works", "/payout", service.Fault{}, 200, "", 1},
			{"payout reset before it runs", "/payout", service.Fault{ResetBefore: true}, 502, fleet.OutcomeUnknown, 0},
			{"payout reset after it ran", "/payout", service.Fault{ResetAfter: true}, 502, fleet.OutcomeUnknown, 1},
			{"payout answered with 503", "/payout", service.Fault{Status: 503}, 503, "", 0},
			{"lookup reset before it runs", "/balance", service.Fault{ResetBefore: true}, 200, "", 1},
			{"lookup reset after it ran", "/balance", service.Fault{ResetAfter: true}, 200, "", 2},
			{"lookup answered with 503", "/balance", service.Fault{Status: 503}, 200, "", 1},
			{"lookup answered with 404", "/balance", service.Fault{Status: 404}, 404, "", 0},
		} {
			Convey(c.name, func() {
				b := newBench(t, benchOptions{})
				b.services[0].SetFault(c.fault)
				r := b.send(http.MethodPost, c.path, "", `{"lot":7}`)
				So(r.status, ShouldEqual, c.status)
				So(b.services[0].Runs(c.path, `{"lot":7}`)+b.services[1].Runs(c.path, `{"lot":7}`), ShouldEqual, c.runs)
				if c.outcome != "" {
					So(r.body, ShouldContainSubstring, `"outcome":"`+string(c.outcome)+`"`)
					So(r.header.Get("Retry-After"), ShouldEqual, "")
				}
			})
		}
		Convey("a service that cannot be reached is passed over, also for a payout", func() {
			b := newBench(t, benchOptions{firstUnreachable: true})
			So(b.send(http.MethodPost, "/payout", "", "x").status, ShouldEqual, http.StatusOK)
			So(b.services[1].Runs("/payout", "x"), ShouldEqual, 1)
		})
		Convey("a call that no service received is refused as not run", func() {
			b := newBench(t, benchOptions{firstUnreachable: true, requests: newUnmodified})
			b.dispatcher.Step(sched.UpstreamState{Upstream: "service-2"})
			r := b.send(http.MethodPost, "/payout", "", "x")
			// 503 when the scheduler has no other choice, 502 when it repeats
			// the only one until the attempts are used up.
			So(r.status, ShouldBeIn, http.StatusServiceUnavailable, http.StatusBadGateway)
			So(r.body, ShouldContainSubstring, `"outcome":"not_run"`)
			So(r.header.Get("Retry-After"), ShouldNotEqual, "")
		})
		Convey("retries of a failing group stay within its budget", func() {
			b := newBench(t, benchOptions{})
			for _, s := range b.services {
				s.SetFault(service.Fault{Status: 503})
			}
			for range 100 {
				b.send(http.MethodGet, "/balance", "", "")
			}
			So(b.counts.retried["upstream_status"], ShouldBeLessThanOrEqualTo, 30)
		})
	})
}

// newUnmodified returns the dispatcher itself, so that the scheduler chooses.
func newUnmodified(d *dispatch.Dispatcher) caller.Requests { return d }

// TestRefusals guards against refusals with a wrong status, reason or outcome,
// and against requests that exceed the limits.
func TestRefusals(t *testing.T) {
	Convey("Refused requests", t, func() {
		b := newBench(t, benchOptions{})
		for _, c := range []struct {
			name, path, kind, body string
			status                 int
			reason                 fleet.Reason
		}{
			{"not JSON", "/v1/completions", "", `{`, 400, fleet.ReasonBadRequest},
			{"no prompt", "/v1/completions", "", `{}`, 400, fleet.ReasonBadRequest},
			{"no messages", "/v1/chat/completions", "", `{"prompt":"a"}`, 400, fleet.ReasonBadRequest},
			{"two answers", "/v1/completions", "", `{"prompt":"a","n":2}`, 400, fleet.ReasonBadRequest},
			{"unknown kind", "/v1/completions", "gold", `{"prompt":"a"}`, 403, fleet.ReasonKindNotGranted},
			{"kind of a service", "/v1/completions", "payout", `{"prompt":"a"}`, 403, fleet.ReasonKindNotGranted},
			{"other model", "/v1/completions", "", `{"prompt":"a","model":"m"}`, 403, fleet.ReasonKindNotGranted},
			{"long prompt", "/v1/completions", "", `{"prompt":"` + strings.Repeat("a", 4001) + `"}`, 413, fleet.ReasonTooLarge},
			{"long answer", "/v1/completions", "", `{"prompt":"a","max_tokens":100001}`, 413, fleet.ReasonTooLarge},
			{"unknown path", "/other", "", "", 403, fleet.ReasonKindNotGranted},
			{"path out of its route", "/balance/../payout", "", "", 400, fleet.ReasonBadRequest},
			{"encoded path out of its route", "/balance/%2e%2e/payout", "", "", 400, fleet.ReasonBadRequest},
		} {
			Convey(c.name, func() {
				r := b.send(http.MethodPost, c.path, c.kind, c.body)
				So(r.status, ShouldEqual, c.status)
				So(r.body, ShouldContainSubstring, `"reason":"`+string(c.reason)+`"`)
				So(r.body, ShouldContainSubstring, `"outcome":"not_run"`)
				So(r.body, ShouldContainSubstring, r.header.Get("X-Request-Id"))
				So(r.header.Get("X-Request-Id"), ShouldHaveLength, 24)
				So(b.counts.get(c.reason), ShouldEqual, 1)
			})
		}
		Convey("an unknown key", func() {
			resp, err := http.Post(b.url+"/v1/completions", "application/json", strings.NewReader(`{}`))
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			So(resp.StatusCode, ShouldEqual, http.StatusUnauthorized)
		})
		Convey("a stopping instance", func() {
			b.dispatcher.Step(sched.Drain{})
			b.server.DisableKeepAlives()
			r := b.send(http.MethodPost, "/balance", "", "")
			So(r.status, ShouldEqual, http.StatusServiceUnavailable)
			So(r.header.Get("Retry-After"), ShouldEqual, "1")
		})
	})
	Convey("With low limits", t, func() {
		limits := caller.DefaultLimits
		limits.MaxBodyBytes, limits.MaxTotalBodyBytes, limits.MaxOpenRequests = 20000, 10000, 2
		limits.BodyTimeout = 100 * time.Millisecond
		b := newBench(t, benchOptions{limits: limits, engine: engine.Config{FirstToken: 100 * time.Millisecond}})
		Convey("a large body is refused, with and without a declared length", func() {
			So(b.send(http.MethodPost, "/balance", "", strings.Repeat("a", 20001)).status, ShouldEqual, http.StatusRequestEntityTooLarge)
		})
		Convey("bodies beyond the instance's memory are refused", func() {
			So(b.send(http.MethodPost, "/balance", "", strings.Repeat("a", 15000)).body, ShouldContainSubstring, `"queue_full"`)
			So(b.send(http.MethodPost, "/balance", "", strings.Repeat("a", 4000)).status, ShouldEqual, http.StatusOK)
		})
		Convey("a slow sender is refused", func() {
			r, w := io.Pipe()
			defer func() { _ = w.Close() }()
			req, _ := http.NewRequest(http.MethodPost, b.url+"/balance", r)
			req.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
		})
		Convey("more open requests than allowed are refused", func() {
			done := make(chan int, 4)
			for range 4 {
				go func() {
					req := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt":"a"}`))
					req.Header.Set("Authorization", "Bearer key")
					w := httptest.NewRecorder()
					b.server.Handler().ServeHTTP(w, req)
					done <- w.Code
				}()
			}
			got := map[int]int{}
			for range 4 {
				got[<-done]++
			}
			So(got, ShouldResemble, map[int]int{http.StatusOK: 2, http.StatusTooManyRequests: 2})
		})
	})
}
