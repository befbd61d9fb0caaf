package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/config"
	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/core/sched"
	"github.com/bramleywick/bramleywick/ctl"
	"github.com/bramleywick/bramleywick/metrics"
	"github.com/bramleywick/bramleywick/operator"
	standin "github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/store"
)

const operatorKey = "operator-key"

var (
	first  = "[member shea]\nshare = 1\nkey_sha256 = " + declare.HashKey("k") + "\n"
	second = strings.Replace(first, "share = 1", "share = 2", 1)
)

// fakes implements the scheduler, the counters and the version list.
type fakes struct{ keeper *config.Keeper }

func (f *fakes) Now() fleet.Instant { return 0 }
func (f *fakes) Status() sched.Status {
	return sched.Status{Members: []sched.MemberStatus{{ID: "shea"}}}
}
func (f *fakes) Refusals() []metrics.Count { return []metrics.Count{{Label: "queue_full", Value: 4}} }
func (f *fakes) Retries() []metrics.Count  { return nil }
func (f *fakes) VersionsInForce() []config.InstanceVersion {
	return []config.InstanceVersion{{Instance: "i1", Version: f.keeper.Version()}, {Instance: "i2"}}
}

// env is an instance's operators' listener with a stand-in for the platform.
type env struct {
	t       *testing.T
	service *standin.Server
	url     string
	// cut closes the connection of every Apply call after the call was handled.
	cut bool
}

func newEnv(t *testing.T) *env {
	e := &env{t: t, service: standin.New()}
	kv := httptest.NewServer(e.service.Handler())
	t.Cleanup(kv.Close)
	f := &fakes{keeper: config.NewKeeper(config.Options{Store: store.NewClient(kv.URL, kv.Client())})}
	handler := operator.NewHandler(operator.Options{
		Instance: "i1", KeyHashes: []string{declare.HashKey(operatorKey)}, Keeper: f.keeper,
		Scheduler: f, Counters: f, Versions: f,
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.cut && strings.HasSuffix(r.URL.Path, "/Apply") {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	e.url = server.URL
	return e
}

func (e *env) file(text string) string {
	path := filepath.Join(e.t.TempDir(), "f.ini")
	So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
	return path
}

// run executes a command line and returns its exit code and both outputs.
func (e *env) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := ctl.Run(context.Background(), append([]string{"-url", e.url, "-key", operatorKey}, args...), &out, &out)
	return code, out.String()
}

// closedPort returns the URL of a port on which nothing listens.
func closedPort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

// TestExitCodes guards against an exit code that misleads a script about
// whether a change was accepted.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args func(e *env) []string
		code int
		want string
	}{
		{"no subcommand", func(*env) []string { return nil }, ctl.ExitUsage, "plan"},
		{"unknown subcommand", func(*env) []string { return []string{"bury"} }, ctl.ExitUsage, `unknown subcommand "bury"`},
		{"unknown flag", func(*env) []string { return []string{"plan", "-x"} }, ctl.ExitUsage, "-x"},
		{"bad format", func(*env) []string { return []string{"-o", "xml", "status"} }, ctl.ExitUsage, "expected table or json"},
		{"missing file", func(*env) []string { return []string{"plan", "/nonexistent"} }, ctl.ExitUsage, "read declaration"},
		{"faults", func(e *env) []string { return []string{"plan", e.file("[member x]\nshare = 0\n")} }, ctl.ExitInvalid, "f.ini:2: member x: share 0 is not positive; expected"},
		{"faults as JSON", func(e *env) []string { return []string{"-o", "json", "plan", e.file("[x]\n")} }, ctl.ExitInvalid, `"line":1`},
		{"plan", func(e *env) []string { return []string{"plan", "-exit-code", e.file(second)} }, ctl.ExitDiffers, "share: 1 -> 2"},
		{"plan without changes", func(e *env) []string { return []string{"plan", "-exit-code", e.file(first)} }, ctl.ExitOK, "no changes"},
		{"apply", func(e *env) []string { return []string{"apply", e.file(second)} }, ctl.ExitOK, "accepted as version 2"},
		{"apply without changes", func(e *env) []string { return []string{"apply", e.file(first)} }, ctl.ExitOK, "version 1 stays in force"},
		{"apply without changes by force", func(e *env) []string { return []string{"apply", "-force", e.file(first)} }, ctl.ExitOK, "accepted as version 2"},
		{"apply on an old base", func(e *env) []string { return []string{"apply", "-base", "7", e.file(second)} }, ctl.ExitConflict, "nothing was changed"},
		{"apply as the first", func(e *env) []string { return []string{"apply", "-base", "-1", e.file(second)} }, ctl.ExitConflict, "nothing was changed"},
		{"apply and wait", func(e *env) []string {
			return []string{"apply", "-wait", "-wait-limit", "50ms", e.file(second)}
		}, ctl.ExitNotInForce, "i2"},
		{"platform down", func(e *env) []string {
			e.service.SetFaults(standin.Faults{Down: true})
			return []string{"apply", e.file(second)}
		}, ctl.ExitUnavailable, "nothing was changed"},
		{"instance down", func(e *env) []string {
			e.url = closedPort()
			return []string{"revert", "1"}
		}, ctl.ExitUnavailable, "refused"},
		{"lost answer", func(e *env) []string {
			e.cut = true
			return []string{"apply", "-change-id", "c9", e.file(second)}
		}, ctl.ExitOutcomeUnknown, "-change-id c9"},
		{"wrong key", func(*env) []string { return []string{"-key", "x", "status"} }, ctl.ExitUnauthenticated, "unauthenticated"},
		{"unknown version", func(*env) []string { return []string{"show", "9"} }, ctl.ExitNotFound, "version 9"},
		{"no membership", func(*env) []string { return []string{"drain", "e1"} }, ctl.ExitFailed, "membership"},
		{"revert", func(*env) []string { return []string{"revert", "1"} }, ctl.ExitOK, "accepted as version 2"},
		{"history", func(*env) []string { return []string{"history"} }, ctl.ExitOK, "REVERT-OF"},
		{"diff", func(*env) []string { return []string{"diff", "1"} }, ctl.ExitOK, "no changes"},
		{"show", func(*env) []string { return []string{"show"} }, ctl.ExitOK, first},
		{"status", func(*env) []string { return []string{"status"} }, ctl.ExitOK, "queue_full  4"},
		{"top", func(*env) []string { return []string{"top", "-n", "1"} }, ctl.ExitOK, "shea"},
		{"orders", func(*env) []string { return []string{"orders"} }, ctl.ExitFailed, "keeps no orders"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEnv(t)
			Convey(c.name, t, func() {
				code, out := e.run("apply", e.file(first))
				So(out, ShouldContainSubstring, "accepted as version 1")
				So(code, ShouldEqual, ctl.ExitOK)
				code, out = e.run(c.args(e)...)
				So(out, ShouldContainSubstring, c.want)
				So(code, ShouldEqual, c.code)
			})
		})
	}
}

