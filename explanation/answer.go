package explanation

import "time"

// MaxServers bounds the servers in an answer, all steps together.
const MaxServers = 200

// Answer says where a request would go now and why. Times are in milliseconds.
type Answer struct {
	Instance string `json:"instance,omitempty"`
	// RequestID is the ID that was drawn for the described request: choices spread
	// requests by their IDs.
	RequestID     string        `json:"request_id"`
	Configuration Configuration `json:"configuration"`
	Route         *Route        `json:"route,omitempty"`
	Service       string        `json:"service,omitempty"`
	Member        *Member       `json:"member,omitempty"`
	Rank          int           `json:"rank"`
	Views         Views         `json:"views"`
	Steps         []Step        `json:"steps"`
	// ServersLeftOut is the number of servers above MaxServers.
	ServersLeftOut int `json:"servers_left_out"`
	// Prefill and Decode are the chosen servers; only Decode is set if one server
	// runs the whole request.
	Prefill  *Chosen   `json:"prefill,omitempty"`
	Decode   *Chosen   `json:"decode,omitempty"`
	Limit    *Limit    `json:"limit,omitempty"`
	Share    *Share    `json:"share,omitempty"`
	Inputs   *Inputs   `json:"inputs,omitempty"`
	Decision Decision  `json:"decision"`
	At       time.Time `json:"at"`
}

// Configuration is the configuration in force and how far it is confirmed.
type Configuration struct {
	Version int64 `json:"version"`
	// Verdict is current, late or outdated.
	Verdict string `json:"verdict"`
	// ConfirmedAgeMS is how long ago the configuration was certainly complete; -1
	// if it never was.
	ConfirmedAgeMS float64 `json:"confirmed_age_ms"`
}

// Route is the route of the request.
type Route struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Public          bool    `json:"public"`
	LatencyTargetMS float64 `json:"latency_target_ms"`
	TimeoutMS       float64 `json:"timeout_ms"`
}

// Member is the member that was named.
type Member struct {
	// Name is "" for an unknown name, which may be a key given by mistake.
	Name  string `json:"name"`
	Known bool   `json:"known"`
}

// Views is the age of the reports of other instances.
type Views struct {
	Instances int     `json:"instances"`
	MeanAgeMS float64 `json:"mean_age_ms"`
	OldestMS  float64 `json:"oldest_ms"`
}

// Step is the choice of one server.
type Step struct {
	Name string `json:"name"`
	// Considered is the number of servers of the service.
	Considered int `json:"considered"`
	// Servers has the chosen one first, then those with a score by score, then the
	// others.
	Servers []Server `json:"servers"`
}

// Server is a server that a step has considered.
type Server struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Stage      string `json:"stage"`
	// State is available, leaving, paused, held, ejected or limited.
	State    string  `json:"state"`
	PausedMS float64 `json:"paused_ms,omitempty"`
	// Scored reports whether the figures below are set.
	Scored         bool    `json:"scored"`
	ScoreMS        float64 `json:"score_ms"`
	WaitMS         float64 `json:"wait_ms"`
	QueueMS        float64 `json:"queue_ms"`
	UncachedTokens float64 `json:"uncached_tokens"`
	TokensAhead    float64 `json:"tokens_ahead"`
	Backlog        float64 `json:"backlog"`
	Pressure       float64 `json:"pressure"`
	CopyFrom       string  `json:"copy_from,omitempty"`
	// Passed says why the server was passed over; "" for the chosen one.
	Passed string `json:"passed"`
}

// Chosen is a chosen server.
type Chosen struct {
	Server     string  `json:"server"`
	DataCentre string  `json:"data_centre"`
	Reason     string  `json:"reason"`
	WaitMS     float64 `json:"wait_ms"`
	Candidates int     `json:"candidates"`
	ViewAgeMS  float64 `json:"view_age_ms"`
	// Unseen is the number of requests that other instances are expected to have
	// sent to the candidates since their reports.
	Unseen float64 `json:"unseen"`
}

// Limit is the decision about the limits that servers name.
type Limit struct {
	Allowed float64 `json:"allowed_per_s"`
	Asked   float64 `json:"asked_per_s"`
	Chance  float64 `json:"chance"`
	Share   float64 `json:"share"`
	AgeMS   float64 `json:"age_ms"`
}

// Share is the member's share while shares are enforced, in cost per second.
type Share struct {
	Rate        float64 `json:"rate_per_s"`
	Threshold   float64 `json:"threshold_per_s"`
	Probability float64 `json:"probability"`
}

// Inputs are the estimates on which admission rests.
type Inputs struct {
	QueueMS         float64 `json:"queue_ms"`
	LateQueueMS     float64 `json:"late_queue_ms"`
	ProcessingMS    float64 `json:"processing_ms"`
	Backlog         float64 `json:"backlog"`
	LatencyTargetMS float64 `json:"latency_target_ms"`
	RemainingMS     float64 `json:"remaining_ms"`
}

// Results of a Decision.
const (
	Admitted = "admitted"
	Late     = "late"
	Refused  = "refused"
	// Relayed means that another instance would be asked to serve the request.
	Relayed = "relayed"
)

// Decision is what would become of the request.
type Decision struct {
	Result string `json:"result"`
	// Priority is the priority at servers of an admitted request; -1 sends none.
	Priority     int     `json:"priority"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Note says what the answer leaves open; "" for nothing.
	Note string `json:"note,omitempty"`
}

// Milliseconds converts a time.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
