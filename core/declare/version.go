package declare

// Stamp identifies one accepted configuration.
type Stamp struct {
	Version int64
	// ChangeID is unique per change. Two stamps with one version and different
	// change IDs come from two histories, for example after the store was
	// restored.
	ChangeID string
}

// Comparison is the result of comparing an offered configuration with the one
// in force.
type Comparison string

// Results of VersionTracker.Compare and VersionTracker.Offer.
const (
	// VersionNewer means that the offered version is newer and is to be put in
	// force.
	VersionNewer Comparison = "put_in_force"
	// VersionSame means that the offered version is already in force.
	VersionSame Comparison = "same"
	// VersionOlder means that a newer version is in force, for example after a
	// stale read, a restored store or an offer by a peer that lags behind.
	VersionOlder Comparison = "older"
	// VersionForked means that the version in force was assigned twice, to two
	// different changes.
	VersionForked Comparison = "forked"
)

// VersionTracker enforces that the version in force only increases (invariant
// 9). The zero value has no version in force.
type VersionTracker struct {
	current Stamp
	// highestSeen is the highest version observed, in force here or elsewhere.
	highestSeen int64
}

// Current returns the stamp in force. Its version is 0 if there is none.
func (v *VersionTracker) Current() Stamp { return v.current }

// Compare compares a stamp with the one in force and changes nothing.
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

// Offer compares a stamp with the one in force and makes it current if it is
// newer. The caller must put the configuration in force if and only if the
// result is VersionNewer.
func (v *VersionTracker) Offer(s Stamp) Comparison {
	result := v.Compare(s)
	if result == VersionNewer {
		v.current = s
	}
	v.Observe(s.Version)
	return result
}

// Observe records a version that is in force at another instance.
func (v *VersionTracker) Observe(version int64) { v.highestSeen = max(v.highestSeen, version) }

// Next returns the version for a change that is based on the stored version. It
// exceeds every version observed, so that a change made after the store was
// restored to an older state is still newer everywhere.
func (v *VersionTracker) Next(stored int64) int64 {
	return max(stored, v.current.Version, v.highestSeen) + 1
}
