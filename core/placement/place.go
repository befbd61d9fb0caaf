package placement

import (
	"time"

	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/membership"
	"github.com/bramleywick/bramleywick/core/retry"
	"github.com/bramleywick/bramleywick/core/routes"
)

// Reason is why a server was chosen.
type Reason string

// Reasons of a choice.
const (
	// ReasonOnly is the only server that could be chosen.
	ReasonOnly Reason = "only"
	// ReasonHome is the engine that the prompt's shared part is assigned to.
	ReasonHome Reason = "home"
	// ReasonCached is another engine that keeps the shared part.
	ReasonCached Reason = "kept"
	// ReasonCopy is an engine with a shorter wait that copies the shared part.
	ReasonCopy Reason = "copy"
	// ReasonLeastWait is the server with the shortest estimated wait.
	ReasonLeastWait Reason = "least_wait"
)

// Choice is a chosen server.
type Choice struct {
	Server Server
	Reason Reason
	// Wait is the estimated time until the prompt is read, or until a plain
	// request starts.
	Wait time.Duration
	// Queue is the part of Wait that other requests take.
	Queue time.Duration
	// DecodeWait is the estimated time from the read prompt to the answer's first
	// event, where the answer is made at another engine, and QueueForAnswer the
	// part of it that other requests take.
	DecodeWait, DecodeQueue time.Duration
	// Transfer is the part of Wait, or of ForAnswer, in which KV cache is moved.
	Transfer time.Duration
	// UncachedTokens is the number of prompt tokens that the server has to read.
	UncachedTokens float64
	// CopyFrom is another engine that keeps more of the prompt's beginning, from
	// which the server copies it first; its ID is "" when nothing is copied.
	CopyFrom Server
	// CopiedTokens is the number of prompt tokens that are copied.
	CopiedTokens float64
	// TokensAhead is the number of prompt tokens that it has to read before.
	TokensAhead float64
	// Candidates is the number of servers that were scored.
	Candidates int
}

// Config is what the choices need to know of the instance.
type Config struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
}

// Fleet is an instance's view of all servers. Not safe for concurrent use.
type Fleet struct {
	config  Config
	servers map[fleet.UpstreamID]*server
	groups  map[fleet.GroupName][]*server
	table   *routes.Table
	ejector *retry.Ejector
	// instances is the number of instances in the deployment, this one too.
	instances int
	// held are engines that get no new requests because an order is about to
	// take them out of service, and until when.
	held map[fleet.UpstreamID]fleet.Instant
	// events is the mean number of events of the answers of a service.
	events map[fleet.GroupName]float64
}

// New returns a view without servers.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, servers: map[fleet.UpstreamID]*server{}, groups: map[fleet.GroupName][]*server{},
		held: map[fleet.UpstreamID]fleet.Instant{}, events: map[fleet.GroupName]float64{}, ejector: retry.NewEjector(EjectConfig), instances: 1,
	}
}

// SetInstances tells how many instances send requests.
func (f *Fleet) SetInstances(n int) { f.instances = max(n, 1) }

// Configure puts the declared services in force.
func (f *Fleet) Configure(t *routes.Table) {
	f.table = t
	for _, s := range f.servers {
		f.declare(s)
	}
}

func (f *Fleet) declare(s *server) {
	if f.table == nil {
		return
	}
	if service := f.table.Service(s.Group); service != nil && service.Engine != nil {
		s.cache.capacity = float64(service.Engine.KVTokens)
	}
}

// SetServers replaces the list of servers. What is known of those that stay,
// in the same process, is kept.
func (f *Fleet) SetServers(list []Server) {
	servers := make(map[fleet.UpstreamID]*server, len(list))
	groups := map[fleet.GroupName][]*server{}
	of := make(map[fleet.UpstreamID]fleet.GroupName, len(list))
	for _, s := range list {
		known := f.servers[s.ID]
		if known == nil || known.StartTime != s.StartTime || known.Address != s.Address {
			known = newServer(s)
			f.declare(known)
		}
		if known.Stage != s.Stage {
			known.own.Reads = [NumRanks]float64{}
		}
		known.Server = s
		servers[s.ID] = known
		groups[s.Group] = append(groups[s.Group], known)
		of[s.ID] = s.Group
	}
	f.servers, f.groups = servers, groups
	f.ejector.Configure(of)
}

