package quarantine

import (
	"encoding/base64"
)

const (
	// digestPrefix begins every digest.
	digestPrefix = "="
	// headBytes and contentBytes are the lengths of the two hashes in a digest.
	headBytes    = 6
	contentBytes = 15
)

// Digest returns the id of a whole request, by which repeats of it are recognised. head
// is a hash of what is known of the request without reading its body, content one of
// everything that identifies it.
func Digest(head, content [32]byte) string {
	return DigestHead(head) + base64.RawURLEncoding.EncodeToString(content[:contentBytes])
}

// DigestHead returns the beginning of the digests of all requests with the same head.
func DigestHead(head [32]byte) string {
	return digestPrefix + base64.RawURLEncoding.EncodeToString(head[:headBytes])
}