// TestLostAnswerIsSettled guards against a second version when a command is
// retried with the same change ID after a lost answer, as the command advises.
func TestLostAnswerIsSettled(t *testing.T) {
	e := newEnv(t)
	Convey("The same change id finds the first result", t, func() {
		path := e.file(first)
		e.cut = true
		code, _ := e.run("apply", "-change-id", "c1", path)
		So(code, ShouldEqual, ctl.ExitOutcomeUnknown)
		e.cut = false
		code, out := e.run("apply", "-change-id", "c1", path)
		So(code, ShouldEqual, ctl.ExitOK)
		So(out, ShouldContainSubstring, "accepted as version 1 ")
	})
}

// TestAuthorities guards against a listener whose certificate is not verified.
func TestAuthorities(t *testing.T) {
	e := newEnv(t)
	secure := httptest.NewUnstartedServer(http.NotFoundHandler())
	secure.Config.ErrorLog = log.New(io.Discard, "", 0)
	secure.StartTLS()
	defer secure.Close()
	Convey("Only a certificate signed by a named authority is trusted", t, func() {
		ca := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw})
		code, out := e.run("-url", secure.URL, "apply", "-base", "0", e.file(first))
		So(code, ShouldEqual, ctl.ExitUnavailable)
		So(out, ShouldContainSubstring, "certificate")
		_, out = e.run("-url", secure.URL, "-ca-file", e.file(string(ca)), "status")
		So(out, ShouldContainSubstring, "404")
		_, out = e.run("-url", secure.URL, "-ca-file", e.file("x"), "status")
		So(out, ShouldContainSubstring, "holds no certificate")
	})
}

// TestJSON guards against output that a script cannot decode.
func TestJSON(t *testing.T) {
	e := newEnv(t)
	Convey("Each subcommand prints one document", t, func() {
		for _, args := range [][]string{
			{"apply", "-o", "json", e.file(first)}, {"-o", "json", "plan", e.file(second)}, {"-o", "json", "status"},
			{"-o", "json", "history"}, {"-o", "json", "show"}, {"-o", "json", "diff", "1"}, {"-o", "json", "top", "-n", "1"},
		} {
			code, out := e.run(args...)
			So(code, ShouldEqual, ctl.ExitOK)
			var document map[string]any
			So(json.Unmarshal([]byte(out), &document), ShouldBeNil)
			So(document, ShouldNotBeEmpty)
		}
	})
}
