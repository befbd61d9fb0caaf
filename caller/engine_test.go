package caller_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/caller"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/dispatch"
	"github.com/bramleywick/bramleywick/standin/engine"
)

// streamRequest is the body of a request for a streamed answer; wantText is the
// text of its answer.
const (
	streamRequest = `{"prompt":"one two three four five","max_tokens":12,"stream":true}`
	wantText      = "one two three four five one two three four five one two "
)

// TestBrokenAnswers guards against missing and duplicate tokens, and against a
// broken stream without an error event, for each fault of an engine.
func TestBrokenAnswers(t *testing.T) {
	Convey("Faults of engines", t, func() {
		for _, c := range []struct {
			name   string
			fault  engine.Fault
			reason retry.Reason
			// starts is how many completions reach the engines.
			starts int
		}{
			{"refused with 503", engine.Fault{Mode: engine.FaultStatus, Status: 503}, retry.ReasonUpstreamStatus, 2},
			{"reset before the first byte", engine.Fault{Mode: engine.FaultResetFirst}, retry.ReasonConnectionLost, 2},
			{"reset at the first chunk", engine.Fault{Mode: engine.FaultReset, At: 1}, retry.ReasonConnectionLost, 2},
			{"reset once, resumed", engine.Fault{Mode: engine.FaultReset, At: 4, Times: 1}, retry.ReasonConnectionLost, 2},
			{"reset again, continued elsewhere", engine.Fault{Mode: engine.FaultReset, At: 4}, retry.ReasonConnectionLost, 3},
			{"ended early", engine.Fault{Mode: engine.FaultEnd, At: 4}, retry.ReasonConnectionLost, 3},
			{"last chunk missing", engine.Fault{Mode: engine.FaultEnd, At: 13, Times: 1}, retry.ReasonConnectionLost, 2},
			{"stalled", engine.Fault{Mode: engine.FaultStall, At: 4}, retry.ReasonStalled, 3},
			{"stalled before the first chunk", engine.Fault{Mode: engine.FaultStall, At: 1}, retry.ReasonStalled, 2},
			{"wrong request id", engine.Fault{Mode: engine.FaultWrongID, At: 4}, retry.ReasonWrongRequest, 2},
			{"doubled", engine.Fault{Mode: engine.FaultDouble, At: 4}, "", 1},
			{"swapped", engine.Fault{Mode: engine.FaultSwap, At: 4}, "", 1},
			{"late", engine.Fault{Mode: engine.FaultLate, At: 4}, "", 1},
			{"lost, stream ends", engine.Fault{Mode: engine.FaultLose, At: 4, Times: 1}, retry.ReasonConnectionLost, 2},
			{"garbage", engine.Fault{Mode: engine.FaultGarbage, At: 4}, retry.ReasonBadAnswer, 2},
			{"oversized", engine.Fault{Mode: engine.FaultOversized, At: 4}, retry.ReasonBadAnswer, 2},
		} {
			Convey(c.name, func() {
				b := newBench(t, benchOptions{})
				b.engines[0].SetFault(c.fault)
				r := b.send(http.MethodPost, "/v1/completions", "", streamRequest)
				So(r.err, ShouldBeNil)
				So(r.status, ShouldEqual, http.StatusOK)
				So(answerText(r.body), ShouldEqual, wantText)
				So(r.body, ShouldEndWith, "data: [DONE]\n\n")
				So(b.engines[0].Completions()+b.engines[1].Completions(), ShouldEqual, c.starts)
				So(b.counts.first, ShouldEqual, 1)
				if c.reason != "" {
					So(b.counts.retried[c.reason], ShouldBeGreaterThan, 0)
				}
			})
			Convey(c.name+", kind not repeatable", func() {
				b := newBench(t, benchOptions{})
				b.engines[0].SetFault(c.fault)
				r := b.send(http.MethodPost, "/v1/completions", "once", streamRequest)
				So(b.engines[0].Completions()+b.engines[1].Completions(), ShouldEqual, 1)
				if c.reason == "" {
					So(answerText(r.body), ShouldEqual, wantText)
					return
				}
				So(r.body, ShouldNotContainSubstring, "[DONE]")
				So(r.body, ShouldContainSubstring, `"reason":"outcome_unknown"`)
				So(r.body, ShouldNotContainSubstring, string(fleet.OutcomeNotRun))
				if r.status == http.StatusOK {
					So(r.body, ShouldContainSubstring, "event: error\n")
					So(wantText, ShouldStartWith, answerText(r.body))
				}
			})
		}
		Convey("an engine that cannot be reached is passed over, for every kind", func() {
			for _, kind := range []string{"ledger", "once"} {
				b := newBench(t, benchOptions{firstUnreachable: true})
				r := b.send(http.MethodPost, "/v1/completions", kind, streamRequest)
				So(answerText(r.body), ShouldEqual, wantText)
				So(b.counts.retried[retry.ReasonNotSent], ShouldEqual, 1)
			}
		})
		Convey("when both engines fail, the caller learns that it may have run", func() {
			b := newBench(t, benchOptions{})
			for _, e := range b.engines {
				e.SetFault(engine.Fault{Mode: engine.FaultStatus, Status: 500})
			}
			r := b.send(http.MethodPost, "/v1/completions", "", streamRequest)
			So(r.status, ShouldEqual, http.StatusBadGateway)
			So(r.body, ShouldContainSubstring, `"outcome":"unknown"`)
		})
		Convey("an answer that breaks for good ends with an error event", func() {
			b := newBench(t, benchOptions{})
			for _, e := range b.engines {
				e.SetFault(engine.Fault{Mode: engine.FaultReset, At: 4})
			}
			r := b.send(http.MethodPost, "/v1/completions", "", streamRequest)
			So(r.status, ShouldEqual, http.StatusOK)
			So(answerText(r.body), ShouldEqual, "one two three ")
			So(r.body, ShouldContainSubstring, "event: error\ndata: {\"error\":{\"reason\":\"upstream_failed\",\"outcome\":\"run\"")
		})
	})
}

