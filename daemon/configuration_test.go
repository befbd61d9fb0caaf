package daemon_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/settings"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

const (
	operatorKey = "operator-key"
	loopback    = "127.0.0.1:0"
)

func startDaemon(ctx context.Context, store string, id fleet.InstanceID) *daemon.Daemon {
	d := daemon.New(&settings.Settings{
		Instance: id, DataCentre: "a", Platform: store,
		CallerListen: loopback, OperatorListen: loopback, PeerListen: loopback, AdminListen: loopback,
		OperatorKeyHashes: []string{declare.HashKey(operatorKey)}, DrainLimit: time.Second,
	}, zap.NewNop())
	So(d.Start(ctx), ShouldBeNil)
	return d
}

func get(address, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	So(err, ShouldBeNil)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, string(raw)
}

// TestConfigurationReachesCallers guards against an instance that is ready without
// a configuration, does not follow the platform, or accepts an operator's key as
// a member's.
func TestConfigurationReachesCallers(t *testing.T) {
	Convey("With an instance and a platform that is down", t, func() {
		service := standin.New()
		kv := httptest.NewServer(service.Handler())
		defer kv.Close()
		service.SetFaults(standin.Faults{Down: true})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		d := startDaemon(ctx, kv.URL, "i1")
		defer func() { _ = d.Stop() }()

		status, body := get(d.Addresses.Admin, "/readyz", "")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(body, ShouldContainSubstring, "configuration")

		service.SetFaults(standin.Faults{})
		writer := config.NewKeeper(config.Options{Store: store.NewClient(kv.URL, kv.Client())})
		_, err := writer.Apply(ctx, config.Change{ID: "c", File: "f", Text: "[member shea]\nshare = 1\nkey_sha256 = " +
			declare.HashKey("member-key") + ", " + declare.HashKey(operatorKey) + "\n"})
		So(err, ShouldBeNil)
		for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			status, _ = get(d.Addresses.Admin, "/readyz", "")
		}
		So(status, ShouldEqual, http.StatusOK)

		status, _ = get(d.Addresses.Callers, "/v1/models", "member-key")
		So(status, ShouldEqual, http.StatusOK)
		status, _ = get(d.Addresses.Callers, "/v1/models", operatorKey)
		So(status, ShouldEqual, http.StatusUnauthorized)

		_, body = get(d.Addresses.Admin, "/metrics", "")
		So(body, ShouldContainSubstring, "bramleywick_config_version 1")
		So(strings.Contains(body, `bramleywick_platform_calls_total{call="GET /v1/watch",result="unavailable"}`), ShouldBeTrue)
	})
}
