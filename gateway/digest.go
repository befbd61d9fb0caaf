package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/bramleywick/bramleywick/core/quarantine"
)

// requestDigest identifies requests that are the same but for their id: it is made of
// the method, the host, the path with its query, the member, what the caller declares
// of the prompt, and the body. It is the same at all instances.
type requestDigest struct {
	// head and whole are "" until they are needed.
	head, whole string
}

// digestHead returns the beginning of the request's digest, which takes no reading of
// the body.
func (p *proxyRequest) digestHead() string {
	if p.digest.head == "" {
		p.digest.head = quarantine.DigestHead(p.headHash())
	}
	return p.digest.head
}

// wholeDigest returns the request's digest.
func (p *proxyRequest) wholeDigest() string {
	if p.digest.whole != "" {
		return p.digest.whole
	}
	head := p.headHash()
	h := sha256.New()
	_, _ = h.Write(head[:])
	for _, piece := range p.body.pieces() {
		// A hash returns no error.
		_, _ = h.Write(piece)
	}
	var content [sha256.Size]byte
	h.Sum(content[:0])
	p.digest.whole = quarantine.Digest(head, content)
	return p.digest.whole
}

// headHash returns the hash of everything but the body's bytes. Each field is preceded
// by its length, so that no two requests have the same input.
func (p *proxyRequest) headHash() (out [sha256.Size]byte) {
	h := sha256.New()
	writeField(h, p.r.Method)
	writeField(h, p.r.Host)
	writeField(h, p.r.RequestURI)
	writeField(h, string(p.req.Member))
	writeField(h, string(p.req.Model))
	writeNumber(h, p.req.PromptTokens)
	writeNumber(h, p.req.OutputTokens)
	writeNumber(h, len(p.req.Parts))
	for _, part := range p.req.Parts {
		writeField(h, part.ID)
		writeNumber(h, part.Tokens)
	}
	length := 0
	if p.body != nil {
		length = p.body.len()
	}
	writeNumber(h, length)
	h.Sum(out[:0])
	return out
}

func writeField(h hash.Hash, field string) {
	writeNumber(h, len(field))
	_, _ = h.Write([]byte(field))
}

func writeNumber(h hash.Hash, n int) {
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(n)))
}
