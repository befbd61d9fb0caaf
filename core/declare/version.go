package declare

// Stamp identifies one accepted configuration.
type Stamp struct {
	Version int64
	// ChangeID is unique per change; two stamps with one version and different
	// ids come from two histories, as after a restored store.
	ChangeID string
}

// Verdict is what the version rules say about an offered configuration.
type Verdict string

// Verdicts of Versions.Offer.
const (
	// VerdictPutInForce means that the offered version is newer.
	VerdictPutInForce Verdict = "put_in_force"
	// VerdictSame means that the offered version is already in force.
	VerdictSame Verdict = "same"
	// VerdictOlder means that a newer version is in force, as after a stale
	// read, a restored store or an offer by a peer that lags behind.
	VerdictOlder Verdict = "older"
	// VerdictForked means that the version number in force was given twice.
	VerdictForked Verdict = "forked"
)

// Versions applies the rule that the version in force only rises (invariant
// 9). The zero value has nothing in force.
type Versions struct {
	current Stamp
	// highest is the highest version heard of, in force here or elsewhere.
	highest int64
}

// Current returns the stamp in force; version 0 means none.
func (v *Versions) Current() Stamp { return v.current }

// Judge returns the verdict on a stamp without a change of state.
func (v *Versions) Judge(s Stamp) Verdict {
	switch {
	case s.Version > v.current.Version:
		return VerdictPutInForce
	case s.Version < v.current.Version:
		return VerdictOlder
	case s.ChangeID != v.current.ChangeID:
		return VerdictForked
	default:
		return VerdictSame
	}
}

// Offer judges a stamp and makes it current when it is newer. The caller puts
// the configuration in force exactly on VerdictPutInForce.
func (v *Versions) Offer(s Stamp) Verdict {
	verdict := v.Judge(s)
	if verdict == VerdictPutInForce {
		v.current = s
	}
	v.Heard(s.Version)
	return verdict
}

// Heard records a version that is in force at another instance.
func (v *Versions) Heard(version int64) { v.highest = max(v.highest, version) }

// Next returns the version of a change that follows a stored version. It
// exceeds every version heard of, so that a change made after the store was
// restored to an older state is still newer everywhere.
func (v *Versions) Next(stored int64) int64 {
	return max(stored, v.current.Version, v.highest) + 1
}
