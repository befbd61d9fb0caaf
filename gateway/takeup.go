package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/core/takeup"
	"github.com/bramleywick/bramleywick/logline"
)

// streamVersions is what this instance knows of the software versions of streams,
// guarded by State.mu.
type streamVersions struct {
	versions *takeup.Versions
	streams  *takeup.Streams
	// memory is the time in which streams can be taken up, and several holds the
	// services that more than one version may serve.
	memory  time.Duration
	several map[fleet.GroupName]bool
	// others are told the records that they have to know; it may be nil.
	others StreamHolders
}

// StreamHolders are the other instances that keep the versions of streams.
type StreamHolders interface {
	// TellStreams tells them in the background.
	TellStreams(records []takeup.Record)
}

// mayBegin reports whether streams may begin at a server as far as its software version
// is concerned. The caller holds State.mu.
func (v *streamVersions) mayBegin(s placement.Server, now fleet.Instant) bool {
	return v.versions.MayBegin(s.Group, s.SoftwareVersion, v.memory, now)
}

func newStreamVersions() streamVersions {
	return streamVersions{
		versions: takeup.NewVersions(), streams: takeup.NewStreams(), memory: takeup.MinMemory, several: map[fleet.GroupName]bool{},
	}
}

// HoldStreamsAt sets the other instances that keep the versions of streams.
func (s *State) HoldStreamsAt(others StreamHolders) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.software.others = others
}

// keepSoftware sets the time in which streams can be taken up. It does not get shorter:
// streams of the configuration before go on. The caller holds mu.
func (s *State) keepSoftware(t *routes.Table) {
	s.software.memory = max(s.software.memory, takeup.MemoryFor(t.MaxStreamTimeout()))
}

// listSoftware applies the versions of the listed servers that make answers. The caller
// holds mu.
func (s *State) listSoftware(list []placement.Server) {
	present := map[fleet.GroupName]map[string]bool{}
	for _, server := range list {
		if server.Stage == fleet.RolePrefill {
			continue
		}
		if present[server.Group] == nil {
			present[server.Group] = map[string]bool{}
		}
		present[server.Group][server.SoftwareVersion] = true
	}
	s.software.versions.Listed(present, s.now())
	for group := range present {
		s.checkSeveral(group)
	}
}

// LearnVersions applies the record of the versions of a service that outlasts the
// instances.
func (s *State) LearnVersions(group fleet.GroupName, versions []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.software.versions.Recorded(group, versions, s.now())
	s.checkSeveral(group)
}

// checkSeveral finds out whether more than one version may serve a service. Once that is
// so, other instances have to know of the streams that have begun here. The caller holds
// mu.
func (s *State) checkSeveral(group fleet.GroupName) {
	v := &s.software
	possible := v.versions.Possible(group, v.memory, s.now())
	several := len(possible) > 1
	if several == v.several[group] {
		return
	}
	v.several[group] = several
	s.log.Info("software versions of a service", zap.String("service", string(group)), zap.Strings("versions", possible))
	if several && v.others != nil {
		if own := v.streams.Own(v.memory, s.now()); len(own) > 0 {
			go v.others.TellStreams(own)
		}
	}
}

// VersionRecords returns the records of versions that have to be written.
func (s *State) VersionRecords() []takeup.RecordChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group := range s.software.several {
		s.checkSeveral(group)
	}
	return s.software.versions.RecordChanges(s.software.memory, s.now())
}

// LearnStreams records what another instance tells of streams.
func (s *State) LearnStreams(records []takeup.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.software.streams.Put(r, false, s.software.memory, s.now())
	}
}

// StreamVersion returns the software version that began a stream, if it is known here.
func (s *State) StreamVersion(k takeup.Key) (r takeup.Record, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.software.streams.Get(k, s.software.memory, s.now())
}

// StreamCounts returns the number of streams whose version is remembered, and of services
// that several versions may serve.
func (s *State) StreamCounts() (streams, several int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.software.several {
		if x {
			several++
		}
	}
	return s.software.streams.Len(), several
}

// PossibleVersions returns the versions that may have begun a stream of a service.
func (s *State) PossibleVersions(group fleet.GroupName) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkSeveral(group)
	return s.software.versions.Possible(group, s.software.memory, s.now())
}

