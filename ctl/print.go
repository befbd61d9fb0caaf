package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// printJSON writes a message as JSON with the field names of operator.proto.
// 64-bit numbers are strings, as protobuf's JSON mapping defines.
func (a *app) printJSON(m proto.Message) error {
	raw, err := encodeJSON(m)
	if err != nil {
		return err
	}
	_, err = a.out.Write(append(raw, '\n'))
	return err
}

// encodeJSON encodes a message without white space, since that of protojson's
// output deliberately varies between builds.
func encodeJSON(m proto.Message) ([]byte, error) {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	return out.Bytes(), nil
}

// errorOutput is the JSON form of an error on the error output.
type errorOutput struct {
	Error struct {
		Exit    int               `json:"exit"`
		Message string            `json:"message"`
		Details []json.RawMessage `json:"details,omitempty"`
	} `json:"error"`
}

func (a *app) printErrorJSON(err error, code int) {
	var out errorOutput
	out.Error.Exit = code
	out.Error.Message = err.Error()
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		for _, d := range connectErr.Details() {
			if value, valueErr := d.Value(); valueErr == nil {
				if raw, encodeErr := encodeJSON(value); encodeErr == nil {
					out.Error.Details = append(out.Error.Details, raw)
				}
			}
		}
	}
	_ = json.NewEncoder(a.errOut).Encode(out)
}

// printTable writes rows in aligned columns under a header.
func printTable(w io.Writer, header string, rows [][]any) {
	if len(rows) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	_ = t.Flush()
	_, _ = fmt.Fprintln(w)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// truncateDigests shortens the digests in a list, which are too long for a
// line.
func truncateDigests(value string) string {
	const digest, kept = 64, 12
	parts := strings.Split(value, ", ")
	for i, p := range parts {
		if len(p) == digest {
			parts[i] = p[:kept] + "..."
		}
	}
	if value == "" {
		return "(default)"
	}
	return strings.Join(parts, ", ")
}

var signs = map[operatorv1.Operation]string{
	operatorv1.Operation_OPERATION_ADDED:   "+",
	operatorv1.Operation_OPERATION_REMOVED: "-",
	operatorv1.Operation_OPERATION_CHANGED: "~",
}

func printChanges(w io.Writer, changes []*operatorv1.Change) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no changes")
	}
	for _, c := range changes {
		_, _ = fmt.Fprintf(w, "%s [%s %s]\n", signs[c.Operation], c.Section, c.Name)
		for _, f := range c.Fields {
			switch c.Operation {
			case operatorv1.Operation_OPERATION_ADDED:
				_, _ = fmt.Fprintf(w, "    %s = %s\n", f.Key, truncateDigests(f.New))
			case operatorv1.Operation_OPERATION_REMOVED:
				_, _ = fmt.Fprintf(w, "    %s = %s\n", f.Key, truncateDigests(f.Old))
			default:
				_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", f.Key, truncateDigests(f.Old), truncateDigests(f.New))
			}
		}
	}
}

// sizeRemarkRatio is the part of the platform's size limit from which plan
// prints a remark on the declaration's size.
const sizeRemarkRatio = 0.8

func printPlan(w io.Writer, plan *operatorv1.PlanResponse) {
	_, _ = fmt.Fprintf(w, "based on version %d\n", plan.BaseVersion)
	printChanges(w, plan.Changes)
	for _, f := range plan.Remarks {
		_, _ = fmt.Fprintln(w, "remark:", faultLine(f))
	}
	if float64(plan.TextBytes) > sizeRemarkRatio*float64(plan.LimitBytes) {
		_, _ = fmt.Fprintf(w, "remark: the text has %d bytes of the platform's %d; -canonical leaves out comments and defaults\n",
			plan.TextBytes, plan.LimitBytes)
	}
}

func printApplied(w io.Writer, out *operatorv1.ApplyResponse) {
	_, _ = fmt.Fprintf(w, "accepted as version %d (change %s)\n", out.Version, out.ChangeId)
	if out.Waited && len(out.NotInForce) == 0 {
		_, _ = fmt.Fprintf(w, "in force at every live instance after %d ms\n", out.WaitedMs)
	}
	printInstances(w, out.NotInForce)
}

func printInstances(w io.Writer, instances []*operatorv1.InstanceStatus) {
	var rows [][]any
	for _, i := range instances {
		rows = append(rows, []any{i.Id, orDash(i.DataCentre), i.State, i.ConfigVersion})
	}
	printTable(w, "INSTANCE DATA-CENTRE STATE VERSION", rows)
}