// Server returns a listed server.
func (f *Fleet) Server(id fleet.UpstreamID) (Server, bool) {
	if s := f.servers[id]; s != nil {
		return s.Server, true
	}
	return Server{}, false
}

// SetPeerWork replaces what another instance has under way.
func (f *Fleet) SetPeerWork(peer fleet.InstanceID, work map[fleet.UpstreamID]Work, now fleet.Instant) {
	for id, s := range f.servers {
		w, ok := work[id]
		if !ok {
			delete(s.others, peer)
			s.stale = true
			continue
		}
		s.others[peer] = peerWork{Work: w, heard: now}
		s.mix()
	}
}

// Work returns what this instance has under way, and what other instances have
// that include names.
func (f *Fleet) Work(include func(fleet.InstanceID) bool, now fleet.Instant) map[fleet.UpstreamID]Work {
	out := map[fleet.UpstreamID]Work{}
	for id, s := range f.servers {
		total := s.own
		var speeds, paces mean
		speeds.add(total.Speed)
		paces.add(total.Pace)
		for peer, w := range s.others {
			if now-w.heard > peerWorkTTL || !include(peer) {
				continue
			}
			total.plus(w.Work)
			speeds.add(w.Speed)
			paces.add(w.Pace)
		}
		total.Speed, total.Pace = speeds.or(0), paces.or(0)
		if total != (Work{}) {
			out[id] = total
		}
	}
	return out
}

// Held returns the engines that are held, and for how long from now.
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

// AddCachedPart records a part that another instance is having read.
func (f *Fleet) AddCachedPart(id fleet.UpstreamID, part string, tokens int, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		if !s.cache.holds(part) {
			s.cache.added += float64(tokens)
		}
		s.cache.note(part, tokens, now+peerReadTime)
	}
}

// crossPenalty is the cost of a request that leaves the data centre, as a wait.
const crossPenalty = 4 * time.Millisecond

// usable returns the servers of a group that may get a new request, those in
// skip excepted. Ejected servers are used when no other is left.
func (f *Fleet) usable(group fleet.GroupName, now fleet.Instant, skip []fleet.UpstreamID, fits func(*server) bool) []*server {
	for _, c := range f.ejector.TakeChanges(now) {
		if s := f.servers[c.Upstream]; s != nil {
			s.available = c.Available
		}
	}
	var good, last []*server
	for _, s := range f.groups[group] {
		switch {
		case s.Leaving || contains(skip, s.ID) || !fits(s) || f.isHeld(s.ID, now):
		case s.available:
			good = append(good, s)
		default:
			last = append(last, s)
		}
	}
	if len(good) == 0 {
		return last
	}
	return good
}

func contains(list []fleet.UpstreamID, id fleet.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// jitter is between 0 and 1 and differs by request and server, so that
// instances with the same view do not choose the same server.
func jitter(id fleet.RequestID, s *server) float64 {
	return float64(membership.Hash(string(id), string(s.ID))%1024) / 1024
}

func anyStage(*server) bool { return true }

// ChoosePlain chooses a server of a plain service: the one with the fewest requests
// for its slots.
func (f *Fleet) ChoosePlain(group fleet.GroupName, id fleet.RequestID, now fleet.Instant, skip []fleet.UpstreamID) (Choice, bool) {
	list := f.usable(group, now, skip, anyStage)
	var best *server
	var bestScore float64
	for _, s := range list {
		runs := s.work(now).Runs
		score := (float64(runs) + 0.9*jitter(id, s)) / float64(max(s.Slots, 1))
		if s.DataCentre != f.config.DataCentre {
			score += 0.6 / float64(max(s.Slots, 1))
		}
		score *= 1 + float64(s.latency)/float64(100*time.Millisecond)
		score += failLoad * s.fails(now)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Server: best.Server, Reason: reasonOf(len(list), ReasonLeastWait), Candidates: len(list)}, true
}

func reasonOf(candidates int, r Reason) Reason {
	if candidates == 1 {
		return ReasonOnly
	}
	return r
}

// Begin counts a request under way at a server; tokens is the prompt that it
// has to read.
func (f *Fleet) Begin(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.Runs++
		s.own.add(rank, tokens)
	}
	f.ejector.AttemptStarted(id)
}

