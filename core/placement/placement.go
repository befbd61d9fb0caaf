package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Reason says why a server was chosen; its values are logged.
type Reason string

// Reasons for a choice.
const (
	// ReasonOnly means that there was only one candidate.
	ReasonOnly Reason = "only"
	// ReasonHome means the engine that rendezvous hashing assigns the prompt's
	// shared part to.
	ReasonHome Reason = "home"
	// ReasonCached means another engine that has the shared part cached.
	ReasonCached Reason = "kept"
	// ReasonCopy means an engine with a shorter wait that copies the shared
	// part from another engine.
	ReasonCopy Reason = "copy"
	// ReasonLeastWait means the server with the shortest estimated wait.
	ReasonLeastWait Reason = "least_wait"
	// ReasonSpread means a server with a longer known wait, because the other
	// instances are expected to have sent requests to those with a shorter one
	// since their reports.
	ReasonSpread Reason = "spread"
)

// Choice is a chosen server and the estimates behind the choice.
type Choice struct {
	Server Server
	Reason Reason
	// Wait is the estimated time until prefill ends, or until a plain request
	// starts.
	Wait time.Duration
	// Queue is the part of Wait spent behind other requests, and LateQueue what
	// it would be behind all requests, the less urgent ones included.
	Queue, LateQueue time.Duration
	// DecodeWait is the estimated time from the end of prefill to the answer's
	// first event when another engine decodes, and DecodeQueue the part of it
	// spent behind other requests; DecodeLateQueue is what that would be behind
	// all requests.
	DecodeWait, DecodeQueue, DecodeLateQueue time.Duration
	// Backlog is the expected fill of the engine's queue, 1 for a full one, and
	// DecodeBacklog that of the engine that decodes if it is another one.
	Backlog, DecodeBacklog float64
	// Pressure is the factor for the load of the server's machine in the estimates.
	Pressure float64
	// Transfer is the part of Wait, or of DecodeWait, in which KV cache is
	// transferred.
	Transfer time.Duration
	// UncachedTokens is the number of prompt tokens that the server has to
	// prefill.
	UncachedTokens float64
	// CopyFrom is another engine that has a longer prefix of the prompt cached,
	// from which the server copies it first; its ID is "" when nothing is
	// copied.
	CopyFrom Server
	// CopiedTokens is the number of prompt tokens copied from CopyFrom.
	CopiedTokens float64
	// TokensAhead is the number of prompt tokens queued at the server ahead of
	// this prompt.
	TokensAhead float64
	// Candidates is the number of servers that were scored, and Limited the
	// number of those passed over because of their limit when none was chosen.
	Candidates, Limited int
	// Unavailable says why no server was chosen.
	Unavailable Unavailable
	// ViewAge is the mean age of what the other instances had reported, and
	// Unseen the number of requests that they are expected to have sent to the
	// candidates since.
	ViewAge time.Duration
	Unseen  float64
}

// Unavailable counts the servers that a choice passed over for what they said of
// themselves.
type Unavailable struct {
	// Leaving is the number of servers that leave, and Paused the number of those
	// that want no requests for a time; the first of them takes requests again
	// after PausedFor. Others is the number of all other servers.
	Leaving, Paused, Others int
	PausedFor               time.Duration
	// OtherVersions is the number of servers, prefill engines among them, that have
	// another software version than the request needs.
	OtherVersions int
}

// Config identifies the instance that chooses.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// PartMemory bounds the memory for the prompt parts that engines are assumed
	// to have cached, in bytes; 0 means no bound besides that of each engine.
	PartMemory int64
}

