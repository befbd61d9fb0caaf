package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/placement"
	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/core/retry"
)

const (
	// A server whose connections ended is dialled endChecks times, with
	// endCheckPause between, to find out whether its process has ended.
	endChecks     = 3
	endCheckPause = 100 * time.Millisecond
	endCheckLimit = 250 * time.Millisecond
	// abandonedCheckDelay is how long after an attempt was given up its server is
	// dialled: by then a process that ends under it has ended.
	abandonedCheckDelay = 250 * time.Millisecond
)

// serverCheck is what dialling a server shows of its process.
type serverCheck uint8

const (
	// checkUnknown means no answer, as behind a network partition.
	checkUnknown serverCheck = iota
	checkAlive
	checkEnded
)

// connectionEnded reports whether an attempt failed because the server's side
// ended the connection, as it does when its process ends.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// knownParts returns the parts by which the quarantine may know the request. Its digest
// is among them if something is known of requests that may be the same.
func (p *proxyRequest) knownParts() []string {
	if p.digest.whole == "" && p.g.State.tracks(p.digestHead) {
		p.wholeDigest()
	}
	return quarantine.Parts(p.req.SharedParts(), p.digest.whole)
}

// recordBroken tells the quarantine of an answer that broke after a number of events.
// The instance that first sees a process's connections end finds out whether it has
// ended. An attempt that this instance has given up shows nothing of that: its process
// may end a moment later.
func (p *proxyRequest) recordBroken(s placement.Server, err error, events int) {
	process := s.Process()
	victim := quarantine.Victim{Request: p.req.ID, Service: p.group, Parts: quarantine.Parts(p.req.SharedParts(), p.wholeDigest()), Events: events}
	if connectionEnded(err) {
		p.serverEnded = true
		if p.g.State.requestBroken(process, victim) {
			go p.g.checkServer(process, s.Address)
		}
		return
	}
	p.abandoned = true
	if p.g.State.attemptAbandoned(process, victim) {
		go p.g.checkAbandoned(process, s.Address)
	}
}

// recordAnswered tells the quarantine of a complete answer that began at the given time.
func (p *proxyRequest) recordAnswered(began time.Time) {
	if parts := p.knownParts(); len(parts) > 0 {
		p.g.State.recordAnswered(parts, began)
	}
}

// checkServer finds out whether a server's process has ended.
func (g *Gateway) checkServer(process fleet.Process, address string) {
	for range endChecks {
		began := time.Now()
		switch dialServer(address) {
		case checkEnded:
			g.recordEnd(process, address, began)
			return
		case checkAlive, checkUnknown:
			time.Sleep(endCheckPause)
		}
	}
	g.State.processAlive(process)
}

// dialServer opens a connection and closes it. A refused one shows that no
// process listens at the address.
func dialServer(address string) serverCheck {
	ctx, stop := context.WithTimeout(context.Background(), endCheckLimit)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return checkAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return checkEnded
	default:
		return checkUnknown
	}
}

// checkAbandoned finds out whether a server's process has ended after an attempt at it
// was given up.
func (g *Gateway) checkAbandoned(process fleet.Process, address string) {
	time.Sleep(abandonedCheckDelay)
	if began := time.Now(); dialServer(address) == checkEnded {
		g.recordEnd(process, address, began)
	}
}

// recordEnd records that a process has ended, whose server has refused a connection
// since a time, unless this instance may be partitioned from all servers.
func (g *Gateway) recordEnd(process fleet.Process, address string, since time.Time) {
	at := g.State.clock()
	if g.ProveLinks != nil && !g.ProveLinks(since, address) {
		g.Log.Info("server may not have ended: no other server is reached", zap.String("server", string(process.Server)), zap.Int64("born", process.StartTime),
			zap.Duration("refused_for", time.Since(since)))
		g.State.processAlive(process)
		return
	}
	g.State.processEnded(process, at)
}

// quarantined refuses the request if it, or a part of its prompt, is quarantined, and
// reports whether it did. It is asked before each call to a server, since the
// verdict may come while the request is in flight.
func (p *proxyRequest) quarantined() bool {
	v := p.quarantineVerdict()
	if v == nil {
		return false
	}
	p.logFields = append(p.logFields, zap.Strings("parts", p.req.SharedParts()), zap.String("part", v.Part), zap.Int("crashes", v.Crashes),
		zap.Int("requests", v.Requests), zap.Duration("last_crash", v.LastCrash), zap.Duration("hold", v.Remaining), zap.Int("failed_trials", v.FailedTrials))
	reason := fleet.ReasonPartQuarantined
	if quarantine.IsDigest(v.Part) {
		reason = fleet.ReasonRequestQuarantined
	}
	if p.mayHaveRun {
		p.refuse(http.StatusBadGateway, reason, 0)
	} else {
		p.refuse(http.StatusServiceUnavailable, reason, max(v.Remaining, minQuarantineWait))
	}
	return true
}

// minQuarantineWait is the least Retry-After of a request with a quarantined
// part: the time in which a trial at another instance ends.
const minQuarantineWait = time.Second

// mayRepeatAfterCrash reports whether the request may be sent to another server
// as far as the servers that have ended under it are concerned.
func (p *proxyRequest) mayRepeatAfterCrash() bool {
	if !p.serverEnded && !p.abandoned {
		return true
	}
	if p.g.State.mayRepeatAfterCrash(p.req.ID, p.knownParts(), p.serverEnded) {
		return true
	}
	p.denial = retry.DenySuspect
	p.logFields = append(p.logFields, zap.Strings("suspect_parts", p.knownParts()))
	return false
}

