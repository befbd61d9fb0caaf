// Package capacity computes from measured points what each role of a daemon costs
// at a given deployment size. The page docs/CAPACITY.md holds its tables.
package capacity

import (
	_ "embed"
	"encoding/csv"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

//go:embed points.csv
var points string

// Point is one measurement.
type Point struct {
	Metric string
	// Size is the variable over which the metric is measured. The page names its
	// unit and that of Value.
	Size, Value float64
	// Command is the command that produced the measurement.
	Command string
}

// Points returns the measurements in points.csv.
func Points() ([]Point, error) {
	rows, err := csv.NewReader(strings.NewReader(points)).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read points")
	}
	var out []Point
	for _, row := range rows[1:] {
		size, err := strconv.ParseFloat(row[1], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "size of %s", row[0])
		}
		value, err := strconv.ParseFloat(row[2], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "value of %s", row[0])
		}
		out = append(out, Point{Metric: row[0], Size: size, Value: value, Command: row[3]})
	}
	return out, nil
}

// Line is the linear function Base + Slope*size.
type Line struct{ Base, Slope float64 }

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line through a metric's points. The slope is 0 for a
// metric with one size only. It returns an error for a metric without points.
func Fit(all []Point, metric string) (Line, error) {
	var n, x, xx, y, xy float64
	for _, p := range all {
		if p.Metric != metric {
			continue
		}
		n++
		x += p.Size
		xx += p.Size * p.Size
		y += p.Value
		xy += p.Size * p.Value
	}
	if n == 0 {
		return Line{}, errors.Errorf("no point of %s", metric)
	}
	if d := n*xx - x*x; d > 0 {
		slope := (n*xy - x*y) / d
		return Line{Base: (y - slope*x) / n, Slope: slope}, nil
	}
	return Line{Base: y / n}, nil
}

// Size describes the size and the load of a deployment.
type Size struct {
	Name string
	// Daemons and Upstreams are the numbers in one data centre.
	Daemons, Upstreams float64
	// RegionEngines is the number of engines that one daemon routes to.
	RegionEngines float64
	Members       float64
	// RequestsPerSecond and TokensPerSecond are rates per daemon. AnswerSeconds is
	// the mean duration of an answer.
	RequestsPerSecond, TokensPerSecond, AnswerSeconds float64
	// AllDaemons is the number of daemons in the whole deployment.
	AllDaemons, ConfigChangesPerDay float64
	// ClaimsPerSecond is the assumed rate of calls with an idempotency key, per
	// daemon.
	ClaimsPerSecond float64
	// RoleChangesPerHour is the assumed rate of role changes in a data centre.
	RoleChangesPerHour float64
	// ExchangeMetrics is the prefix of the exchange's metrics: "mesh" for a small
	// region, where every instance exchanges with every other one, and "exchange"
	// otherwise.
	ExchangeMetrics string
}

// MaxPolled returns the most upstreams that one daemon polls. The order holder polls
// none.
func (s Size) MaxPolled() float64 { return math.Ceil(s.Upstreams / (s.Daemons - 1)) }

// Peers returns the number of instances to which one instance pushes every second:
// all others in a small region, and otherwise those of its data centre and one in
// each other data centre of the region.
func (s Size) Peers() float64 {
	if s.ExchangeMetrics == "mesh" {
		return s.AllDaemons - 1
	}
	return s.Daemons - 1 + regionDataCentres - 1
}

// regionDataCentres is the number of data centres of the largest region.
const regionDataCentres = 4

// Sizes returns the larger deployment of today and the one expected in two years.
// Today's requests are those of the benchmark of the shifting mix, and today's
// claims are 2% of the requests. The claims in two years are as many as the
// platform's limit on writes allows.
func Sizes() []Size {
	return []Size{
		{Name: "today", Daemons: 3, Upstreams: 7, RegionEngines: 18, Members: 30, RequestsPerSecond: 30, TokensPerSecond: 4600, AnswerSeconds: 5, AllDaemons: 8, ConfigChangesPerDay: 20, ClaimsPerSecond: 0.6, RoleChangesPerHour: 4, ExchangeMetrics: "mesh"},
		{Name: "two years on", Daemons: 35, Upstreams: 71, RegionEngines: 284, Members: 1300, RequestsPerSecond: 8.7, TokensPerSecond: 1897, AnswerSeconds: 11, AllDaemons: 390, ConfigChangesPerDay: 840, ClaimsPerSecond: 0.38, RoleChangesPerHour: 4, ExchangeMetrics: "exchange"},
	}
}

// Row is one row of the page's table: the cost of one role, per daemon.
type Row struct {
	Role, Size string
	// StateKB is memory. MessagesPerSecond counts the messages sent.
	// BytesPerSecond is that of the busiest daemon, both directions added.
	// CPUPercent is a percentage of a core.
	StateKB, MessagesPerSecond, BytesPerSecond, CPUPercent, PlatformCallsPerMinute float64
}

// Rows returns the rows of the table for all sizes.
func Rows() ([]Row, error) {
	all, err := Points()
	if err != nil {
		return nil, err
	}
	m := &model{points: all}
	var out []Row
	for _, s := range Sizes() {
		out = append(out, m.rows(s)...)
	}
	return out, m.err
}

