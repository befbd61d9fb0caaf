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

// keptTexts is how many past declarations are kept to answer with a difference:
// at 840 changes a day, a peer that missed some minutes still gets one.
const keptTexts = 4

// maxText bounds an unpacked declaration.
const maxText = 1 << 20

// ConfigArgs asks for the configuration in force.
type ConfigArgs struct {
	// Have is the version in force at the asking peer, or 0, and Digest the
	// hash of its text.
	Have   int64
	Digest uint64
}

// ConfigReply is the configuration in force. Its text is the first Prefix
// bytes of the text that the asking peer has, the unpacked Middle, and the last
// Suffix bytes of that text. Most changes touch one member, so that this
// saves most of the bytes.
type ConfigReply struct {
	config.Stamp
	// Recent are the stamps of earlier versions, newest first.
	Recent         []config.Stamp
	Prefix, Suffix int
	Middle         []byte // packed with DEFLATE
	// Digest is the hash of the whole text.
	Digest uint64
}

// texts keeps recent declarations. Safe for concurrent use.
type texts struct {
	mu   sync.Mutex
	kept []config.Record
}

func (t *texts) keep(r config.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.kept); n > 0 && t.kept[n-1].Version >= r.Version {
		return
	}
	t.kept = append(t.kept, r)
	if len(t.kept) > keptTexts {
		t.kept = t.kept[1:]
	}
}

func (t *texts) find(version int64, digest uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.kept {
		if r.Version == version && digestOf(r.Text) == digest {
			return r.Text
		}
	}
	return ""
}

func digestOf(text string) uint64 { return membership.Hash(text) }

// difference returns how many bytes at the start and at the end of text are
// those of base.
func difference(base, text string) (prefix, suffix int) {
	limit := min(len(base), len(text))
	for prefix < limit && base[prefix] == text[prefix] {
		prefix++
	}
	for suffix < limit-prefix && base[len(base)-1-suffix] == text[len(text)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// pack answers a request with the record in force.
func (t *texts) pack(in ConfigArgs, r config.Record) (ConfigReply, error) {
	out := ConfigReply{Stamp: r.Stamp, Recent: r.Recent, Digest: digestOf(r.Text)}
	out.Prefix, out.Suffix = difference(t.find(in.Have, in.Digest), r.Text)
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

// unpack restores the record from the answer and the text in force here.
func (r ConfigReply) unpack(base string) (config.Record, error) {
	if r.Prefix < 0 || r.Suffix < 0 || r.Prefix > len(base) || r.Suffix > len(base) {
		return config.Record{}, errors.Errorf("configuration version %d: difference does not fit", r.Version)
	}
	middle, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Middle)), maxText+1))
	if err != nil {
		return config.Record{}, errors.Wrapf(err, "unpack configuration version %d", r.Version)
	}
	text := base[:r.Prefix] + string(middle) + base[len(base)-r.Suffix:]
	if len(text) > maxText || digestOf(text) != r.Digest {
		return config.Record{}, errors.Errorf("configuration version %d: text is damaged or too large", r.Version)
	}
	return config.Record{Stamp: r.Stamp, Text: text, Recent: r.Recent}, nil
}