// splitPath changes every choice to the split path.
type splitPath struct{ *dispatch.Dispatcher }

// TestSplitPath guards against an answer that is lost when the prefill or the
// KV transfer fails.
func TestSplitPath(t *testing.T) {
	Convey("With prefill at the first engine", t, func() {
		for _, c := range []struct {
			name          string
			prefill, next engine.Fault
			reason        retry.Reason
		}{
			{"all steps work", engine.Fault{}, engine.Fault{}, ""},
			{"prefill fails", engine.Fault{Mode: engine.FaultPrefill, Status: 500}, engine.Fault{}, retry.ReasonPrefillFailed},
			{"import fails", engine.Fault{}, engine.Fault{Mode: engine.FaultNoKV}, retry.ReasonKVImportFailed},
			{"decode breaks", engine.Fault{}, engine.Fault{Mode: engine.FaultReset, At: 4, Times: 1}, retry.ReasonConnectionLost},
		} {
			Convey(c.name, func() {
				b := newBench(t, benchOptions{requests: newSplit})
				b.engines[0].SetFault(c.prefill)
				b.engines[1].SetFault(c.next)
				r := b.send(http.MethodPost, "/v1/completions", "", streamRequest)
				So(answerText(r.body), ShouldEqual, wantText)
				So(b.engines[0].Completions(), ShouldEqual, 0)
				if c.reason != "" {
					So(b.counts.retried[c.reason], ShouldEqual, 1)
				}
			})
		}
	})
}

