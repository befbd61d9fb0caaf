package dev_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/dev"
)

// post sends one caller's request and returns its status and body.
func post(address, path, body string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer "+dev.MemberKey)
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, string(raw)
}

// TestWholePath guards against a fault anywhere between a caller and the upstreams,
// and between an operator and the configuration in force.
func TestWholePath(t *testing.T) {
	Convey("With an instance and its stand-ins", t, func() {
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		defer stop()
		d, err := dev.Start(ctx, ctx, zap.NewNop(), "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
		So(err, ShouldBeNil)

		Convey("a streamed answer arrives complete and in order", func() {
			status, body := post(d.Addresses.Callers, "/v1/completions", `{"prompt":"one two","max_tokens":3,"stream":true}`)
			So(status, ShouldEqual, http.StatusOK)
			So(strings.Count(body, "data: "), ShouldEqual, 5)
			So(strings.Index(body, `"one "`), ShouldBeLessThan, strings.Index(body, `"two "`))
			So(body, ShouldEndWith, "data: [DONE]\n\n")
		})
		Convey("a call reaches the plain service once", func() {
			status, body := post(d.Addresses.Callers, "/accounts/balance", `{"lot":7}`)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldContainSubstring, `"runs":1`)
		})
		Convey("an unknown path is refused as not run", func() {
			status, body := post(d.Addresses.Callers, "/other", `{}`)
			So(status, ShouldEqual, http.StatusForbidden)
			So(body, ShouldContainSubstring, `"outcome":"not_run"`)
		})
	})
}