// Fleet is an instance's view of all servers. Not safe for concurrent use.
type Fleet struct {
	config  Config
	servers map[fleet.UpstreamID]*server
	groups  map[fleet.GroupName][]*server
	table   *routes.Table
	ejector *retry.Ejector
	// held maps engines that get no new requests, because an order is about to
	// take them out of service, to the end of the hold.
	held map[fleet.UpstreamID]fleet.Instant
	// answers is the average length of a service's answers.
	answers map[fleet.GroupName]*answerLength
	// overheads is the learned overhead of a prefill call by service.
	overheads map[fleet.GroupName]time.Duration
	// peers holds the age and the demand of each other instance's last report.
	peers map[fleet.InstanceID]peerView
	// meters measure this instance's own demand by service.
	meters map[fleet.GroupName]*demandMeter
	// demandSince is when a demand for a service was first known here.
	demandSince map[fleet.GroupName]fleet.Instant
	// foreignAt is when the prompts of other instances were last counted.
	foreignAt fleet.Instant
	// options is scratch space for the choice of a server.
	options []option
	// restriction reports whether a server may make the events of the present request;
	// nil for all.
	restriction func(Server) bool
	// permit reports whether a server may be considered as far as its rate limit
	// is concerned; nil permits all.
	permit func(Server, fleet.Instant) bool
	// limited is the number of servers that the last choice passed over because
	// of their limit, and unavailable what it knows of the others.
	limited     int
	unavailable Unavailable
	// trace records the choices; nil except in a copy.
	trace *Trace
}

// Restrict makes all choices leave out the servers for which may returns false, because
// of their software version, until it is called with nil. Prefill engines are not left
// out: they make no events, and an engine of any version fetches what they prefill.
func (f *Fleet) Restrict(may func(Server) bool) { f.restriction = may }

// versionFits reports whether the software version of a server fits the present request.
func (f *Fleet) versionFits(s *server) bool { return f.restriction == nil || f.restriction(s.Server) }

// SetPermit sets the function that reports whether a server may be considered as
// far as its rate limit is concerned.
func (f *Fleet) SetPermit(permit func(Server, fleet.Instant) bool) { f.permit = permit }

// Limited returns the number of servers that the last choice passed over because
// of their limit.
func (f *Fleet) Limited() int { return f.limited }

// Unavailable returns why servers were passed over by the last choice.
func (f *Fleet) Unavailable() Unavailable { return f.unavailable }

// New returns a Fleet without servers.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, servers: map[fleet.UpstreamID]*server{}, groups: map[fleet.GroupName][]*server{},
		held: map[fleet.UpstreamID]fleet.Instant{}, answers: map[fleet.GroupName]*answerLength{}, overheads: map[fleet.GroupName]time.Duration{},
		peers: map[fleet.InstanceID]peerView{}, meters: map[fleet.GroupName]*demandMeter{}, demandSince: map[fleet.GroupName]fleet.Instant{}, ejector: retry.NewEjector(EjectorConfig),
	}
}

// Configure applies the declared services of a table.
func (f *Fleet) Configure(t *routes.Table) {
	f.table = t
	for _, s := range f.servers {
		f.applyDeclaration(s)
	}
}

func (f *Fleet) applyDeclaration(s *server) {
	if f.table == nil {
		return
	}
	if service := f.table.Service(s.Group); service != nil && service.Engine != nil {
		s.cache.capacity = float64(service.Engine.KVTokens)
	}
}

// SetServers replaces the list of servers. The state of servers whose process
// is unchanged is kept, except that a change of stage clears the queued tokens.
func (f *Fleet) SetServers(list []Server) {
	servers := make(map[fleet.UpstreamID]*server, len(list))
	groups := map[fleet.GroupName][]*server{}
	groupOf := make(map[fleet.UpstreamID]fleet.GroupName, len(list))
	for _, s := range list {
		known := f.servers[s.ID]
		if known == nil || known.StartTime != s.StartTime || known.Address != s.Address {
			known = newServer(s)
			f.applyDeclaration(known)
		}
		if known.Stage != s.Stage {
			known.own.Reads = [NumRanks]float64{}
		}
		known.Server = s
		servers[s.ID] = known
		groups[s.Group] = append(groups[s.Group], known)
		groupOf[s.ID] = s.Group
	}
	limit := partLimit(f.config.PartMemory, len(servers))
	for _, s := range servers {
		s.cache.limit = limit
	}
	f.servers, f.groups = servers, groups
	f.ejector.Configure(groupOf)
}

// Server returns a listed server, or false when the id is not listed.
func (f *Fleet) Server(id fleet.UpstreamID) (Server, bool) {
	if s := f.servers[id]; s != nil {
		return s.Server, true
	}
	return Server{}, false
}

