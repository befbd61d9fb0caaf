package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/membership"
)

// maxKeptTexts is the number of recent declarations kept to answer with a
// difference. At 840 changes a day, a peer that missed some minutes still gets
// one.
const maxKeptTexts = 4

// maxTextBytes is the maximum size of an uncompressed declaration.
const maxTextBytes = 1 << 20

// ConfigArgs requests the configuration in force.
type ConfigArgs struct {
	// Have is the version in force at the requesting peer, or 0. Digest is the
	// hash of its text.
	Have   int64
	Digest uint64
}

// ConfigReply is the configuration in force. Its text consists of the first
// Prefix bytes of the requesting peer's text, the decompressed Middle, and the
// last Suffix bytes of the peer's text. Most changes concern one member, so
// that this saves most of the bytes.
type ConfigReply struct {
	config.Stamp
	// Recent are the stamps of earlier versions, newest first.
	Recent         []config.Stamp
	Prefix, Suffix int
	Middle         []byte // packed with DEFLATE
	// Digest is the hash of the whole text.
	Digest uint64
}

// textHistory holds the most recent declarations. It is safe for concurrent
// use.
type textHistory struct {
	mu      sync.Mutex
	records []config.Record
}

// add appends a record with a newer version and drops the oldest beyond
// maxKeptTexts.
func (t *textHistory) add(r config.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.records); n > 0 && t.records[n-1].Version >= r.Version {
		return
	}
	t.records = append(t.records, r)
	if len(t.records) > maxKeptTexts {
		t.records = t.records[1:]
	}
}

// find returns the text of a version if it has the digest, or "".
func (t *textHistory) find(version int64, digest uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.Version == version && digestOf(r.Text) == digest {
			return r.Text
		}
	}
	return ""
}

func digestOf(text string) uint64 { return membership.Hash(text) }

// commonEnds returns the number of leading and trailing bytes that text shares
// with base.
func commonEnds(base, text string) (prefix, suffix int) {
	limit := min(len(base), len(text))
	for prefix < limit && base[prefix] == text[prefix] {
		prefix++
	}
	for suffix < limit-prefix && base[len(base)-1-suffix] == text[len(text)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// pack returns the reply to a request, given the record in force.
func (t *textHistory) pack(in ConfigArgs, r config.Record) (ConfigReply, error) {
	out := ConfigReply{Stamp: r.Stamp, Recent: r.Recent, Digest: digestOf(r.Text)}
	out.Prefix, out.Suffix = commonEnds(t.find(in.Have, in.Digest), r.Text)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return out, errors.Wrap(err, "pack configuration")
	}
	if _, err := io.WriteString(w, r.Text[out.Prefix:len(r.Text)-out.Suffix]); err != nil {
		return out, errors.Wrap(err, "pack configuration")
	}
	if err := w.Close(); err != nil {
		return out, errors.Wrap(err, "pack configuration")
	}
	out.Middle = packed.Bytes()
	return out, nil
}

// unpack restores the record from a reply and the text in force here. It fails
// if the reply does not apply to that text.
func (r ConfigReply) unpack(base string) (config.Record, error) {
	if r.Prefix < 0 || r.Suffix < 0 || r.Prefix > len(base) || r.Suffix > len(base) {
		return config.Record{}, errors.Errorf("configuration version %d: difference does not match the local configuration", r.Version)
	}
	middle, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Middle)), maxTextBytes+1))
	if err != nil {
		return config.Record{}, errors.Wrapf(err, "unpack configuration version %d", r.Version)
	}
	text := base[:r.Prefix] + string(middle) + base[len(base)-r.Suffix:]
	if len(text) > maxTextBytes || digestOf(text) != r.Digest {
		return config.Record{}, errors.Errorf("configuration version %d: text is corrupt or too large", r.Version)
	}
	return config.Record{Stamp: r.Stamp, Text: text, Recent: r.Recent}, nil
}