func printHistory(w io.Writer, versions []*operatorv1.Version) {
	var rows [][]any
	for _, v := range versions {
		revert := "-"
		if v.RevertOf > 0 {
			revert = fmt.Sprint(v.RevertOf)
		}
		at := time.UnixMilli(v.AppliedAtMs).UTC().Format(time.RFC3339)
		rows = append(rows, []any{v.Version, at, orDash(v.Author), revert, v.ChangeId, orDash(v.File)})
	}
	printTable(w, "VERSION APPLIED-AT AUTHOR REVERT-OF CHANGE FILE", rows)
}

func printStatus(w io.Writer, s *operatorv1.StatusResponse) {
	state := "serving"
	if s.Draining {
		state = "draining"
	}
	_, _ = fmt.Fprintf(w, "instance %s in %s: %s, configuration version %d, up %s\n\n", s.Instance, s.DataCentre, state,
		s.ConfigVersion, (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second))
	printMembers(w, nil, s.Members)
	printUpstreams(w, s.Upstreams)
	printCounts(w, "REFUSED COUNT", s.Refusals)
	printCounts(w, "RETRIED COUNT", s.Retries)
	printInstances(w, s.Instances)
}

// printMembers writes members with the cost served since before, or since the
// instance's start if before is nil.
func printMembers(w io.Writer, before, members []*operatorv1.MemberStatus) {
	served := map[string]float64{}
	for _, m := range before {
		served[m.Id] = m.ServedCost
	}
	var rows [][]any
	for _, m := range members {
		rows = append(rows, []any{m.Id, m.Share, m.Queued, m.Running, fmt.Sprintf("%.1f", m.ServedCost-served[m.Id])})
	}
	printTable(w, "MEMBER SHARE QUEUED RUNNING SERVED", rows)
}

func printUpstreams(w io.Writer, upstreams []*operatorv1.UpstreamStatus) {
	var rows [][]any
	for _, u := range upstreams {
		age := "-"
		if u.ReportAgeMs >= 0 {
			age = (time.Duration(u.ReportAgeMs) * time.Millisecond).String()
		}
		rows = append(rows, []any{u.Id, u.Group, u.DataCentre, u.Role, u.State, u.Running, u.Waiting, age, orDash(u.Incarnation)})
	}
	printTable(w, "UPSTREAM GROUP DATA-CENTRE ROLE STATE RUNNING WAITING REPORT-AGE INCARNATION", rows)
}

// printCounts writes the counters that are not zero.
func printCounts(w io.Writer, header string, counts []*operatorv1.Count) {
	var rows [][]any
	for _, c := range counts {
		if c.Value > 0 {
			rows = append(rows, []any{c.Name, c.Value})
		}
	}
	printTable(w, header, rows)
}

// topRows is the number of rows per table that fits a small terminal.
const topRows = 15

func printTop(w io.Writer, before, now *operatorv1.StatusResponse) {
	members := append([]*operatorv1.MemberStatus(nil), now.Members...)
	sort.SliceStable(members, func(i, j int) bool {
		return members[i].Queued+members[i].Running > members[j].Queued+members[j].Running
	})
	upstreams := append([]*operatorv1.UpstreamStatus(nil), now.Upstreams...)
	sort.SliceStable(upstreams, func(i, j int) bool {
		return upstreams[i].Running+upstreams[i].Waiting > upstreams[j].Running+upstreams[j].Waiting
	})
	_, _ = fmt.Fprintf(w, "instance %s, configuration version %d, %s\n\n", now.Instance, now.ConfigVersion, time.Now().UTC().Format(time.TimeOnly))
	printMembers(w, before.GetMembers(), members[:min(topRows, len(members))])
	printUpstreams(w, upstreams[:min(topRows, len(upstreams))])
	printCounts(w, "REFUSED SINCE-LAST", subtractCounts(before.GetRefusals(), now.Refusals))
}

// subtractCounts returns the increase of each counter since before.
func subtractCounts(before, now []*operatorv1.Count) []*operatorv1.Count {
	earlier := map[string]uint64{}
	for _, c := range before {
		earlier[c.Name] = c.Value
	}
	var out []*operatorv1.Count
	for _, c := range now {
		// A smaller count means that the instance has restarted.
		if c.Value >= earlier[c.Name] {
			out = append(out, &operatorv1.Count{Name: c.Name, Value: c.Value - earlier[c.Name]})
		}
	}
	return out
}

func printOrders(w io.Writer, orders []*operatorv1.OrderStatus) {
	var rows [][]any
	for _, o := range orders {
		age := (time.Duration(o.AgeMs) * time.Millisecond).String()
		rows = append(rows, []any{o.Upstream, orDash(o.Incarnation), o.OrderId, o.Action, o.Sender, o.FencingNumber, o.State, age})
	}
	printTable(w, "UPSTREAM INCARNATION ORDER ACTION SENDER FENCING STATE AGE", rows)
}
