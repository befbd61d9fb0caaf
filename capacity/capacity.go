// Package capacity works out what each role of a daemon costs at a given size
// from measured points. The page docs/CAPACITY.md holds its tables.
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
	// Size is what the metric is measured over; see the page for its unit.
	Size, Value float64
	Command     string
}

// Points returns the measurements.
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

// Line is value = Base + Slope*size.
type Line struct{ Base, Slope float64 }

// At returns the value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line through a metric's points. A metric with
// one size has no slope.
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

// Size is a deployment's size.
type Size struct {
	Name string
	// Daemons and Upstreams are those of one data centre.
	Daemons, Upstreams float64
	// RegionEngines are the engines that one daemon routes to.
	RegionEngines float64
	Members       float64
	// Requests and Tokens are per daemon and second, Seconds the mean length
	// of an answer.
	Requests, Tokens, Seconds float64
	// AllDaemons are those of the whole deployment, Changes of the
	// configuration per day.
	AllDaemons, Changes float64
	// Claims are calls with a key per daemon and second, an assumption.
	Claims float64
	// Orders are the role changes of a data centre's engines per hour, an
	// assumption.
	Orders float64
	// Exchange is the prefix of the exchange's metrics: in a small region every
	// instance exchanges with every other one.
	Exchange string
}

// Polled is the most upstreams that one daemon polls; the order holder polls
// none.
func (s Size) Polled() float64 { return math.Ceil(s.Upstreams / (s.Daemons - 1)) }

// Peers is the number of instances that one pushes to every second: all of a
// small region, otherwise those of its data centre and one of each other one of
// the region.
func (s Size) Peers() float64 {
	if s.Exchange == "mesh" {
		return s.AllDaemons - 1
	}
	return s.Daemons - 1 + regionCentres - 1
}

// regionCentres is the number of data centres of the largest region.
const regionCentres = 4

// Sizes returns today's larger deployment and the one of two years on. Requests
// of today are those that the measurement of the shifting mix offers. Claims of
// two years on are what the platform's writes allow, those of today 2% of the
// requests.
func Sizes() []Size {
	return []Size{
		{Name: "today", Daemons: 3, Upstreams: 7, RegionEngines: 18, Members: 30, Requests: 30, Tokens: 4600, Seconds: 5, AllDaemons: 8, Changes: 20, Claims: 0.6, Orders: 4, Exchange: "mesh"},
		{Name: "two years on", Daemons: 35, Upstreams: 71, RegionEngines: 284, Members: 1300, Requests: 8.7, Tokens: 1897, Seconds: 11, AllDaemons: 390, Changes: 840, Claims: 0.38, Orders: 4, Exchange: "exchange"},
	}
}

// Row is one line of the page's table, per daemon.
type Row struct {
	Role, Size string
	// State in KB, messages sent a second, bytes a second of the busiest daemon
	// with both directions added, CPU in percent of a core, platform calls a
	// minute.
	StateKB, Messages, Bytes, CPU, PlatformCalls float64
}

// Rows works out the table.
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

type model struct {
	points []Point
	err    error
}

// at evaluates a metric's line; the first failure is kept.
func (m *model) at(metric string, size float64) float64 {
	line, err := Fit(m.points, metric)
	if err != nil && m.err == nil {
		m.err = err
	}
	return line.At(size)
}

// slope returns what one more unit of size adds.
func (m *model) slope(metric string) float64 {
	line, err := Fit(m.points, metric)
	if err != nil && m.err == nil {
		m.err = err
	}
	return line.Slope
}

const (
	pollsPerSecond = 2
	// schedUpstreams is the number of engines at which the scheduler's state by
	// members was measured.
	schedUpstreams = 71
	// observeSeconds is the holder's pause between two readings of an engine,
	// planSeconds the planner's least pause.
	observeSeconds = 10
	planSeconds    = 2
	// claimAnswer is the size of an answer that a claim keeps, claimCalls the
	// writes for one.
	claimAnswer = 2000
	claimCalls  = 2

	secondsPerMinute = 60
	minutesPerHour   = 60
	kb               = 1000
	percent          = 100
	micro            = 1e-6
)

func (m *model) rows(s Size) []Row {
	streams := s.Requests * s.Seconds
	polled := s.Polled()
	claimed := s.Claims * m.at("claim_us", claimAnswer) * micro * percent
	return []Row{
		{
			Role: "request path (not control)", Size: s.Name, StateKB: streams * m.at("stream_bytes", 0) / kb,
			Messages: s.Tokens, CPU: s.Tokens * m.at("chunk_us", 0) * micro * percent,
		},
		{
			Role: "decisions and scheduler state", Size: s.Name,
			StateKB: m.at("sched_members_kb", s.Members) + m.slope("sched_upstreams_kb")*(s.RegionEngines-schedUpstreams),
			CPU:     s.Requests * (m.at("decide_us", s.RegionEngines) + m.at("request_us", 0)) * micro * percent,
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
			Role: "configuration", Size: s.Name, StateKB: m.at("config_bytes", s.Members) / kb,
			CPU: s.Changes / secondsPerDay * m.at("config_ms", s.Members) / 1000 * percent, PlatformCalls: m.at("config_calls", 0),
		},
		{
			Role: "order holder (one of a data centre)", Size: s.Name, StateKB: m.at("holder_kb", s.Upstreams),
			Messages: s.Upstreams / observeSeconds, Bytes: m.at("holder_bytes", s.Upstreams),
			CPU:           m.at("holder_cpu", s.Upstreams) + m.at("plan_us", s.RegionEngines)*micro*percent/planSeconds,
			PlatformCalls: m.at("holder_calls", s.Upstreams) + s.Orders*m.at("order_calls", 0)/minutesPerHour,
		},
		{
			Role: "claims (not control)", Size: s.Name, StateKB: m.slope("claim_open_kb") * s.Claims * s.Seconds,
			Messages: s.Claims * claimCalls, Bytes: s.Claims * m.at("claim_bytes", claimAnswer),
			CPU: claimed, PlatformCalls: s.Claims * claimCalls * secondsPerMinute,
		},
	}
}

const secondsPerDay = 24 * 60 * 60

// Table formats the rows as the page shows them.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| size | role of a daemon | state KB | messages/s | B/s both ways | % of a core | platform calls/min |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Size, r.Role,
			number(r.StateKB, 0), number(r.Messages, 1), number(r.Bytes, 0), number(r.CPU, 3), number(r.PlatformCalls, 1))
	}
	return b.String()
}

func number(v float64, digits int) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}
