package gateway

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/bramleywick/bramleywick/core/call"
)

// BenchmarkDigest measures what the digest of a request costs, and its head, which is
// all that a request costs while nothing is known of requests like it.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 1 << 20, 8 << 20} {
		p := &proxyRequest{
			r:    httptest.NewRequest("POST", "/noti510/bo33/21/186d?page=3", nil),
			req:  call.Request{Member: "member", Model: "m", PromptTokens: 12500, OutputTokens: 400, Parts: []call.Part{{ID: "672627a6b520", Tokens: 5755}, {ID: "7471286e2602", Tokens: 6745}}},
			body: &body{first: bytes.Repeat([]byte{'x'}, size)},
		}
		b.Run(fmt.Sprintf("whole/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.digest = requestDigest{}
				p.wholeDigest()
			}
		})
		b.Run(fmt.Sprintf("head/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.digest = requestDigest{}
				p.digestHead()
			}
		})
	}
}
