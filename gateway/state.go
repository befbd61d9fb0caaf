package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/budget"
	"github.com/bramleywick/bramleywick/core/call"
	"github.com/bramleywick/bramleywick/core/fairshare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/overload"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/core/ratelimit"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/loadshare"
)

// State holds the state of core that all requests share, guarded by one mutex.
type State struct {
	mu     sync.Mutex
	fleet  *placement.Fleet
	budget *budget.Budget
	start  time.Time
	// at is the time of a copy, at which its clock stands; 0 for the clock.
	at fleet.Instant
	// onNote is called with a note for each prompt part that addCachedPrompt
	// reports to other instances; it may be nil.
	onNote func(loadshare.Note)
	// instances is the highest number of instances that the directory has
	// listed.
	instances int
	// overload decides which requests are admitted.
	overload *overload.Controller
	// shares decides which requests of members above their share are refused, by
	// numbers that draw returns.
	shares *fairshare.Controller
	draw   func() float64
	// quarantine decides which prompt parts and which requests are refused. claimTrial
	// asks whether this instance may try one; nil if instances take turns. onVerdict
	// is called with each change of belief; it may be nil.
	quarantine *quarantine.Detector
	claimTrial ClaimTrial
	onVerdict  func(quarantine.Change)
	// software knows the software versions of streams.
	software streamVersions
	// limiter keeps the limits that servers name.
	limiter *ratelimit.Limiter
	// links tells whether failures say something about servers. It must be asked
	// without the mutex.
	links Links
	// large reports whether the request of the present choice is large for its
	// service. If anyDecode is set, limits of servers outside the prefill stage
	// don't count.
	large, anyDecode bool
	// odd holds the processes whose odd announcements were logged.
	odd map[fleet.Process]bool
	log *zap.Logger
}

// NewState returns a State without servers.
func NewState(p placement.Config, b budget.Config) *State {
	start := time.Now()
	s := &State{
		fleet: placement.New(p), budget: budget.New(b, minInstances), start: start, instances: minInstances, overload: overload.New(),
		shares: fairshare.New(), draw: rand.Float64,
		quarantine: quarantine.New(quarantine.Config{Instance: p.Instance, Epoch: uint64(start.UnixNano())}),
		limiter:    ratelimit.New(ratelimit.Config{Instance: p.Instance, Epoch: uint64(start.UnixNano())}), log: zap.NewNop(),
		odd: map[fleet.Process]bool{}, software: newStreamVersions(), links: soundLinks{},
	}
	s.fleet.SetPermit(s.permit)
	return s
}

// permit reports whether a server may be chosen as far as its limit is concerned.
func (s *State) permit(server placement.Server, now fleet.Instant) bool {
	if s.anyDecode && server.Stage != fleet.RolePrefill {
		return true
	}
	return s.limiter.Open(server.Process(), server.Group, s.large, now)
}

// SetLog sets the logger of changes of belief.
func (s *State) SetLog(log *zap.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
}

// minInstances is assumed until the directory lists more: this instance's share
// of the retry budget and of connections must not be too large while the other
// instances are unknown.
const minInstances = 4

// OnNote sets the function that is called with a note for each prompt part of
// which other instances must be notified.
func (s *State) OnNote(onNote func(loadshare.Note)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNote = onNote
}

// now returns the time since the State was created.
func (s *State) now() fleet.Instant {
	if s.at > 0 {
		return s.at
	}
	return time.Since(s.start)
}

// ConfigurationChanged implements directory.Observer.
func (s *State) ConfigurationChanged(t *routes.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Configure(t)
	s.keepSoftware(t)
	s.keepShares(t)
}

// ServersChanged implements directory.Observer.
func (s *State) ServersChanged(list []placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.SetServers(list)
	s.listSoftware(list)
}

// InstancesChanged implements directory.Observer.
func (s *State) InstancesChanged(list []directory.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = max(s.instances, len(list))
	s.budget.SetInstances(len(list))
	ids := make([]fleet.InstanceID, 0, len(list))
	for _, i := range list {
		ids = append(ids, i.ID)
	}
	s.quarantine.SetInstances(ids)
	s.limiter.SetInstances(ids)
}

// Snapshot implements loadshare.View.
func (s *State) Snapshot(include func(fleet.InstanceID) bool) placement.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Snapshot(include, s.now())
}

// ApplyReport implements loadshare.View.
func (s *State) ApplyReport(r loadshare.Report) {
	s.mu.Lock()
	defer s.unlockAndLog()
	s.quarantine.Receive(r.From, r.Quarantine, s.now())
	s.limiter.Receive(r.From, r.Limits, s.now())
	if r.AgreementOnly {
		return
	}
	s.shares.Receive(r.From, r.Shares, s.now())
	s.fleet.SetPeerWork(r.From, r.Snapshot(), s.now())
	for id, remaining := range r.Held {
		s.fleet.Hold(id, s.now()+remaining)
	}
	for _, n := range r.Notes {
		s.fleet.AddCachedPart(n.Server, n.Part, n.Tokens, s.now())
	}
}

