package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/settings"
)

const valid = `[instance]
id = entry-1
data_centre = a
balancer_delay = 5s

[listen]
callers = 10.0.0.1:8080
operators = 10.0.0.1:8081

[platform]
url = http://10.0.0.9:7000

[operators]
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
`

// TestFaults guards against settings that are accepted and fail later, and
// against a fault reported without its file, its line or what was expected.
func TestFaults(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{"id = entry-1", "", "f:1: [instance] lacks id; expected the instance's name"},
		{"id = entry-1", "id = entry 1", `f:2: id = "entry 1" is not valid`},
		{"id = entry-1", "idd = entry-1", `f:2: unknown key "idd" in [instance]; expected one of`},
		{"balancer_delay = 5s", "balancer_delay = 5", "f:4: balancer_delay = \"5\" is not valid; expected a duration with a unit"},
		{"balancer_delay = 5s", "balancer_delay = 1h", "f:4: balancer_delay = \"1h\" is not valid; expected a duration from 0s to 5m0s"},
		{"balancer_delay = 5s", "drain_limit = -1s", "f:4: drain_limit"},
		{"callers = 10.0.0.1:8080", "callers = entry:8080", "f:7: callers = \"entry:8080\" is not valid; expected an IP address with a port"},
		{"callers = 10.0.0.1:8080", "callers = 10.0.0.1:8081", "f:8: operators = \"10.0.0.1:8081\" is not valid; expected an address of its own"},
		{"url = http://10.0.0.9:7000", "url = 10.0.0.9:7000", "f:11: url"},
		{"url = http://10.0.0.9:7000", "url = http://10.0.0.9:7000\nreads_per_second = 0", "f:12: reads_per_second"},
		{"[operators]", "[operator]", "f:13: unknown section [operator]"},
		{"[operators]", "[listen two]", "f:13: unknown section [listen two]"},
		{"key_sha256 = aa", "key_sha256 = zz", "f:14: key_sha256"},
		{"key_sha256 = ", "key_sha256_file = /nonexistent/", "f:14: key_sha256_file"},
		{"[platform]\nurl = http://10.0.0.9:7000\n", "", "f:1: section [platform] is missing"},
	}
	Convey("The valid settings have no fault", t, func() {
		_, err := settings.Parse("f", []byte(valid))
		So(err, ShouldBeNil)
	})
	Convey("Each fault is reported with its line", t, func() {
		for _, c := range cases {
			text := strings.Replace(valid, c.old, c.new, 1)
			So(text, ShouldNotEqual, valid)
			_, err := settings.Parse("f", []byte(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
	Convey("All faults are reported at once", t, func() {
		_, err := settings.Parse("f", []byte("[instance]\n[listen]\nadmin = x\n"))
		So(len(strings.Split(err.Error(), "\n")), ShouldEqual, 4)
	})
}

// TestOverrides guards against a flag or variable that is not applied, or whose
// fault is attributed to the file.
func TestOverrides(t *testing.T) {
	load := func(args ...string) (*settings.Settings, error) {
		path := filepath.Join(t.TempDir(), "s.ini")
		So(os.WriteFile(path, []byte(valid), 0o600), ShouldBeNil)
		flags := flag.NewFlagSet("run", flag.ContinueOnError)
		overrides := settings.RegisterFlags(flags)
		So(ff.Parse(flags, args, ff.WithEnvVarPrefix(settings.EnvPrefix)), ShouldBeNil)
		return settings.Load(path, overrides)
	}
	Convey("A flag goes before the environment, which goes before the file", t, func() {
		t.Setenv("BRAMLEYWICK_INSTANCE_ID", "from-env")
		t.Setenv("BRAMLEYWICK_LISTEN_PEERS", "127.0.0.1:9002")
		s, err := load("-instance.id", "from-flag")
		So(err, ShouldBeNil)
		So(string(s.Instance), ShouldEqual, "from-flag")
		So(s.PeerListen, ShouldEqual, "127.0.0.1:9002")
		So(string(s.DataCentre), ShouldEqual, "a")
	})
	Convey("A fault names the flag", t, func() {
		_, err := load("-listen.admin", "nowhere")
		So(err.Error(), ShouldStartWith, "flag -listen.admin or BRAMLEYWICK_LISTEN_ADMIN: admin")
	})
}
