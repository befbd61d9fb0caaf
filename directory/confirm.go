package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/freshness"
	"github.com/bramleywick/bramleywick/core/routes"
	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/store"
)

const (
	// confirmInterval is the time between two calls that confirm the configuration.
	// A watch confirms only the time at which it was sent, so that its age would
	// reach two waits, and four at an instance behind a hub.
	confirmInterval = 400 * time.Millisecond
	// hubReportTime is how long after a report of its hub an instance expects the
	// next one, and the age of the configuration up to which it asks nobody else.
	hubReportTime = time.Second
	// confirmTimeout bounds a confirming call to the store: as long as its client
	// waits for any answer. With calls to two instances that do not answer either,
	// it fits into the configuration deadline.
	confirmTimeout = 900 * time.Millisecond
	// confirmWait is the wait of the watch that confirms. It is not 0, which a
	// store might take for its default.
	confirmWait = time.Millisecond
	// confirmPeers is the number of other instances that are asked in a row.
	confirmPeers = 2
)

// PeerConfiguration is another instance's statement of its configuration.
type PeerConfiguration struct {
	Report freshness.Report
	// Value is the document of the revision in Report; nil if the asking instance
	// has seen it.
	Value []byte
}

// ConfirmedAt returns the time on Clock up to which all changes of the configuration
// are known to have been applied; 0 if nothing is known yet.
func (d *Directory) ConfirmedAt() fleet.Instant {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	at, _ := d.tracker.ConfirmedAt()
	return at
}

// Freshness returns what the table can be used for that Table returns afterwards.
func (d *Directory) Freshness() freshness.Verdict {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	return d.tracker.Verdict(d.Clock())
}

// ConfigurationReport returns the statement of the configuration for other instances;
// ok is false if nothing is confirmed yet.
func (d *Directory) ConfigurationReport() (r freshness.Report, ok bool) {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	return d.tracker.Report(d.Clock())
}

// NewerConfiguration returns the same with the configuration, unless the asking
// instance has seen its revision.
func (d *Directory) NewerConfiguration(known int64) (PeerConfiguration, error) {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	r, ok := d.tracker.Report(d.Clock())
	if !ok {
		return PeerConfiguration{}, errors.New("no configuration is confirmed")
	}
	out := PeerConfiguration{Report: r}
	if r.Revision > known {
		out.Value = d.newestConfiguration
	}
	return out, nil
}

// HubReport applies the report of this instance's hub; asked is the time on Clock
// before it was asked for.
func (d *Directory) HubReport(r freshness.Report, asked fleet.Instant) {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	d.hubReportAt = d.Clock()
	d.countConfirmation("hub", d.tracker.Receive(r, asked))
}

func (d *Directory) countConfirmation(source string, confirmed bool) {
	if d.OnConfirmation != nil {
		d.OnConfirmation(source, confirmed)
	}
}

// seeConfiguration records a configuration that was applied or could not be read.
// One that is older than the one in force is not passed on to other instances.
func (d *Directory) seeConfiguration(e store.Entry, readable, older bool) {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	if e.Revision > d.tracker.Revision() && !older {
		d.newestConfiguration = e.Value
	}
	d.tracker.Seen(e.Revision, readable)
}

// confirm records that all changes of the configuration up to a time, and up to a
// revision of the store, were seen. asked is 0 where only the revision is known. A store
// that has come back from a copy shows the newest configuration only after its entries
// were read and the operator has had the time to write it again.
func (d *Directory) confirm(asked fleet.Instant, revision int64) bool {
	d.mu.Lock()
	complete := d.restores.era == store.EraOf(revision) && d.rewritten() && !d.restores.behind
	d.mu.Unlock()
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	d.configurationUpTo = max(d.configurationUpTo, revision)
	return asked > 0 && complete && d.tracker.Confirm(asked)
}

// keepConfirmed confirms the configuration again and again until the context ends,
// if requests need keys.
func (d *Directory) keepConfirmed(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	last, lastSource := freshness.Current, ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t := d.Table(); t == nil || t.Members() == nil {
			continue
		}
		if d.confirmationDue() {
			if source, err := d.reconfirm(ctx); source != lastSource && ctx.Err() == nil {
				d.Log.Info("configuration confirmed by another source", zap.String("source", source), zap.String("before", lastSource), logline.Error(err))
				lastSource = source
			}
		}
		if v := d.Freshness(); v != last && ctx.Err() == nil {
			d.Log.Info("belief about the configuration changed", zap.Stringer("now", v), zap.Stringer("before", last),
				zap.Duration("confirmed_age", d.Clock()-d.ConfirmedAt()))
			last = v
		}
	}
}