// End ends what Begin counted.
func (f *Fleet) End(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.Runs = max(s.own.Runs-1, 0)
		s.own.add(rank, -tokens)
	}
	f.ejector.AttemptEnded(id)
}

// PrefillDone takes the prompt of a request that is still under way off the
// server's account: its first event has arrived.
func (f *Fleet) PrefillDone(id fleet.UpstreamID, rank int, tokens float64) {
	if s := f.servers[id]; s != nil {
		s.own.add(rank, -tokens)
	}
}

// RecordSuccess counts an answer as a sign of health.
func (f *Fleet) RecordSuccess(id fleet.UpstreamID, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.outcome(0, now)
	}
	f.ejector.RecordSuccess(id)
}

// RecordFailure counts a failure of a server.
func (f *Fleet) RecordFailure(id fleet.UpstreamID, now fleet.Instant) {
	f.Overdue(id, now)
	f.ejector.RecordFailure(id, now)
}

// Overdue counts an attempt that has had no answer for much longer than was
// expected, before it has failed: a server that leaves requests unanswered would
// get many more until the first of them ends at its deadline.
func (f *Fleet) Overdue(id fleet.UpstreamID, now fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.outcome(1, now)
	}
}

// LearnLatency learns the latency of a plain service.
func (f *Fleet) LearnLatency(id fleet.UpstreamID, took time.Duration) {
	if s := f.servers[id]; s != nil {
		s.latency += (took - s.latency) / 8
	}
}

// LearnPrefill learns an engine's speed from a prompt that was read.
func (f *Fleet) LearnPrefill(c Choice, took time.Duration) {
	s := f.servers[c.Server.ID]
	if s == nil || s.StartTime != c.Server.StartTime {
		return
	}
	tokens := c.TokensAhead + c.UncachedTokens
	if tokens < minLearnTokens {
		return
	}
	if !isPrefill(s) {
		tokens *= decodeReadFactor
	}
	s.learn(tokens, took)
}

// LearnDecode learns from an answer of an engine: the number of its events and the time
// from the first to the last.
func (f *Fleet) LearnDecode(id fleet.UpstreamID, events int, span time.Duration) {
	s := f.servers[id]
	if s == nil || events == 0 {
		return
	}
	usual := f.usualEvents(s.Group)
	f.events[s.Group] = usual + eventsWeight*(float64(events)-usual)
	if events > 1 {
		s.learnPace(span / time.Duration(events-1))
	}
}

func (f *Fleet) usualEvents(group fleet.GroupName) float64 {
	if n := f.events[group]; n > 0 {
		return n
	}
	return initialEvents
}

const (
	// initialEvents is the number of events assumed of an answer before the
	// first, and eventsWeight the part of one answer in the mean.
	initialEvents = 6.0
	eventsWeight  = 0.02
)

// AddCachedPrompt notes that an engine is about to keep a prompt and has read it at ready:
// it was sent the prompt or got the KV cache of another engine. Requests that
// follow are read after it.
func (f *Fleet) AddCachedPrompt(id fleet.UpstreamID, r *call.Request, ready fleet.Instant) {
	if s := f.servers[id]; s != nil {
		s.cache.use(r, f.instances-1, ready)
	}
}

// RemoveCachedPrompt notes that an engine did not read a prompt after all.
func (f *Fleet) RemoveCachedPrompt(id fleet.UpstreamID, r *call.Request) {
	if s := f.servers[id]; s != nil {
		s.cache.drop(r)
	}
}

// minLearnTokens is the shortest read whose duration tells a speed.
const minLearnTokens = 400