// model computes rows from the points. It keeps the first error of its methods.
type model struct {
	points []Point
	err    error
}

// at returns the value of a metric's line at a size.
func (m *model) at(metric string, size float64) float64 {
	line, err := Fit(m.points, metric)
	if err != nil && m.err == nil {
		m.err = err
	}
	return line.At(size)
}

// slope returns the slope of a metric's line: what one more unit of size adds.
func (m *model) slope(metric string) float64 {
	line, err := Fit(m.points, metric)
	if err != nil && m.err == nil {
		m.err = err
	}
	return line.Slope
}

const (
	// pollsPerSecond is how often an upstream is polled.
	pollsPerSecond = 2
	// schedUpstreams is the number of engines in the measurement of the
	// scheduler's state by members.
	schedUpstreams = 71
	// stateReadSeconds is the time between two reads of an idle engine's state by
	// the order holder. planSeconds is the assumed time between two evaluations of
	// the role planner.
	stateReadSeconds = 10
	planSeconds      = 2
	// claimAnswerBytes is the size of the answer that a claim stores.
	// claimWrites is the number of platform writes for one claim.
	claimAnswerBytes = 2000
	claimWrites      = 2

	secondsPerMinute      = 60
	minutesPerHour        = 60
	bytesPerKB            = 1000
	percent               = 100
	secondsPerMicrosecond = 1e-6
)

// rows returns the rows of one size.
func (m *model) rows(s Size) []Row {
	streams := s.RequestsPerSecond * s.AnswerSeconds
	polled := s.MaxPolled()
	claimCPUPercent := s.ClaimsPerSecond * m.at("claim_us", claimAnswerBytes) * secondsPerMicrosecond * percent
	return []Row{
		{
			Role: "request path (not control)", Size: s.Name, StateKB: streams * m.at("stream_bytes", 0) / bytesPerKB,
			MessagesPerSecond: s.TokensPerSecond, CPUPercent: s.TokensPerSecond * m.at("chunk_us", 0) * secondsPerMicrosecond * percent,
		},
		{
			Role: "decisions and scheduler state", Size: s.Name,
			StateKB:    m.at("sched_members_kb", s.Members) + m.slope("sched_upstreams_kb")*(s.RegionEngines-schedUpstreams),
			CPUPercent: s.RequestsPerSecond * (m.at("decide_us", s.RegionEngines) + m.at("request_us", 0)) * secondsPerMicrosecond * percent,
		},
		{
			Role: "exchange: fair turns, loads, membership", Size: s.Name, StateKB: m.at(s.ExchangeMetrics+"_kb", s.Daemons),
			MessagesPerSecond: s.Peers(), BytesPerSecond: m.at(s.ExchangeMetrics+"_most_bytes", s.Daemons), CPUPercent: m.at(s.ExchangeMetrics+"_cpu", s.Daemons),
		},
		{
			Role: "polling of loads", Size: s.Name, StateKB: m.at("poll_kb", polled), MessagesPerSecond: polled * pollsPerSecond,
			BytesPerSecond: m.at("poll_bytes", polled), CPUPercent: m.at("poll_cpu", polled),
		},
		{
			Role: "cache index", Size: s.Name, StateKB: m.at("index_kb", 0),
		},
		{
			Role: "configuration", Size: s.Name, StateKB: m.at("config_bytes", s.Members) / bytesPerKB,
			CPUPercent: s.ConfigChangesPerDay / secondsPerDay * m.at("config_ms", s.Members) / 1000 * percent, PlatformCallsPerMinute: m.at("config_calls", 0),
		},
		{
			Role: "order holder (one of a data centre)", Size: s.Name, StateKB: m.at("holder_kb", s.Upstreams),
			MessagesPerSecond: s.Upstreams / stateReadSeconds, BytesPerSecond: m.at("holder_bytes", s.Upstreams),
			CPUPercent:             m.at("holder_cpu", s.Upstreams) + m.at("plan_us", s.RegionEngines)*secondsPerMicrosecond*percent/planSeconds,
			PlatformCallsPerMinute: m.at("holder_calls", s.Upstreams) + s.RoleChangesPerHour*m.at("order_calls", 0)/minutesPerHour,
		},
		{
			Role: "claims (not control)", Size: s.Name, StateKB: m.slope("claim_open_kb") * s.ClaimsPerSecond * s.AnswerSeconds,
			MessagesPerSecond: s.ClaimsPerSecond * claimWrites, BytesPerSecond: s.ClaimsPerSecond * m.at("claim_bytes", claimAnswerBytes),
			CPUPercent: claimCPUPercent, PlatformCallsPerMinute: s.ClaimsPerSecond * claimWrites * secondsPerMinute,
		},
	}
}

const secondsPerDay = 24 * 60 * 60

// Table returns the rows as the Markdown table of the page.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| size | role of a daemon | state KB | messages/s | B/s both ways | % of a core | platform calls/min |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Size, r.Role,
			formatCell(r.StateKB, 0), formatCell(r.MessagesPerSecond, 1), formatCell(r.BytesPerSecond, 0), formatCell(r.CPUPercent, 3), formatCell(r.PlatformCallsPerMinute, 1))
	}
	return b.String()
}

// formatCell formats a value with a number of digits after the point; 0 is "-".
func formatCell(v float64, digits int) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}
