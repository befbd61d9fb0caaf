// Package verdicts keeps the verdicts of core/quarantine in the platform's store, so
// that they outlast a loss of all instances, and lets the instances agree there on
// which of them tries a quarantined request.
package verdicts

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/quarantine"
	"github.com/bramleywick/bramleywick/directory"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// recordTTL is how long a verdict stays in the store after it was last written. It
	// is the longest lease that the store grants.
	recordTTL = 10 * time.Minute
	// writeStep is the mean delay of a write for each listed instance: all of them
	// reach a verdict at about the same time, and one has to write it.
	writeStep = 20 * time.Millisecond
	// rewriteDelay is how long after a verdict has left the store it is written again.
	rewriteDelay = 2 * time.Second
	// minRetryPause and maxRetryPause bound the wait after a failed write.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 10 * time.Second
	// callTimeout bounds the calls of one write.
	callTimeout = 2 * time.Second
	// sameHold is the difference up to which two ends of a hold mean the same one:
	// they grow by the transit between instances.
	sameHold = time.Second
	// maxKept bounds the verdicts that are held here, and maxRecordBytes a record.
	maxKept        = 128
	maxRecordBytes = 4 << 10
)

// Store is the part of the store's client that a Keeper needs.
type Store interface {
	Put(ctx context.Context, key string, value []byte, leaseID string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, leaseID string) (store.Entry, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.Lease, error)
	RevokeLease(ctx context.Context, id string) error
}

// record is a verdict in the store. Times are in Unix milliseconds.
type record struct {
	Part         string `json:"part"`
	LastCrash    int64  `json:"last_crash_ms"`
	HeldUntil    int64  `json:"held_until_ms"`
	FailedTrials int    `json:"failed_trials"`
	Crashes      int    `json:"crashes"`
	Requests     int    `json:"requests"`
}

// asNewAs reports whether the record holds what another one says.
func (r record) asNewAs(other record) bool {
	return r.FailedTrials >= other.FailedTrials && r.HeldUntil+sameHold.Milliseconds() >= other.HeldUntil
}

// Options holds the dependencies of a Keeper.
type Options struct {
	Store Store
	// Instances returns the number of listed instances.
	Instances func() int
	// Learn is called with each verdict that is read from the store.
	Learn func(quarantine.VerdictRecord)
	Log   *zap.Logger
}

// Keeper keeps the verdicts of one instance. Safe for concurrent use.
type Keeper struct {
	Options
	mu sync.Mutex
	// own holds the verdicts in force here, stored those that were last seen in the
	// store, and leases the leases under which this instance has written some.
	own, stored map[string]record
	leases      map[string]string
}

// New returns a Keeper without verdicts.
func New(o Options) *Keeper {
	return &Keeper{Options: o, own: map[string]record{}, stored: map[string]record{}, leases: map[string]string{}}
}

// Changed records a change of what the instance believes, and writes a verdict that
// the store lacks in the background.
func (k *Keeper) Changed(c quarantine.Change) {
	switch c := c.(type) {
	case quarantine.Quarantined:
		k.keep(c.Verdict, !c.Reported)
	case quarantine.TrialFailed:
		k.keep(c.Verdict, true)
	case quarantine.Released:
		k.release(c.Part)
	}
}

func (k *Keeper) keep(v quarantine.Verdict, write bool) {
	now := time.Now()
	r := record{
		Part: v.Part, LastCrash: now.Add(-v.LastCrash).UnixMilli(), HeldUntil: now.Add(v.Remaining).UnixMilli(),
		FailedTrials: v.FailedTrials, Crashes: v.Crashes, Requests: v.Requests,
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.own[r.Part]; !ok && len(k.own) >= maxKept {
		return
	}
	k.own[r.Part] = r
	if write {
		time.AfterFunc(k.writeDelay(), func() { k.write(r, minRetryPause) })
	}
}

// write writes a verdict unless it is out of date or in the store already, and tries
// again after a pause when that fails.
func (k *Keeper) write(r record, pause time.Duration) {
	if !k.toBeWritten(r) {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	lease, err := k.put(ctx, r)
	if err != nil {
		k.Log.Info("verdict not kept in the store yet", zap.String("part", r.Part), zap.Duration("again_in", pause), logline.Error(err))
		time.AfterFunc(pause/2+rand.N(pause), func() { k.write(r, min(2*pause, maxRetryPause)) })
		return
	}
	k.Log.Info("verdict kept in the store", zap.String("part", r.Part), zap.Int("failed_trials", r.FailedTrials))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases[r.Part], k.stored[r.Part] = lease, r
}

func (k *Keeper) toBeWritten(r record) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	stored, ok := k.stored[r.Part]
	return k.own[r.Part] == r && !(ok && stored.asNewAs(r))
}

func (k *Keeper) put(ctx context.Context, r record) (leaseID string, err error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return "", errors.Wrap(err, "encode verdict")
	}
	lease, err := k.Store.GrantLease(ctx, recordTTL)
	if err != nil {
		return "", err
	}
	_, err = k.Store.Put(ctx, key(directory.VerdictsPrefix, r.Part), raw, lease.ID)
	return lease.ID, err
}