// quarantineVerdict returns the verdict for which the request must not be sent, or nil.
// The first call decides whether the request tries a quarantined part.
func (p *proxyRequest) quarantineVerdict() *quarantine.Verdict {
	parts := p.knownParts()
	if p.trial.admitted {
		return p.g.State.quarantineRefuses(parts, p.trial.part)
	}
	part, verdict := p.g.State.quarantineAdmits(parts)
	if verdict == nil && quarantine.IsDigest(part) {
		verdict = p.startTrial(part)
	}
	p.trial.admitted, p.trial.part = verdict == nil, part
	return verdict
}

// OnVerdict sets the function that is called with each change of what the quarantine
// believes.
func (s *State) OnVerdict(f func(quarantine.Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onVerdict = f
}

// LearnVerdict takes over a verdict that was kept elsewhere.
func (s *State) LearnVerdict(r quarantine.VerdictRecord) {
	s.mu.Lock()
	defer s.unlockAndLog()
	s.quarantine.Learn(r, s.now())
}

// tracks reports whether something is known of a request whose digest begins with what
// head returns.
func (s *State) tracks(head func() string) bool {
	s.mu.Lock()
	tracksAny := s.quarantine.TracksAny()
	s.mu.Unlock()
	if !tracksAny {
		return false
	}
	h := head()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Tracks(h)
}

func (s *State) quarantineAdmits(parts []string) (trial string, refused *quarantine.Verdict) {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.Admit(parts, s.now())
}

func (s *State) quarantineRefuses(parts []string, trial string) *quarantine.Verdict {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.Refused(parts, trial, s.now())
}

func (s *State) mayRepeatAfterCrash(id fleet.RequestID, parts []string, ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.MayRepeat(id, parts, ended)
}

func (s *State) requestBroken(p fleet.Process, v quarantine.Victim) bool {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.RequestBroken(p, v, s.now())
}

func (s *State) attemptAbandoned(p fleet.Process, v quarantine.Victim) bool {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.AttemptAbandoned(p, v, s.now())
}

// processEnded records that a process was found to have ended at a time.
func (s *State) processEnded(p fleet.Process, at fleet.Instant) {
	s.mu.Lock()
	defer s.unlockAndLog()
	s.quarantine.ProcessEnded(p, at)
}

// clock returns the State's time.
func (s *State) clock() fleet.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now()
}

func (s *State) processAlive(p fleet.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.ProcessAlive(p)
}

// recordAnswered records a complete answer that began at the given time.
func (s *State) recordAnswered(parts []string, began time.Time) {
	s.mu.Lock()
	defer s.unlockAndLog()
	s.quarantine.Answered(parts, began.Sub(s.start), s.now())
}

// Quarantine implements loadshare.View.
func (s *State) Quarantine(to fleet.InstanceID) quarantine.Report {
	s.mu.Lock()
	defer s.unlockAndLog()
	return s.quarantine.ReportFor(to, s.now())
}

// QuarantineCounts returns the numbers of quarantined parts, of known crashes
// and of verdicts so far.
func (s *State) QuarantineCounts() (quarantined, crashes, verdicts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Counts()
}

// unlockAndLog unlocks the state and logs what the quarantine and the limiter
// have found.
func (s *State) unlockAndLog() {
	parts, limits, log, onVerdict := s.quarantine.Changes(), s.limiter.Changes(), s.log, s.onVerdict
	s.mu.Unlock()
	for _, c := range parts {
		logQuarantine(log, c)
		if onVerdict != nil {
			onVerdict(c)
		}
	}
	for _, c := range limits {
		logLimit(log, c)
	}
}

// quarantinedMessage returns the log message of a new verdict.
func quarantinedMessage(part string) string {
	if quarantine.IsDigest(part) {
		return "request quarantined"
	}
	return "prompt part quarantined"
}

// logQuarantine logs a change of belief with its evidence.
func logQuarantine(log *zap.Logger, c quarantine.Change) {
	fields := func(v quarantine.Verdict, more ...zap.Field) []zap.Field {
		return append([]zap.Field{
			zap.String("part", v.Part), zap.Int("crashes", v.Crashes), zap.Int("requests", v.Requests),
			zap.Duration("last_crash", v.LastCrash), zap.Duration("hold", v.Remaining), zap.Int("failed_trials", v.FailedTrials),
		}, more...)
	}
	switch c := c.(type) {
	case quarantine.EngineCrashed:
		log.Warn("server ended under requests", zap.String("server", string(c.Process.Server)), zap.Int64("born", c.Process.StartTime),
			zap.Duration("age", c.Age), zap.Int("requests", c.Requests))
	case quarantine.Quarantined:
		log.Warn(quarantinedMessage(c.Part), fields(c.Verdict, zap.Bool("reported", c.Reported))...)
	case quarantine.TrialStarted:
		log.Info("quarantined part is tried", fields(c.Verdict)...)
	case quarantine.TrialFailed:
		log.Warn("quarantined part crashed a server again", fields(c.Verdict)...)
	case quarantine.Released:
		log.Info("quarantined part released", fields(c.Verdict, zap.Bool("answered", c.Answered))...)
	}
}