// TestCallers guards against work for callers that have left, against a slow
// reader that delays others, and against wrong formats of answers.
func TestCallers(t *testing.T) {
	long := `{"prompt":"one two three four five","max_tokens":100000,"stream":true}`
	Convey("With slow engines", t, func() {
		b := newBench(t, benchOptions{engine: engine.Config{TokenGap: 5 * time.Millisecond}, deadline: time.Hour})
		Convey("a caller that leaves ends its engine work at once", func() {
			req, _ := http.NewRequest(http.MethodPost, b.url+"/v1/completions", strings.NewReader(long))
			req.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			So(b.engines[0].Running()+b.engines[1].Running(), ShouldEqual, 1)
			_ = resp.Body.Close()
			left := time.Now()
			So(eventually(func() bool { return b.engines[0].Running()+b.engines[1].Running() == 0 }), ShouldBeTrue)
			So(time.Since(left), ShouldBeLessThan, 200*time.Millisecond)
			So(eventually(func() bool { return len(b.engines[0].Cancelled())+len(b.engines[1].Cancelled()) == 1 }), ShouldBeTrue)
			So(eventually(func() bool { return b.counts.get(fleet.ReasonCallerGone) == 1 }), ShouldBeTrue)
			So(b.server.OpenRequests(), ShouldBeEmpty)
		})
	})
	Convey("With fast engines", t, func() {
		limits := caller.DefaultLimits
		limits.WriteTimeout = 400 * time.Millisecond
		b := newBench(t, benchOptions{limits: limits, deadline: time.Hour})
		Convey("a slow reader delays its own stream only, and is dropped in the end", func() {
			req, _ := http.NewRequest(http.MethodPost, b.url+"/v1/completions", strings.NewReader(long))
			req.Header.Set("Authorization", "Bearer key")
			resp, err := smallWindow.Do(req)
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			for range 20 {
				began := time.Now()
				So(answerText(b.send(http.MethodPost, "/v1/completions", "", streamRequest).body), ShouldEqual, wantText)
				So(time.Since(began), ShouldBeLessThan, 200*time.Millisecond)
			}
			So(eventually(func() bool { return b.counts.get(fleet.ReasonCallerGone) == 1 }), ShouldBeTrue)
		})
		Convey("a whole chat answer has the text and the usage", func() {
			r := b.send(http.MethodPost, "/v1/chat/completions", "", `{"messages":[{"role":"user","content":[{"type":"text","text":"a \"b\""}]}],"max_tokens":3}`)
			So(r.status, ShouldEqual, http.StatusOK)
			So(r.body, ShouldContainSubstring, `"content":"user: a \"b\" "`)
			So(r.body, ShouldContainSubstring, `"completion_tokens":3`)
		})
		Convey("a chat stream ends with the usage when asked for", func() {
			r := b.send(http.MethodPost, "/v1/chat/completions", "", `{"messages":[{"role":"user","content":"a"}],"max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`)
			So(r.body, ShouldContainSubstring, `"delta":{"role":"assistant","content":"user: "}`)
			So(r.body, ShouldContainSubstring, `"choices":[],"usage":{"prompt_tokens":2`)
		})
		Convey("models are listed", func() {
			So(b.send(http.MethodGet, "/v1/models", "", "").body, ShouldContainSubstring, `"id":"ledger-7b"`)
		})
	})
	Convey("A deadline that passes in mid answer is an error event", t, func() {
		b := newBench(t, benchOptions{engine: engine.Config{TokenGap: 20 * time.Millisecond}})
		// The scheduler expects this answer to meet the deadline.
		r := b.send(http.MethodPost, "/v1/completions", "", strings.Replace(long, "100000", "1000", 1))
		So(r.body, ShouldContainSubstring, `"reason":"deadline_unmeetable","outcome":"run"`)
	})
}

func newSplit(d *dispatch.Dispatcher) caller.Requests { return splitPath{d} }

// makeSplit changes the choice of a ticket to the split path.
func makeSplit(t *dispatch.Ticket) *dispatch.Ticket {
	if t != nil {
		t.Choice.Path, t.Choice.PrefillTarget, t.Choice.Target = sched.PathSplit, "engine-1", "engine-2"
	}
	return t
}

// Submit implements caller.Requests.
func (s splitPath) Submit(ctx context.Context, r sched.Request) (*dispatch.Ticket, *fleet.Refusal) {
	t, refusal := s.Dispatcher.Submit(ctx, r)
	return makeSplit(t), refusal
}

// smallWindow is a client whose connections buffer only a few kilobytes. With
// smallBuffers at the server, writes block soon after the client stops reading.
var smallWindow = &http.Client{Transport: &http.Transport{
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	},
}}