// noteStreams records the version of the server that made a stream's first event, and
// tells other instances while several versions may serve.
func (s *State) noteStreams(group fleet.GroupName, records []takeup.Record) {
	s.mu.Lock()
	for _, r := range records {
		s.software.streams.Put(r, true, s.software.memory, s.now())
	}
	others := s.software.others
	if !s.software.several[group] {
		others = nil
	}
	s.mu.Unlock()
	if others != nil {
		others.TellStreams(records)
	}
}

// recordVersion records the version of the server whose first event is about to be passed
// on. From then on the stream can be taken up, and its version no longer changes.
func (p *proxyRequest) recordVersion(server placement.Server) {
	if p.versionRecorded || !p.mayBeTakenUp() {
		return
	}
	p.versionRecorded = true
	records := []takeup.Record{{Key: takeup.KeyOf(p.req.Member, p.req.ID), Software: server.SoftwareVersion}}
	if p.req.Resumes != "" {
		records = append(records, takeup.Record{Key: takeup.KeyOf(p.req.Member, p.req.Resumes), Software: server.SoftwareVersion})
	}
	p.g.State.noteStreams(p.group, records)
}

const (
	// askTimeout bounds the time in which other instances are asked for a stream's
	// version, and confirmTimeout that of reading the record of versions.
	askTimeout     = 400 * time.Millisecond
	confirmTimeout = 300 * time.Millisecond
)

// findVersion restricts a stream that its caller takes up to the software version that
// began it. It refuses the request and returns false if several versions may have, and
// nobody knows which: the stream would be joined from two.
func (p *proxyRequest) findVersion() bool {
	if p.route.Kind != routes.KindStream || p.req.LastEventID == "" || p.software != nil {
		return true
	}
	k := takeup.KeyOf(p.req.Member, p.req.Resumes)
	own, known := p.g.State.StreamVersion(k)
	if p.req.Resumes == "" {
		known = false
	}
	software, source := own.Software, "own"
	possible := p.g.State.PossibleVersions(p.group)
	var others takeup.Answer
	confirmed := false
	if !known && len(possible) == 1 {
		possible, confirmed = p.confirmVersions(possible)
	}
	if !known && (!confirmed || len(possible) > 1) {
		others = p.askForVersion(k, !confirmed)
		possible, confirmed = union(possible, others.Possible), confirmed || others.Confirmed
		software, known, source = others.Software, others.Known, "instance"
	}
	if !known && confirmed && len(possible) == 1 {
		software, known, source = possible[0], true, "only_version"
	}
	fields := []zap.Field{
		zap.String("resumes", string(p.req.Resumes)), zap.String("after_event", p.req.LastEventID), zap.Strings("versions", possible),
		zap.Bool("confirmed", confirmed), zap.Int("asked", others.Instances),
	}
	if !known {
		p.logFields = append(p.logFields, fields...)
		p.refuse(http.StatusServiceUnavailable, fleet.ReasonVersionUnknown, 0)
		return false
	}
	p.g.Log.Info("stream taken up", append(fields, zap.String("request_id", string(p.req.ID)), zap.String("software", software), zap.String("known_from", source))...)
	p.pin(software)
	return true
}

// confirmVersions adds the versions that the record in the store names to those that are
// known here, and reports whether it was read.
func (p *proxyRequest) confirmVersions(known []string) (versions []string, confirmed bool) {
	if p.g.ConfirmVersions == nil {
		return known, false
	}
	ctx, stop := context.WithTimeout(p.ctx, confirmTimeout)
	defer stop()
	recorded, err := p.g.ConfirmVersions(ctx, p.group)
	if err != nil {
		p.g.Log.Info("record of software versions not read", zap.String("request_id", string(p.req.ID)), logline.Error(err))
		return known, false
	}
	return union(known, recorded), len(recorded) > 0
}

// askForVersion asks other instances for the version of a stream; confirm makes them read
// the record of versions.
func (p *proxyRequest) askForVersion(k takeup.Key, confirm bool) takeup.Answer {
	if p.g.AskStreamVersion == nil {
		return takeup.Answer{}
	}
	ctx, stop := context.WithTimeout(p.ctx, askTimeout)
	defer stop()
	return p.g.AskStreamVersion(ctx, p.group, k, confirm)
}

// union returns the elements of either list.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
