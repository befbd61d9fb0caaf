package gateway

import (
	"crypto/sha256"
	"encoding/binary"

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
func (p *proxyRequest) headHash() [sha256.Size]byte {
	field := func(in []byte, text string) []byte {
		return append(binary.AppendUvarint(in, uint64(len(text))), text...)
	}
	number := func(in []byte, n int) []byte { return binary.AppendUvarint(in, uint64(n)) }
	in := make([]byte, 0, 512)
	in = field(in, p.r.Method)
	in = field(in, p.r.Host)
	in = field(in, p.r.RequestURI)
	in = field(in, string(p.req.Member))
	in = field(in, string(p.req.Model))
	in = number(in, p.req.PromptTokens)
	in = number(in, p.req.OutputTokens)
	in = number(in, len(p.req.Parts))
	for _, part := range p.req.Parts {
		in = field(in, part.ID)
		in = number(in, part.Tokens)
	}
	length := 0
	if p.body != nil {
		length = p.body.len()
	}
	return sha256.Sum256(number(in, length))
}
