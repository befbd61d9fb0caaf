package gateway

import (
	"sync"
	"time"

	"github.com/bramleywick/bramleywick/core/budget"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/loadshare"
)

// State holds the machines of core that requests share, behind one lock.
type State struct {
	mu     sync.Mutex
	fleet  *placement.Fleet
	budget *budget.Budget
	start  time.Time
	// told is told of prompt parts that were read; it may be nil.
	told func(loadshare.Note)
	// instances is the number of instances that the directory lists.
	instances int
	// turns decides who is served.
	turns *overload.Controller
}

// decide decides on a request by the estimate and what was refused lately.
func (s *State) decide(group fleet.GroupName, rank int, e overload.Estimate) overload.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Decide(group, rank, e)
}

// NewState returns a state without servers.
func NewState(p placement.Config, b budget.Config) *State {
	return &State{fleet: placement.New(p), budget: budget.New(b, minInstances), start: time.Now(), instances: minInstances, turns: overload.New()}
}

// minInstances is assumed until the directory lists more: shares of budgets and
// connections must not grow while it is not known who else is there.
const minInstances = 4

// OnNote sets the function that is told of prompt parts that were read.
func (s *State) OnNote(told func(loadshare.Note)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = told
}

func (s *State) now() fleet.Instant { return time.Since(s.start) }

// ConfigurationChanged implements directory.Observer.
func (s *State) ConfigurationChanged(t *routes.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Configure(t)
}

// ServersChanged implements directory.Observer.
func (s *State) ServersChanged(list []placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.SetServers(list)
}

// InstancesChanged implements directory.Observer.
func (s *State) InstancesChanged(list []directory.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(s.instances, len(list))
	s.fleet.SetInstances(len(list))
	s.budget.SetInstances(len(list))
}

// Work implements loadshare.View.
func (s *State) Work(include func(fleet.InstanceID) bool) map[fleet.UpstreamID]placement.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Work(include, s.now())
}

// ApplyReport implements loadshare.View.
func (s *State) ApplyReport(r loadshare.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.SetPeerWork(r.From, r.Work, s.now())
	for id, left := range r.Held {
		s.fleet.Hold(id, s.now()+left)
	}
	for _, n := range r.Notes {
		s.fleet.AddCachedPart(n.Server, n.Part, n.Tokens, s.now())
	}
}

// Hold keeps new requests of all instances from an engine for a while.
func (s *State) Hold(id fleet.UpstreamID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Hold(id, s.now()+d)
}

// Held implements loadshare.View.
func (s *State) Held() map[fleet.UpstreamID]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Held(s.now())
}

// Engines returns the engines of a service.
func (s *State) Engines(service *routes.Service) []placement.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Engines(service)
}

func (s *State) arrived(group fleet.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.CountRequest(group, s.now())
}

func (s *State) takeRepeat(group fleet.GroupName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(group, s.now())
}

func (s *State) returnRepeat(group fleet.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Refund(group, s.now())
}

func (s *State) plain(group fleet.GroupName, id fleet.RequestID, skip []fleet.UpstreamID) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ChoosePlain(group, id, s.now(), skip)
}

func (s *State) apart(group fleet.GroupName, r *call.Request, skip []fleet.UpstreamID) (apart, direct placement.Choice, split bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ChooseEngines(group, r, s.now(), skip)
}

// direct chooses an engine that reads the prompt of its own answer.
func (s *State) direct(group fleet.GroupName, r *call.Request, skip []fleet.UpstreamID) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ChooseDirect(group, r, s.now(), skip)
}

func (s *State) decode(group fleet.GroupName, r *call.Request, from placement.Server, skip []fleet.UpstreamID) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ChooseDecode(group, r, from, s.now(), skip)
}

// begin counts a request at a server and returns the function that ends it. The
// first call of read takes the prompt off the server's account.
func (s *State) begin(id fleet.UpstreamID, rank int, tokens float64) (read, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Begin(id, rank, tokens)
	left := tokens
	read = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.PrefillDone(id, rank, left)
		left = 0
	}
	end = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.End(id, rank, left)
	}
	return read, end
}

func (s *State) good(id fleet.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordSuccess(id, s.now())
}

func (s *State) failed(id fleet.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordFailure(id, s.now())
}

const (
	// overdueTimes and overdueLeast tell when an attempt has taken much longer than
	// was expected: estimates at a peak are off by up to a half, and pauses of an
	// engine that reads long prompts last up to 0.3 s.
	overdueTimes = 2
	overdueLeast = 400 * time.Millisecond
)

// expect counts the attempt as overdue when its timer is not stopped in time.
func (s *State) expect(c placement.Choice) *time.Timer {
	return time.AfterFunc(overdueTimes*c.Wait+overdueLeast, func() { s.overdue(c.Server.ID) })
}

// overdue counts an attempt that has had no answer for much longer than expected.
func (s *State) overdue(id fleet.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Overdue(id, s.now())
}

func (s *State) answered(id fleet.UpstreamID, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RecordSuccess(id, s.now())
	s.fleet.LearnLatency(id, took)
}

// tellTokens is the least length of a part that other instances are told of.
const tellTokens = 24

const (
	// readyTimes halves of the expected wait and readySlack are the time after which
	// a part that an engine was sent can be copied: estimates at a peak are off by
	// up to a half, and its first request holds it until the answer has begun.
	readyTimes = 3
	readySlack = 200 * time.Millisecond
)

// keeps notes that an engine is about to keep a prompt that it reads, and tells
// the other instances, so that a burst of requests for one part goes to one engine.
func (s *State) keeps(c placement.Choice, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := c.Server.ID
	s.fleet.AddCachedPrompt(id, r, s.now()+readyTimes*c.Wait/2+readySlack)
	if s.told == nil {
		return
	}
	for i, p := range r.Parts {
		if p.Tokens >= tellTokens && i < len(r.Parts)-1 {
			s.told(loadshare.Note{Server: id, Part: p.ID, Tokens: p.Tokens})
		}
	}
}

func (s *State) lost(id fleet.UpstreamID, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RemoveCachedPrompt(id, r)
}

func (s *State) read(c placement.Choice, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.LearnPrefill(c, took)
}

// made learns the pace of an engine's answers.
func (s *State) made(id fleet.UpstreamID, events int, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.LearnDecode(id, events, span)
}

// fetched notes that an engine has got a prompt's KV cache from another.
func (s *State) fetched(id fleet.UpstreamID, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.AddCachedPrompt(id, r, s.now())
}

const (
	// useOfConnections is the part of the connections that a server accepts
	// which all instances together use.
	useOfConnections = 0.9
	// spareInstances is how many more instances than are listed may hold
	// connections: some may just have come or not be listed.
	spareInstances = 1
)

// connections is how many connections this instance may hold to a server.
func (s *State) connections(service *routes.Service) int {
	if service == nil || service.MaxConnections <= 0 {
		return defaultConnections
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(int(float64(service.MaxConnections)*useOfConnections)/(s.instances+spareInstances), 1)
}

// defaultConnections bounds the connections to a server of a service that
// declares no bound.
const defaultConnections = 16
