package claim

import (
	"encoding/hex"
	"strings"
	"time"
)

// Lifetimes of keys and claims.
const (
	// MaxTimedKeyAge is the age up to which a key that contains its time of
	// creation (UUID version 7) is accepted.
	MaxTimedKeyAge = time.Hour
	// ClockSkew bounds the difference between the clocks of callers, instances
	// and the platform.
	ClockSkew = 5 * time.Minute
	// TimedClaimLifetime is the minimum lifetime of the claim of such a key. A
	// caller's clock may be ahead by ClockSkew when it creates the key.
	TimedClaimLifetime = MaxTimedKeyAge + 2*ClockSkew
	// OpaqueClaimLifetime is the minimum lifetime of the claim of any other
	// key.
	OpaqueClaimLifetime = 24 * time.Hour
)

// ValidKey reports whether a key may be used: 1 to MaxKeyBytes characters of
// printable ASCII without spaces.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

const uuidLength = 36

// CreatedAt returns the time of creation that a UUID of version 7 contains. ok
// is false for any other key.
func CreatedAt(key string) (at time.Time, ok bool) {
	if len(key) != uuidLength || key[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}