// confirmationDue reports whether this instance has to confirm the configuration
// itself: it has no hub that does it, or the hub has lost the store.
func (d *Directory) confirmationDue() bool {
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	now := d.Clock()
	at, ok := d.tracker.ConfirmedAt()
	followsHub := d.hubReportAt > 0 && now-d.hubReportAt < hubReportTime
	return !ok || !followsHub || now-at > hubReportTime
}

// reconfirm asks the store, and other instances if it does not answer. It returns the
// source that confirmed the configuration and the error of the last one that did not.
func (d *Directory) reconfirm(ctx context.Context) (source string, err error) {
	err = d.confirmByStore(ctx)
	d.countConfirmation("store", err == nil)
	if err == nil {
		return "store", nil
	}
	for range confirmPeers {
		if d.AskPeer == nil {
			break
		}
		peerErr := d.confirmByPeer(ctx)
		d.countConfirmation("instance", peerErr == nil)
		if peerErr == nil {
			return "instance", err
		}
		err = peerErr
	}
	return "none", err
}

// confirmByStore asks the store for newer configurations.
func (d *Directory) confirmByStore(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	key := d.Decoder.ConfigurationKey()
	d.freshMu.Lock()
	after := d.configurationUpTo
	d.freshMu.Unlock()
	asked := d.Clock()
	batch, err := d.Store.WatchPrefix(ctx, key, after, confirmWait)
	if errors.Is(err, store.ErrCompacted) {
		asked = d.Clock()
		var entries []store.Entry
		entries, batch.Revision, err = d.Store.Range(ctx, key, func(k string) bool { return k == key })
		for _, e := range entries {
			batch.Changes = append(batch.Changes, store.Change{Entry: e})
		}
	}
	if err == nil && batch.Revision < after {
		// The answer of a watch that was cut, or of a store that lost its state.
		err = errors.Errorf("answer as of revision %d, before %d", batch.Revision, after)
	}
	if err != nil {
		return errors.Wrap(err, "ask the store for a newer configuration")
	}
	d.mu.Lock()
	d.applyConfigurations(batch.Changes, true)
	d.mu.Unlock()
	if !d.confirm(asked, batch.Revision) {
		return errors.New("the newest configuration cannot be read")
	}
	return nil
}

// confirmByPeer asks another instance for its configuration.
func (d *Directory) confirmByPeer(ctx context.Context) error {
	d.freshMu.Lock()
	known := d.tracker.Revision()
	d.freshMu.Unlock()
	asked := d.Clock()
	c, err := d.AskPeer(ctx, known)
	if err != nil {
		return errors.Wrap(err, "ask an instance for its configuration")
	}
	if c.Value != nil {
		d.mu.Lock()
		d.applyConfigurations([]store.Change{{Entry: store.Entry{Key: d.Decoder.ConfigurationKey(), Value: c.Value, Revision: c.Report.Revision}}}, false)
		d.mu.Unlock()
	}
	d.freshMu.Lock()
	defer d.freshMu.Unlock()
	if !d.tracker.Receive(c.Report, asked) {
		return errors.Errorf("its configuration of revision %d, confirmed %v ago, is of no use", c.Report.Revision, c.Report.Age)
	}
	return nil
}

// applyConfigurations applies the last configuration among changes that can be read.
// A deleted configuration stays in force. ofStore reports whether they show what the
// store has. The caller holds mu.
func (d *Directory) applyConfigurations(changes []store.Change, ofStore bool) {
	newest := true
	for i := len(changes) - 1; i >= 0; i-- {
		c := changes[i]
		if c.Key != d.Decoder.ConfigurationKey() {
			continue
		}
		readable, older := true, d.table.Load() != nil
		if !c.Deleted {
			readable, older = d.configure(c.Value)
		}
		if newest {
			if ofStore {
				d.setBehind(older)
			}
			defer d.seeConfiguration(c.Entry, readable, older)
			newest = false
		}
		if readable && !c.Deleted {
			return
		}
	}
}

// configure applies a configuration unless its version is at most the one in
// force. It returns false if it cannot be read; older reports whether its version is
// below the one in force.
func (d *Directory) configure(raw []byte) (readable, older bool) {
	c, err := d.Decoder.ParseConfiguration(raw)
	if err != nil {
		d.Log.Error("the configuration cannot be read; the one in force stays", logline.Error(err))
		return false, false
	}
	if now := d.table.Load(); now != nil && c.Version <= now.Version {
		return true, c.Version < now.Version
	}
	table := routes.Compile(c)
	d.table.Store(table)
	d.Log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	d.Observer.ConfigurationChanged(table)
	return true, false
}
