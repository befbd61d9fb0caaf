package declare

// Stamp identifies one accepted configuration.
type Stamp struct {
	Version int64
	// ChangeID is unique per change; two stamps with one version and different
	// ids come from two histories, as after a restored store.
	ChangeID string
}

// Comparison is what the version rules say about an offered configuration.
type Comparison string

// Verdicts of Versions.Offer.
const (
	// VersionNewer means that the offered version is newer.
	VersionNewer Comparison = "put_in_force"
	// VersionSame means that the offered version is already in force.
	VersionSame Comparison = "same"
	// VersionOlder means that a newer version is in force, as after a stale
	// read, a restored store or an offer by a peer that lags behind.
	VersionOlder Comparison = "older"
	// VersionForked means that the version number in force was given twice.
	VersionForked Comparison = "forked"
)

// VersionTracker applies the rule that the version in force only rises (invariant
// 9). The zero value has nothing in force.
type VersionTracker struct {
	current Stamp
	// highest is the highest version heard of, in force here or elsewhere.
	highest int64
}

// Current returns the stamp in force; version 0 means none.
func (v *VersionTracker) Current() Stamp { return v.current }

// Compare returns the verdict on a stamp without a change of state.
func (v *VersionTracker) Compare(s Stamp) Comparison {
	switch {
	case s.Version > v.current.Version:
		return VersionNewer
	case s.Version < v.current.Version:
		return VersionOlder
	case s.ChangeID != v.current.ChangeID:
		return VersionForked
	default:
		return VersionSame
	}
}

// Offer judges a stamp and makes it current when it is newer. The caller puts
// the configuration in force exactly on VerdictPutInForce.
func (v *VersionTracker) Offer(s Stamp) Comparison {
	verdict := v.Compare(s)
	if verdict == VersionNewer {
		v.current = s
	}
	v.Observe(s.Version)
	return verdict
}

// Observe records a version that is in force at another instance.
func (v *VersionTracker) Observe(version int64) { v.highest = max(v.highest, version) }

// Next returns the version of a change that follows a stored version. It
// exceeds every version heard of, so that a change made after the store was
// restored to an older state is still newer everywhere.
func (v *VersionTracker) Next(stored int64) int64 {
	return max(stored, v.current.Version, v.highest) + 1
}
