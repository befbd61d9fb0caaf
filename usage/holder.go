package usage

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	counts "github.com/bramleywick/bramleywick/core/usage"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/duty"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

// Store keys of the holder's state.
const (
	// KeyPrefix is the prefix of the keys.
	KeyPrefix = "bramleywick/usage/"
	// OpenKey holds the counts that are not reported, and SentKey the reports that
	// may have been sent.
	OpenKey = KeyPrefix + "open"
	SentKey = KeyPrefix + "sent"
)

const (
	// checkpointInterval is the time between two writes of the open counts.
	checkpointInterval = time.Second
	// minRetry and maxRetry bound the wait before a report is sent again, which
	// doubles with each failure.
	minRetry = 250 * time.Millisecond
	maxRetry = 2 * time.Second
	// giveUpAfter is the time without a call that reached the platform after which
	// the holder gives up the duty, and giveUpWait how long it does not compete
	// then.
	giveUpAfter = 3 * time.Second
	giveUpWait  = 10 * time.Second
	// maxDue bounds the windows that are added to the state at once, as after an
	// outage.
	maxDue = 24
	// maxValueBytes bounds a value of the store.
	maxValueBytes = 1 << 20
	// maxUnpackedBytes bounds a decompressed value.
	maxUnpackedBytes = 16 << 20
)

// session is the state of the holder in one term.
type session struct {
	fence, era int64
	// loaded reports whether the state in the store is known.
	loaded bool
	// sent is the state of the reports as of sentRevision, and openRevision that of
	// the checkpoint. unwritten reports whether sent differs from the stored state.
	sent                       *counts.Sent
	sentRevision, openRevision int64
	unwritten                  bool
	// taken are the windows that the platform has taken in this term.
	taken map[int64]bool
	// retries holds the failed reports.
	retries map[int64]retry
	// failingSince is when the first call failed since the last one that reached
	// the platform; 0 for none.
	failingSince fleet.Instant
	checkpointAt fleet.Instant
}

// retry is the wait of a failed report.
type retry struct {
	at   fleet.Instant
	wait time.Duration
}

// act does what the holder of the duty has to do now.
func (r *Reporter) act(ctx context.Context) {
	term, ok := r.Holder.Term()
	if !ok || !r.settled() {
		r.session = nil
		return
	}
	if r.session == nil || r.session.fence != term.Fence {
		r.session = &session{fence: term.Fence, era: term.Era, taken: map[int64]bool{}, retries: map[int64]retry{}}
	}
	s := r.session
	if !s.loaded {
		if err := r.load(ctx, s); err != nil {
			r.Log.Warn("state of the usage reports not read", logline.Error(err))
			return
		}
	}
	if err := r.prepare(ctx, s); err != nil {
		// The write may have been done, or another holder has written.
		s.loaded = false
		r.Log.Warn("usage reports not written to the store", logline.Error(err))
		return
	}
	if !r.send(ctx, s, term) {
		return
	}
	if err := r.checkpoint(ctx, s); err != nil {
		s.loaded = false
		r.Log.Warn("open counts not written to the store", logline.Error(err))
	}
}

// settled reports whether the time is known. Counts cannot be merged before.
func (r *Reporter) settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.counter.Clock.Time(r.Now())
	return ok
}

