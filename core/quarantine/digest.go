package quarantine

import (
	"encoding/base64"
	"strings"
)

const (
	// digestPrefix begins every digest. Ids of callers' parts that begin with it are
	// hashed.
	digestPrefix = "="
	// headBytes and contentBytes are the lengths of the two hashes in a digest.
	headBytes    = 6
	contentBytes = 15
)

// Digest returns the id of a whole request, by which repeats of it are recognised. It
// counts as the last part of its prompt, also where the request has no prompt. head
// is a hash of what is known of the request without reading its body, content one of
// everything that identifies it.
func Digest(head, content [32]byte) string {
	return DigestHead(head) + base64.RawURLEncoding.EncodeToString(content[:contentBytes])
}

// DigestHead returns the beginning of the digests of all requests with the same head.
func DigestHead(head [32]byte) string {
	return digestPrefix + base64.RawURLEncoding.EncodeToString(head[:headBytes])
}

// IsDigest reports whether the id of a part is the digest of a whole request.
func IsDigest(part string) bool { return strings.HasPrefix(part, digestPrefix) }

// headOf returns the DigestHead of a digest.
func headOf(digest string) string {
	return digest[:min(len(digest), len(digestPrefix)+base64.RawURLEncoding.EncodedLen(headBytes))]
}

// Parts returns the parts by which a request is known: the ids of its prompt's shared
// parts, of which it keeps the first ones and hashes long ones, and its digest, which
// may be "" while it is not needed.
func Parts(shared []string, digest string) []string {
	if len(shared) >= maxParts {
		shared = shared[:maxParts-1]
	}
	out := make([]string, 0, len(shared)+1)
	for _, id := range shared {
		if IsDigest(id) {
			id = hashedID(id)
		}
		out = append(out, id)
	}
	out = normalise(out)
	if digest != "" {
		out = append(out, digest)
	}
	return out
}

// digest returns the victim's digest, or "".
func (v Victim) digest() string {
	if n := len(v.Parts); n > 0 && IsDigest(v.Parts[n-1]) {
		return v.Parts[n-1]
	}
	return ""
}

// content returns what tells a victim from requests that are not the same: its digest,
// or its id where the digest is not known.
func (v Victim) content() string {
	if digest := v.digest(); digest != "" {
		return digest
	}
	return string(v.Request)
}

// TracksAny reports whether Tracks is true for any head.
func (d *Detector) TracksAny() bool { return len(d.heads) > 0 }

// Tracks reports whether anything is known of a request whose digest begins with head,
// so that its whole digest is needed.
func (d *Detector) Tracks(head string) bool { return d.heads[head] }

// track makes Tracks true for the digest of a victim, if it has one.
func (d *Detector) track(v Victim) {
	if digest := v.digest(); digest != "" {
		d.heads[headOf(digest)] = true
	}
}

// updateHeads drops the heads of digests of which nothing is known any more.
func (d *Detector) updateHeads() {
	clear(d.heads)
	for part := range d.open {
		if IsDigest(part) {
			d.heads[headOf(part)] = true
		}
	}
	for part := range d.verdicts {
		if IsDigest(part) {
			d.heads[headOf(part)] = true
		}
	}
}
