package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/explanation"
)

// maxAnswer bounds an explanation: 200 servers of about 400 bytes, and some more.
const maxAnswer = 1 << 20

// whereCommand returns the subcommand that shows where a described request would
// go at an instance on the users' platform.
func (a *app) whereCommand() *ffcli.Command {
	flags := a.flags("where")
	var q explanation.Question
	flags.IntVar(&q.PromptTokens, "prompt", 0, "prompt tokens")
	flags.IntVar(&q.OutputTokens, "output", 0, "most output tokens")
	parts := flags.String("parts", "", "parts of the prompt in order: id:tokens,...")
	flags.DurationVar(&q.Deadline, "deadline", 0, "how long the caller waits; default: the route's timeout")
	member := flags.String("member", "", "name of the member that sends the request; never a key")
	raw := flags.Bool("json", false, "print the instance's answer as it is")
	return &ffcli.Command{
		Name: "where", ShortUsage: "bramleywickctl where [flags] METRICS-ADDRESS HOST PATH", FlagSet: flags,
		ShortHelp: "show where a described request would go now and why, without sending it",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 3 {
				return usage("where needs the address of the metrics listener, a host and a path")
			}
			var err error
			if q.Parts, err = explanation.ParseParts(*parts); err != nil {
				return usage("-parts: %v", err)
			}
			q.Host, q.Path, q.Member = args[1], args[2], fleet.MemberID(*member)
			if _, err := explanation.Parse(q.Values()); err != nil {
				return usage("%v", err)
			}
			body, err := a.explain(ctx, args[0], q)
			if err != nil {
				return err
			}
			var answer explanation.Answer
			if err := json.Unmarshal(body, &answer); err != nil {
				return errors.Wrapf(err, "read answer of %s", args[0])
			}
			if *raw || a.format == formatJSON {
				_, err := fmt.Fprintf(a.out, "%s\n", body)
				return err
			}
			printAnswer(a.out, &answer)
			return nil
		},
	}
}

// explain asks an instance and returns its answer.
func (a *app) explain(ctx context.Context, address string, q explanation.Question) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, a.timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+explanation.Path+"?"+q.Values().Encode(), nil)
	if err != nil {
		return nil, usage("address %q: %v", address, err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, transportError(err, "")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, transportError(errors.Wrapf(err, "read answer of %s", address), "")
	}
	if resp.StatusCode != http.StatusOK {
		code := ExitFailed
		if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
			code = ExitUnavailable
		}
		return nil, &exitError{code: code, err: errors.Errorf("%s answers %s: %.200s", address, resp.Status, strings.TrimSpace(string(body)))}
	}
	return body, nil
}

// ms formats milliseconds.
func ms(x float64) string {
	return time.Duration(x * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

func printAnswer(w io.Writer, a *explanation.Answer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	confirmed := "never confirmed"
	if a.Configuration.ConfirmedAgeMS >= 0 {
		confirmed = "confirmed " + ms(a.Configuration.ConfirmedAgeMS) + " ago"
	}
	line("instance %s, configuration version %d, %s (%s)", orDash(a.Instance), a.Configuration.Version, a.Configuration.Verdict, confirmed)
	if r := a.Route; r != nil {
		line("route %s (%s) to service %s, rank %d, target %s, timeout %s", r.Name, r.Kind, orDash(a.Service), a.Rank, ms(r.LatencyTargetMS), ms(r.TimeoutMS))
	}
	if a.Member != nil {
		line("member %s, known: %t", orDash(a.Member.Name), a.Member.Known)
	}
	line("views of %d other instances, mean age %s, oldest %s", a.Views.Instances, ms(a.Views.MeanAgeMS), ms(a.Views.OldestMS))
	printDecision(line, a)
	line("")
	for _, step := range a.Steps {
		line("%s: %d of %d servers", step.Name, len(step.Servers), step.Considered)
		var rows [][]any
		for _, s := range step.Servers {
			rows = append(rows, serverRow(&s))
		}
		printTable(w, "SERVER DATA-CENTRE STAGE STATE SCORE WAIT QUEUE UNCACHED AHEAD BACKLOG PRESSURE PASSED-OVER", rows)
	}
}

func serverRow(s *explanation.Server) []any {
	state := s.State
	if s.PausedMS > 0 {
		state += " " + ms(s.PausedMS)
	}
	passed := s.Passed
	if passed == "" {
		passed = "chosen"
	}
	row := []any{s.ID, s.DataCentre, s.Stage, state}
	if !s.Scored {
		return append(row, "-", "-", "-", "-", "-", "-", "-", passed)
	}
	return append(row, ms(s.ScoreMS), ms(s.WaitMS), ms(s.QueueMS), fmt.Sprintf("%.0f", s.UncachedTokens), fmt.Sprintf("%.0f", s.TokensAhead),
		fmt.Sprintf("%.2f", s.Backlog), fmt.Sprintf("%.2f", s.Pressure), passed)
}

func printDecision(line func(string, ...any), a *explanation.Answer) {
	d := &a.Decision
	switch {
	case d.Result == explanation.Refused:
		line("decision: refused, %s, retry after %s", d.Reason, ms(d.RetryAfterMS))
	case d.Result == explanation.Relayed:
		line("decision: relayed to another instance, %s", d.Reason)
	case d.Priority < 0:
		line("decision: %s, without a priority", d.Result)
	default:
		line("decision: %s, priority %d", d.Result, d.Priority)
	}
	if d.Note != "" {
		line("note: %s", d.Note)
	}
	if i := a.Inputs; i != nil {
		line("  from: queue %s, late queue %s, processing %s, backlog %.2f, target %s, remaining %s",
			ms(i.QueueMS), ms(i.LateQueueMS), ms(i.ProcessingMS), i.Backlog, ms(i.LatencyTargetMS), ms(i.RemainingMS))
	}
	if m := a.Share; m != nil {
		line("member's rate %.0f of %.0f per second, admitted with probability %.2f", m.Rate, m.Threshold, m.Probability)
	}
	if l := a.Limit; l != nil {
		line("  limits of servers: %.1f/s allowed here (-1: no bound), %.1f/s asked, chance %.2f, share %.2f, age %s", l.Allowed, l.Asked, l.Chance, l.Share, ms(l.AgeMS))
	}
	for _, c := range []struct {
		name   string
		chosen *explanation.Chosen
	}{{"prefill", a.Prefill}, {"answer", a.Decode}} {
		if c.chosen != nil {
			line("%s by %s in %s: %s, wait %s, %d candidates, view age %s, %.1f requests unseen", c.name, c.chosen.Server, c.chosen.DataCentre, c.chosen.Reason,
				ms(c.chosen.WaitMS), c.chosen.Candidates, ms(c.chosen.ViewAgeMS), c.chosen.Unseen)
		}
	}
	if a.ServersLeftOut > 0 {
		line("%d servers are left out", a.ServersLeftOut)
	}
}