// release drops a verdict. If this instance has written it, it removes it from the
// store too; otherwise it expires there, and an instance that reads it before that
// tries the part.
func (k *Keeper) release(part string) {
	k.mu.Lock()
	lease := k.leases[part]
	delete(k.own, part)
	delete(k.leases, part)
	k.mu.Unlock()
	if lease != "" {
		go k.revoke(lease, part)
	}
}

// EntryChanged takes over a change of an entry under directory.VerdictsPrefix.
func (k *Keeper) EntryChanged(c store.Change) {
	if c.Deleted {
		k.forget(c.Key)
		return
	}
	r, err := decode(c.Key, c.Value)
	if err != nil {
		k.Log.Warn("store entry ignored", zap.String("key", c.Key), logline.Error(err))
		return
	}
	k.mu.Lock()
	_, known := k.stored[r.Part]
	keep := known || len(k.stored) < maxKept
	if keep {
		k.stored[r.Part] = r
	}
	k.mu.Unlock()
	if !keep {
		return
	}
	now := time.Now()
	k.Learn(quarantine.VerdictRecord{
		Part: r.Part, Age: max(now.Sub(time.UnixMilli(r.LastCrash)), 0), Remaining: time.UnixMilli(r.HeldUntil).Sub(now),
		FailedTrials: r.FailedTrials, Crashes: r.Crashes, Requests: r.Requests,
	})
}

// forget takes note of a verdict that has left the store: its lease has ended, or the
// store has come back without it. It is written again if it is still in force once the
// news of its release would have arrived.
func (k *Keeper) forget(key string) {
	raw, err := hex.DecodeString(strings.TrimPrefix(key, directory.VerdictsPrefix))
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.stored, string(raw))
	r, ok := k.own[string(raw)]
	if !ok || time.Until(time.UnixMilli(r.HeldUntil)) < rewriteDelay {
		return
	}
	time.AfterFunc(rewriteDelay+k.writeDelay(), func() { k.write(r, minRetryPause) })
}

// writeDelay returns a random delay that grows with the number of instances.
func (k *Keeper) writeDelay() time.Duration {
	return rand.N(writeStep*time.Duration(max(k.Instances(), 1)) + 1)
}

// decode decodes an entry. It returns an error for one that no instance writes.
func decode(entryKey string, value []byte) (record, error) {
	var r record
	if len(value) > maxRecordBytes {
		return r, errors.Errorf("verdict has %d bytes, over %d", len(value), maxRecordBytes)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.Wrap(err, "decode verdict")
	}
	if r.Part == "" || key(directory.VerdictsPrefix, r.Part) != entryKey {
		return r, errors.New("verdict has another part than its key")
	}
	if r.FailedTrials < 0 || r.Crashes < 0 || r.Requests < 0 || r.LastCrash < 0 || r.HeldUntil < 0 {
		return r, errors.New("verdict has a negative number")
	}
	return r, nil
}

// ClaimTrial reports whether this instance may try a quarantined request: no other one
// has claimed its trial in quarantine.TrialTime. It returns false if the store does not
// answer. release gives the claim up.
func (k *Keeper) ClaimTrial(ctx context.Context, part string) (release func(), ok bool) {
	lease, err := k.Store.GrantLease(ctx, quarantine.TrialTime)
	if err == nil {
		_, err = k.Store.CompareAndSwap(ctx, key(directory.TrialsPrefix, part), 0, []byte("{}"), lease.ID)
	}
	if err != nil {
		k.Log.Info("trial not claimed", zap.String("part", part), logline.Error(err))
		return nil, false
	}
	return func() { go k.revoke(lease.ID, part) }, true
}

// revoke ends a lease under which an entry of a part was written.
func (k *Keeper) revoke(lease, part string) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	if err := k.Store.RevokeLease(ctx, lease); err != nil {
		k.Log.Info("entry not removed from the store; it expires by itself", zap.String("part", part), logline.Error(err))
	}
}

// key returns the store's key for a part, whose id may hold any bytes.
func key(prefix, part string) string { return prefix + hex.EncodeToString([]byte(part)) }
