package quarantine

import (
	"slices"
	"time"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// Admit decides at its arrival whether a request with the given shared parts is
// admitted; if not, it returns the verdict. trial is a quarantined part whose
// trial the request is, or "". The trial of a digest begins with StartTrial.
func (d *Detector) Admit(parts []string, now fleet.Instant) (trial string, refused *Verdict) {
	d.settle(now)
	if len(d.verdicts) == 0 {
		return "", nil
	}
	for _, part := range normalise(parts) {
		v := d.verdicts[part]
		if v == nil {
			continue
		}
		if trial != "" || !d.mayTry(part, v, now) {
			return "", d.describe(part, v, now)
		}
		trial = part
	}
	if trial != "" && !IsDigest(trial) {
		d.startTrial(trial, now)
	}
	return trial, nil
}

// StartTrial begins the trial of a digest that Admit has returned. It returns the
// verdict if the request may not be tried any more.
func (d *Detector) StartTrial(digest string, now fleet.Instant) (refused *Verdict) {
	v := d.verdicts[digest]
	switch {
	case v == nil:
		return nil
	case now < v.until || now < v.trialUntil:
		return d.describe(digest, v, now)
	}
	d.startTrial(digest, now)
	return nil
}

// DeferTrial keeps this instance from trying a digest for a time.
func (d *Detector) DeferTrial(digest string, until fleet.Instant) {
	if v := d.verdicts[digest]; v != nil {
		v.trialUntil = max(v.trialUntil, until)
	}
}

// abortPause is the time for which an instance does not try a digest after a trial that
// has not run.
const abortPause = 250 * time.Millisecond

// AbortTrial ends the trial of a digest whose request has not run.
func (d *Detector) AbortTrial(digest string, now fleet.Instant) {
	if v := d.verdicts[digest]; v != nil {
		v.trialUntil = now + abortPause
	}
}

func (d *Detector) startTrial(part string, now fleet.Instant) {
	v := d.verdicts[part]
	v.trialUntil = now + TrialTime
	d.changes.Add(TrialStarted{Verdict: *d.describe(part, v, now)})
}

// Quarantined returns those of the parts on which there is a verdict. Unlike Admit
// and Refused it changes nothing, so that it may return one that has just ended.
func (d *Detector) Quarantined(parts []string) []string {
	var out []string
	for _, part := range normalise(parts) {
		if d.verdicts[part] != nil {
			out = append(out, part)
		}
	}
	return out
}

// Refused returns the verdict on one of the parts other than trial, or nil. It
// is asked before each further call of an admitted request.
func (d *Detector) Refused(parts []string, trial string, now fleet.Instant) *Verdict {
	d.settle(now)
	if len(d.verdicts) == 0 {
		return nil
	}
	for _, part := range normalise(parts) {
		if v := d.verdicts[part]; v != nil && part != trial {
			return d.describe(part, v, now)
		}
	}
	return nil
}

// MayRepeat decides whether a request may be sent to a further server after an attempt
// broke; ended reports whether the server's side ended the connection.
func (d *Detector) MayRepeat(request fleet.RequestID, parts []string, ended bool) bool {
	ownCrashes := 0
	if ended {
		ownCrashes++
	}
	for _, c := range d.crashes {
		if slices.ContainsFunc(c.victims, func(v Victim) bool { return v.Request == request }) {
			ownCrashes++
		}
	}
	if ownCrashes >= maxOwnCrashes {
		return false
	}
	for _, part := range normalise(parts) {
		switch {
		case d.verdicts[part] != nil, countMoments(d.open[part], momentGap) >= suspectMoments:
			return false
		case IsDigest(part) && len(d.open[part]) >= maxOwnCrashes:
			return false
		}
	}
	return true
}

func (d *Detector) describe(part string, v *verdict, now fleet.Instant) *Verdict {
	return &Verdict{
		Part: part, Crashes: v.crashes, Requests: v.requests, LastCrash: now - v.at,
		Remaining: max(v.until-now, 0), FailedTrials: v.failedTrials,
	}
}
