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
	// Requests and Tokens are rates per daemon and second. Seconds is the mean
	// duration of an answer.
	Requests, Tokens, Seconds float64
	// AllDaemons is the number in the whole deployment. Changes is the number of
	// configuration changes per day.
	AllDaemons, Changes float64
	// Claims is the assumed rate of calls with an idempotency key, per daemon and
	// second.
	Claims float64
	// Orders is the assumed number of role changes per hour in a data centre.
	Orders float64
	// Exchange is the prefix of the exchange's metrics: "mesh" for a small region,
	// where every instance exchanges with every other one, and "exchange"
	// otherwise.
	Exchange string
}

// Polled returns the most upstreams that one daemon polls. The order holder polls
// none.
func (s Size) Polled() float64 { return math.Ceil(s.Upstreams / (s.Daemons - 1)) }

// Peers returns the number of instances to which one instance pushes every second:
// all others in a small region, and otherwise those of its data centre and one in
// each other data centre of the region.
func (s Size) Peers() float64 {
	if s.Exchange == "mesh" {
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
		{Name: "today", Daemons: 3, Upstreams: 7, RegionEngines: 18, Members: 30, Requests: 30, Tokens: 4600, Seconds: 5, AllDaemons: 8, Changes: 20, Claims: 0.6, Orders: 4, Exchange: "mesh"},
		{Name: "two years on", Daemons: 35, Upstreams: 71, RegionEngines: 284, Members: 1300, Requests: 8.7, Tokens: 1897, Seconds: 11, AllDaemons: 390, Changes: 840, Claims: 0.38, Orders: 4, Exchange: "exchange"},
	}
}

// Row is one row of the page's table: the cost of one role, per daemon.
type Row struct {
	Role, Size string
	// StateKB is memory in KB. Messages is the number sent per second. Bytes is
	// bytes per second at the busiest daemon, both directions added. CPU is a
	// percentage of a core. PlatformCalls is calls per minute.
	StateKB, Messages, Bytes, CPU, PlatformCalls float64
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

// model computes rows from the points. It keeps the first error.
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

// slope returns the slope of a metric's line.
func (m *model) slope(metric string) float64 {
	line, err := Fit(m.points, metric)
	if err != nil && m.err == nil {
		m.err = err
	}
	return line.Slope
}

const (
	pollsPerSecond = 2
	// schedUpstreams is the number of engines in the measurement of the
	// scheduler's state by members.
	schedUpstreams = 71
	// stateReadSeconds is the time between two reads of an engine's state by the
	// order holder. planSeconds is the planner's least time between two plans.
	stateReadSeconds = 10
	planSeconds      = 2
	// claimAnswerBytes is the size of the answer that a claim stores. claimWrites
	// is the number of platform writes for one claim.
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
	streams := s.Requests * s.Seconds
	polled := s.Polled()
	claimed := s.Claims * m.at("claim_us", claimAnswerBytes) * secondsPerMicrosecond * percent
	return []Row{
		{
			Role: "request path (not control)", Size: s.Name, StateKB: streams * m.at("stream_bytes", 0) / bytesPerKB,
			Messages: s.Tokens, CPU: s.Tokens * m.at("chunk_us", 0) * secondsPerMicrosecond * percent,
		},
		{
			Role: "decisions and scheduler state", Size: s.Name,
			StateKB: m.at("sched_members_kb", s.Members) + m.slope("sched_upstreams_kb")*(s.RegionEngines-schedUpstreams),
			CPU:     s.Requests * (m.at("decide_us", s.RegionEngines) + m.at("request_us", 0)) * secondsPerMicrosecond * percent,
		},
		{
			Role: "exchange: fair turns, loads, membership", Size: s.Name, StateKB: m.at(s.Exchange+"_kb", s.Daemons),
			Messages: s.Peers(), Bytes: m.at(s.Exchange+"_most_bytes", s.Daemons), CPU: m.at(s.Exchange+"_cpu", s.Daemons),
		},
		{
			Role: "polling of loads", Size: s.Name, StateKB: m.at("poll_kb", polled), Messages: polled * pollsPerSecond,
			Bytes: m.at("poll_bytes", polled), CPU: m.at("poll_cpu", polled),
		},
		{
			Role: "cache index", Size: s.Name, StateKB: m.at("index_kb", 0),
		},
		{
			Role: "configuration", Size: s.Name, StateKB: m.at("config_bytes", s.Members) / bytesPerKB,
			CPU: s.Changes / secondsPerDay * m.at("config_ms", s.Members) / 1000 * percent, PlatformCalls: m.at("config_calls", 0),
		},
		{
			Role: "order holder (one of a data centre)", Size: s.Name, StateKB: m.at("holder_kb", s.Upstreams),
			Messages: s.Upstreams / stateReadSeconds, Bytes: m.at("holder_bytes", s.Upstreams),
			CPU:           m.at("holder_cpu", s.Upstreams) + m.at("plan_us", s.RegionEngines)*secondsPerMicrosecond*percent/planSeconds,
			PlatformCalls: m.at("holder_calls", s.Upstreams) + s.Orders*m.at("order_calls", 0)/minutesPerHour,
		},
		{
			Role: "claims (not control)", Size: s.Name, StateKB: m.slope("claim_open_kb") * s.Claims * s.Seconds,
			Messages: s.Claims * claimWrites, Bytes: s.Claims * m.at("claim_bytes", claimAnswerBytes),
			CPU: claimed, PlatformCalls: s.Claims * claimWrites * secondsPerMinute,
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
			formatCell(r.StateKB, 0), formatCell(r.Messages, 1), formatCell(r.Bytes, 0), formatCell(r.CPU, 3), formatCell(r.PlatformCalls, 1))
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