// Available reports whether a listed server is not ejected for failures.
func (f *Fleet) Available(id fleet.UpstreamID) bool {
	s := f.servers[id]
	return s != nil && s.available
}

// Held returns the held engines and the time until each hold ends.
func (f *Fleet) Held(now fleet.Instant) map[fleet.UpstreamID]time.Duration {
	out := map[fleet.UpstreamID]time.Duration{}
	for id, until := range f.held {
		if f.isHeld(id, now) {
			out[id] = until - now
		}
	}
	return out
}

// Hold keeps new requests from an engine until the given time.
func (f *Fleet) Hold(id fleet.UpstreamID, until fleet.Instant) { f.held[id] = max(f.held[id], until) }

// isHeld reports whether an engine is held, and forgets a hold that has ended.
func (f *Fleet) isHeld(id fleet.UpstreamID, now fleet.Instant) bool {
	if len(f.held) == 0 {
		return false
	}
	until, ok := f.held[id]
	if ok && now >= until {
		delete(f.held, id)
		return false
	}
	return ok
}

// AddCachedPart records a prompt part that another instance has sent to an
// engine; it is assumed to be prefilled peerPrefillTime from now.
func (f *Fleet) AddCachedPart(id fleet.UpstreamID, part string, tokens int, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		if !s.cache.holds(part) {
			s.cache.added += float64(tokens)
		}
		s.cache.addPart(part, tokens, now+peerPrefillTime)
	}
}

// crossCentrePenalty is added to the score of an engine in another data centre.
const crossCentrePenalty = 4 * time.Millisecond

// jitter returns a value in [0, 1) that depends on the request and the server,
// so that instances with the same view don't all choose the same server.
func jitter(id fleet.RequestID, s *server) float64 {
	return float64(membership.Hash(string(id), string(s.ID))%1024) / 1024
}

func anyStage(*server) bool { return true }

// reasonFor returns ReasonOnly for a single candidate, r otherwise.
func reasonFor(candidates int, r Reason) Reason {
	if candidates == 1 {
		return ReasonOnly
	}
	return r
}

// Begin adds a request in flight at a server; tokens is the length of the
// prompt that it has to prefill.
func (f *Fleet) Begin(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.addRun(rank, 1)
		s.own.addTokens(rank, tokens)
	}
	f.ejector.AttemptStarted(id)
}

// End removes a request added by Begin; tokens is the part of the prompt not
// yet removed by PrefillDone.
func (f *Fleet) End(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.addRun(rank, -1)
		s.own.addTokens(rank, -tokens)
	}
	f.ejector.AttemptEnded(id)
}

// PrefillDone removes a prompt from the server's queued tokens while the
// request stays in flight. It is called when the first event has arrived.
func (f *Fleet) PrefillDone(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.addTokens(rank, -tokens)
	}
}

// RecordSuccess counts a successful attempt for the server's failure rate and
// the ejector.
func (f *Fleet) RecordSuccess(id fleet.UpstreamID, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.recordOutcome(0, now)
	}
	f.ejector.RecordSuccess(id)
}

// RecordFailure counts a failed attempt for the server's failure rate and the
// ejector.
func (f *Fleet) RecordFailure(id fleet.UpstreamID, now fleet.Instant) {
	f.RecordOverdue(id, now)
	f.ejector.RecordFailure(id, now)
}

// RecordOverdue counts an attempt that has had no answer for much longer than
// expected as failed, for the server's failure rate only. Otherwise a server
// that doesn't answer would get many more requests until the first of them
// reaches its deadline.
func (f *Fleet) RecordOverdue(id fleet.UpstreamID, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.recordOutcome(1, now)
	}
}

// AddCachedPrompt records that an engine will have a prompt cached from ready
// on, because it was sent the prompt or fetches the KV cache of another engine.
// Later requests can count on it, since the engine processes them afterwards.
func (f *Fleet) AddCachedPrompt(id fleet.UpstreamID, r *call.Request, ready fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.cache.addPrompt(r, ready)
	}
}

// RemoveCachedPrompt removes a prompt that an engine did not prefill after all.
func (f *Fleet) RemoveCachedPrompt(id fleet.UpstreamID, r *call.Request) {
	if s := f.servers[id]; s != nil {
		s.cache.removePrompt(r)
	}
}
