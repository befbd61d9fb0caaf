package membership

import (
	"slices"

	"github.com/bramleywick/bramleywick/core/fleet"
)

// FNV-1a parameters and the multipliers of the splitmix64 finaliser, which is
// needed because the high bits of FNV-1a are poorly mixed.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Hash returns a 64-bit hash of the parts that is the same on every instance.
func Hash(parts ...string) uint64 {
	var h uint64 = fnvOffset
	for _, part := range parts {
		for i := 0; i < len(part); i++ {
			h = (h ^ uint64(part[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime
	}
	h = (h ^ h>>30) * mixFirst
	h = (h ^ h>>27) * mixSecond
	return h ^ h>>31
}

// Owner returns the instance to which rendezvous hashing assigns a key, or ""
// without candidates. Removing a candidate reassigns only its own keys.
func Owner(key string, candidates []fleet.InstanceID) fleet.InstanceID {
	var best fleet.InstanceID
	var bestHash uint64
	for _, id := range candidates {
		h := Hash(key, string(id))
		if best == "" || h > bestHash || (h == bestHash && id < best) {
			best, bestHash = id, h
		}
	}
	return best
}

// BalancedOwners returns the owner of each key by rendezvous hashing with at
// most ceil(keys/candidates) keys per instance. Without that limit one of 35
// instances had five times the mean. Removing a candidate reassigns its own
// keys and the few that exceed the limit of their new owner. Without candidates
// the owners are "".
func BalancedOwners(keys []string, candidates []fleet.InstanceID) []fleet.InstanceID {
	owners := make([]fleet.InstanceID, len(keys))
	if len(candidates) == 0 {
		return owners
	}
	limit := (len(keys) + len(candidates) - 1) / len(candidates)
	load := map[fleet.InstanceID]int{}
	free := slices.Clone(candidates)
	for i, key := range keys {
		owner := Owner(key, free)
		owners[i] = owner
		load[owner]++
		if load[owner] == limit {
			free = slices.DeleteFunc(free, func(id fleet.InstanceID) bool { return id == owner })
		}
	}
	return owners
}

// TopOwners returns up to n instances to which rendezvous hashing assigns a
// key, best first.
func TopOwners(key string, n int, candidates []fleet.InstanceID) []fleet.InstanceID {
	rest := slices.Clone(candidates)
	var owners []fleet.InstanceID
	for len(owners) < n && len(rest) > 0 {
		owner := Owner(key, rest)
		owners = append(owners, owner)
		rest = slices.DeleteFunc(rest, func(id fleet.InstanceID) bool { return id == owner })
	}
	return owners
}