// KeepLoads implements loadshare.View.
func (s *State) KeepLoads(keep func(fleet.InstanceID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.KeepPeers(keep)
	s.limiter.KeepRates(keep)
	s.shares.KeepPeers(keep)
}

// Hold stops new requests of all instances to an engine for a duration.
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

// Engines returns the engines of a service with their measured rates.
func (s *State) Engines(service *routes.Service) []placement.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := s.fleet.Engines(service, s.now())
	if !s.limiter.Settled(s.now()) {
		return engines
	}
	for i := range engines {
		engines[i].RateLimit, engines[i].Limited = s.limiter.Limit(engines[i].Process(), s.now())
	}
	return engines
}

// Load returns the demand for a service at all instances.
func (s *State) Load(service *routes.Service) placement.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Load(service.Name, s.now())
}

func (s *State) countRequest(group fleet.GroupName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.CountRequest(group, s.now())
}

func (s *State) choosePlain(group fleet.GroupName, id fleet.RequestID, r restriction) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.restrict(r)()
	return s.take(group, 0, func() (placement.Choice, bool) {
		return s.fleet.ChoosePlain(group, id, s.now(), r.skip)
	})
}

// chooseEngines chooses the engines for a request; split reports whether prefill
// runs on a separate engine, prefill, instead of on direct. If direct.Limited is
// set, the limit of that engine is used up: the choice holds for estimates only.
func (s *State) chooseEngines(group fleet.GroupName, r *call.Request, allowed restriction) (prefill, direct placement.Choice, split bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.restrict(allowed)()
	s.large = s.limiter.IsLarge(group, r.PromptTokens)
	// The decode engine is chosen again after prefill, so its limit doesn't matter
	// yet.
	s.anyDecode = true
	prefill, direct, split = s.fleet.ChooseEngines(group, r, s.now(), allowed.skip)
	if prefill.Candidates == 0 && !s.large && s.limiter.Active(s.now()) {
		s.large = true
		prefill, direct, split = s.fleet.ChooseEngines(group, r, s.now(), allowed.skip)
	}
	s.anyDecode = false
	switch now := s.now(); {
	case split:
		s.limiter.Take(prefill.Server.Process(), now)
	case direct.Candidates > 0 && s.limiter.Open(direct.Server.Process(), group, s.large, now):
		s.limiter.Take(direct.Server.Process(), now)
	default:
		direct.Limited = 1
	}
	return prefill, direct, split
}

// chooseDirect chooses an engine that runs both prefill and decode.
func (s *State) chooseDirect(group fleet.GroupName, r *call.Request, allowed restriction) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.restrict(allowed)()
	return s.take(group, r.PromptTokens, func() (placement.Choice, bool) {
		return s.fleet.ChooseDirect(group, r, s.now(), allowed.skip)
	})
}

func (s *State) chooseDecode(group fleet.GroupName, r *call.Request, from placement.Server, allowed restriction) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.restrict(allowed)()
	return s.take(group, r.PromptTokens, func() (placement.Choice, bool) {
		return s.fleet.ChooseDecode(group, r, from, s.now(), allowed.skip)
	})
}

// begin counts a request in flight at a server, with the number of prompt tokens
// that the server has to prefill. The first call of prefillDone
// removes the prompt from the server's queued tokens; end removes the request.
func (s *State) begin(id fleet.UpstreamID, rank int, tokens float64) (prefillDone, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Begin(id, rank, tokens)
	queued := tokens
	prefillDone = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.PrefillDone(id, rank, queued)
		queued = 0
	}
	end = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.End(id, rank, queued)
	}
	return prefillDone, end
}

// minNoteTokens is the length below which a part is not reported to other
// instances.
const minNoteTokens = 24

const (
	// A part that was sent to an engine counts as copyable after readyHalves
	// halves of the expected wait plus readySlack: estimates at a peak are off
	// by up to a half, and the first request holds the part until its answer
	// has begun.
	readyHalves = 3
	readySlack  = 200 * time.Millisecond
)

// addCachedPrompt records that an engine is about to have a prompt cached and
// notifies the other instances, so that a burst of requests for one part goes
// to one engine.
func (s *State) addCachedPrompt(c placement.Choice, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := c.Server.ID
	s.fleet.AddCachedPrompt(id, r, s.now()+readyHalves*c.Wait/2+readySlack)
	if s.onNote == nil {
		return
	}
	for i, p := range r.Parts {
		if p.Tokens >= minNoteTokens && i < len(r.Parts)-1 {
			s.onNote(loadshare.Note{Server: id, Part: p.ID, Tokens: p.Tokens})
		}
	}
}

func (s *State) removeCachedPrompt(id fleet.UpstreamID, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.RemoveCachedPrompt(id, r)
}

// addFetchedPrompt records that an engine has fetched a prompt's KV cache from
// another.
func (s *State) addFetchedPrompt(id fleet.UpstreamID, r *call.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.AddCachedPrompt(id, r, s.now())
}

const (
	// connectionShare is the share of a server's connection limit that all
	// instances together use.
	connectionShare = 0.9
	// spareInstances is the number of unlisted instances that may hold
	// connections, for example because they have just started.
	spareInstances = 1
)

// maxConns returns the number of connections that this instance may hold to a
// server of the service.
func (s *State) maxConns(service *routes.Service) int {
	if service == nil || service.MaxConnections <= 0 {
		return defaultConnections
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(int(float64(service.MaxConnections)*connectionShare)/(s.instances+spareInstances), 1)
}

// defaultConnections bounds the connections to a server of a service without a
// declared limit.
const defaultConnections = 16