// load reads the state of the reports and the checkpoint.
func (r *Reporter) load(ctx context.Context, s *session) error {
	raw, revision, err := r.read(ctx, SentKey)
	if err != nil {
		return err
	}
	var sent *counts.Sent
	if revision > 0 {
		sent = &counts.Sent{}
		if err := json.Unmarshal(raw, sent); err != nil {
			return errors.Wrapf(err, "decode %s", SentKey)
		}
	}
	raw, openRevision, err := r.read(ctx, OpenKey)
	if err != nil {
		return err
	}
	open, err := counts.DecodeBatch(raw)
	if err != nil {
		return errors.Wrapf(err, "decode %s", OpenKey)
	}
	if term, ok := r.Holder.Term(); !ok || term.Fence != s.fence {
		// The store may have come back from a copy before it was read.
		return duty.ErrTermOver
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	unwritten := false
	if s.era > fleet.FirstEra && era(sent) < s.era {
		sent, unwritten = r.afterRestore(sent, s.era), true
	}
	s.sent, s.sentRevision, s.openRevision, s.loaded, s.unwritten = sent, revision, openRevision, true, unwritten
	if sent != nil {
		for w := range s.taken {
			sent.SetTaken(w)
		}
		r.counter.Ledger.SetReportedThrough(sent.Next - 1)
		r.own = &ownState{s.fence, sent}
	}
	r.counter.Ledger.Merge(counts.Process{}, open)
	return nil
}

// prepare writes the reports that are due to the store, before they are sent.
func (r *Reporter) prepare(ctx context.Context, s *session) error {
	listed := r.Listed()
	next, due := r.due(s, listed)
	if len(due) == 0 && !s.unwritten {
		return nil
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	revision, err := r.write(ctx, SentKey, s.sentRevision, raw)
	if err != nil {
		return err
	}
	s.sent, s.sentRevision, s.unwritten = next, revision, false
	r.own = &ownState{s.fence, next}
	r.mu.Lock()
	r.counter.Ledger.SetReportedThrough(next.Next - 1)
	r.mu.Unlock()
	for i, d := range due {
		r.Observer.UsageWindow(len(d.Missing) == 0)
		w := next.Windows[len(next.Windows)-len(due)+i]
		total := int64(0)
		for _, n := range w.Counts {
			total += n
		}
		r.Log.Info("usage report", zap.Int64("window", w.Window), zap.Int("members", len(w.Counts)), zap.Int64("requests", total),
			zap.Int("missing_count", len(d.Missing)), zap.Any("missing", d.Missing[:min(len(d.Missing), 8)]))
	}
	return nil
}

// due returns the next state of the reports and the windows that it adds.
func (r *Reporter) due(s *session, listed []fleet.InstanceID) (*counts.Sent, []counts.Due) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, ok := r.counter.Clock.Time(r.Now())
	if !ok {
		return nil, nil
	}
	ledger := r.counter.Ledger
	var next *counts.Sent
	if s.sent != nil {
		next = s.sent.Clone()
	} else if next = (&counts.Sent{Era: s.era, Next: ledger.FirstWindow()}); next.Next == 0 {
		return nil, nil
	}
	var due []counts.Due
	for len(due) < maxDue {
		d, ok := ledger.NextDue(next.Next, r.Window, r.Late, now, listed)
		if !ok {
			break
		}
		next.Add(ledger.Totals(d.Window))
		due = append(due, d)
	}
	return next, due
}

// send sends the reports that the platform has not taken. It returns false if the
// instance no longer holds the duty.
func (r *Reporter) send(ctx context.Context, s *session, term duty.Term) bool {
	if s.sent == nil {
		return true
	}
	for _, w := range slices.Clone(s.sent.Windows) {
		if w.Taken || r.Now() < s.retries[w.Window].at {
			continue
		}
		err := r.Cloud.ReportUsage(ctx, r.Holder.Call(term), w.Window, w.Counts)
		result := resultOf(err)
		r.Observer.UsageReport(result)
		if err == nil {
			s.sent.SetTaken(w.Window)
			s.taken[w.Window] = true
			delete(s.retries, w.Window)
			s.failingSince = 0
			r.Log.Debug("usage report taken", zap.Int64("window", w.Window), zap.Int64("fence", term.Fence))
			continue
		}
		r.Log.Warn("usage report failed", zap.Int64("window", w.Window), zap.Int64("fence", term.Fence), zap.String("result", result), logline.Error(err))
		switch {
		case errors.Is(err, duty.ErrTermOver):
			return false
		case errors.Is(err, duty.ErrRefused):
			r.Holder.Refused(term.Fence)
			return false
		}
		wait := min(max(2*s.retries[w.Window].wait, minRetry), maxRetry)
		s.retries[w.Window] = retry{r.Now() + wait, wait}
		return errors.Is(err, duty.ErrRateLimited) || !r.failed(ctx, s, term)
	}
	return true
}

// resultOf returns the result of a call in metrics and logs.
func resultOf(err error) string {
	for _, c := range []struct {
		err  error
		name string
	}{
		{duty.ErrTermOver, "term_over"}, {duty.ErrRefused, "refused"}, {duty.ErrRateLimited, "rate_limited"}, {duty.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	if err != nil {
		return "unknown"
	}
	return "taken"
}

// failed records a call that did not reach the platform, and gives up the duty
// after a time if another instance may succeed. It reports whether it gave up.
func (r *Reporter) failed(ctx context.Context, s *session, term duty.Term) bool {
	now := r.Now()
	if s.failingSince == 0 {
		s.failingSince = now
	}
	if now-s.failingSince < giveUpAfter {
		return false
	}
	gaveUp := append(slices.Clone(s.sent.GaveUp), r.Instance)
	other := slices.ContainsFunc(r.Candidates(), func(id fleet.InstanceID) bool { return !slices.Contains(gaveUp, id) })
	if !other {
		// All have tried. The next failures are counted anew.
		return false
	}
	next := s.sent.Clone()
	next.GaveUp = gaveUp
	raw, err := json.Marshal(next)
	if err == nil {
		_, err = r.write(ctx, SentKey, s.sentRevision, raw)
	}
	if err != nil {
		s.loaded = false
		r.Log.Warn("duty not given up", logline.Error(err))
		return false
	}
	r.Holder.Resign(term.Fence, giveUpWait)
	return true
}

// checkpoint writes the counts that are not reported from time to time.
func (r *Reporter) checkpoint(ctx context.Context, s *session) error {
	now := r.Now()
	if now < s.checkpointAt {
		return nil
	}
	s.checkpointAt = now + checkpointInterval
	r.mu.Lock()
	open := r.counter.Ledger.Open()
	r.mu.Unlock()
	revision, err := r.write(ctx, OpenKey, s.openRevision, open.Encode())
	if err == nil {
		s.openRevision = revision
	}
	return err
}

// read reads and decompresses a value; the revision is 0 if there is none.
func (r *Reporter) read(ctx context.Context, key string) ([]byte, int64, error) {
	entry, err := r.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "read %s", key)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(entry.Value)), maxUnpackedBytes))
	return raw, entry.Revision, errors.Wrapf(err, "decompress %s", key)
}

// write compresses and writes a value if the revision is unchanged.
func (r *Reporter) write(ctx context.Context, key string, revision int64, raw []byte) (int64, error) {
	var packed bytes.Buffer
	w, err := r.compressor(&packed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return 0, errors.Wrapf(err, "compress %s", key)
	}
	if packed.Len() > maxValueBytes {
		return 0, errors.Errorf("write %s: %d bytes", key, packed.Len())
	}
	entry, err := r.Store.CompareAndSwap(ctx, key, revision, packed.Bytes(), "")
	return entry.Revision, errors.Wrapf(err, "write %s", key)
}

// OpenBytes returns the size of the checkpoint before it is compressed.
func (r *Reporter) OpenBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counter.Ledger.Open().Encode())
}

// compressor returns the compressor, which is kept for its 1.2 MB of memory.
func (r *Reporter) compressor(out io.Writer) (*flate.Writer, error) {
	if r.packer != nil {
		r.packer.Reset(out)
		return r.packer, nil
	}
	w, err := flate.NewWriter(out, flate.BestSpeed)
	r.packer = w
	return w, err
}
