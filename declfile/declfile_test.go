package declfile_test

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/core/declare"
	"github.com/bramleywick/bramleywick/declfile"
)

var hash = declare.HashKey("key")

// valid is a declaration that each fault case breaks in one place.
var valid = `[data_centre a]
region = north

[member shea]
share = 2.5
key_sha256 = ` + hash + `
kinds = ledger, payout

[kind ledger]
group = language
first_token = 1s
token_gap = 74ms
deadline = 10m
max_prompt_tokens = 1000
max_output_tokens = 100
repeatable = true

[kind payout]
group = accounts
deadline = 5s
repeatable = false

[group accounts]
type = service

[group language]
type = engine
model = ledger-7b
adapter = levies
model_version = 3
roles = fixed
role_change_weight = 2

[upstream e1]
group = language
address = 10.0.0.1:9000
data_centre = a
role = prefill

[upstream s1]
group = accounts
address = 10.0.0.2:9000
data_centre = a

[route /payouts/]
kind = payout
`

// TestFaults guards against accepting an invalid declaration, and against
// reporting a fault without its line.
func TestFaults(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{"region = north", "", "f:1: [data_centre a] lacks region"},
		{"share = 2.5", "share = 0", "f:5: member shea: share 0 is not positive"},
		{"share = 2.5", "share = NaN", `f:5: share = "NaN" is not valid`},
		{"key_sha256 = " + hash, "key_sha256 = " + strings.ToUpper(hash), "f:6: member shea"},
		{"key_sha256 = " + hash, "key_sha256 = " + hash + "," + hash, "already belongs to member shea"},
		{"kinds = ledger, payout", "kinds = ledger, ledger", `f:7: member shea: kind "ledger" is listed twice`},
		{"kinds = ledger, payout", "kinds = nothing", `f:7: member shea: kind "nothing" is not declared`},
		{"deadline = 10m", "deadline = 1s", "f:13: kind ledger: deadline 1s ends before"},
		{"deadline = 10m", "deadline = 10", `f:13: deadline = "10" is not valid; expected a duration`},
		{"max_prompt_tokens = 1000", "", "f:9: kind ledger: max_prompt_tokens 0 is out of range"},
		{"repeatable = false", "", "f:18: [kind payout] has no valid repeatable"},
		{"deadline = 5s", "deadline = 5s\nfirst_token = 1s", "f:21: kind payout: first_token applies to engines only"},
		{"type = service", "type = plain", `f:24: group accounts: type "plain" is not known`},
		{"model = ledger-7b", "", `group language: model "" is not valid`},
		{"roles = fixed", "roles = some", `f:31: roles = "some" is not valid`},
		{"role_change_weight = 2", "role_change_weight = -1", "f:32: group language"},
		{"role_change_weight = 2", "cache_block_tokens = 1", "f:32: group language"},
		{"address = 10.0.0.1:9000", "address = 10.0.0.2:9000", "already belongs to upstream e1"},
		{"address = 10.0.0.1:9000", "address = host:9000", "f:36: address"},
		{"address = 10.0.0.1:9000", "address = 10.0.0.1:0", "f:36: upstream e1: address"},
		{"role = prefill", "role = chief", `f:38: role = "chief" is not valid`},
		{"[upstream s1]", "[upstream s1]\nrole = decode", "f:41: upstream s1: role decode applies to engines only"},
		{"group = accounts\naddress", "group = none\naddress", `f:41: upstream s1: group "none" is not declared`},
		{"data_centre = a\nrole", "data_centre = b\nrole", `f:37: upstream e1: data centre "b" is not declared`},
		{"[route /payouts/]", "[route payouts]", "f:45: route payouts"},
		{"[route /payouts/]", "[route /v1/payouts]", "covers the completions interface"},
		{"kind = payout", "kind = ledger", `f:46: route /payouts/: kind "ledger" is served by engines`},
		{"[member shea]", "[member sh/ea]", "f:4: member sh/ea"},
		{"[member shea]", "[memer shea]", "f:4: unknown section [memer shea]"},
		{"share = 2.5", "shares = 2.5", `f:5: unknown key "shares" in [member shea]; expected one of key_sha256, kinds, share`},
	}
	Convey("The valid text has no fault", t, func() {
		_, err := declfile.Parse("f", []byte(valid))
		So(err, ShouldBeNil)
	})
	Convey("Each fault is reported with its line", t, func() {
		for _, c := range cases {
			text := strings.Replace(valid, c.old, c.new, 1)
			So(text, ShouldNotEqual, valid)
			_, err := declfile.Parse("f", []byte(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
	Convey("Faults of decoding and of validation are reported together, each once", t, func() {
		text := strings.Replace(valid, "share = 2.5", "share = x", 1)
		text = strings.Replace(text, "deadline = 10m", "deadline = 1s", 1)
		text = strings.Replace(text, "group = accounts\n", "", 1)
		_, err := declfile.Parse("f", []byte(text))
		lines := strings.Split(err.Error(), "\n")
		So(len(lines), ShouldEqual, 3)
		So(lines[0], ShouldStartWith, "f:5: share")
		So(lines[1], ShouldStartWith, "f:13: kind ledger: deadline")
		So(lines[2], ShouldStartWith, "f:18: [kind payout] lacks group")
	})
	Convey("Remarks name what is allowed but probably not meant", t, func() {
		text := strings.Replace(valid, "deadline = 10m", "deadline = 5s", 1)
		d, err := declfile.Parse("f", []byte(text))
		So(err, ShouldBeNil)
		So(declfile.Lint("f", []byte(text), d).Error(), ShouldContainSubstring, "f:13: kind ledger: an answer of max_output_tokens")
	})
}

// TestDiff guards against a change that is not shown to operators.
func TestDiff(t *testing.T) {
	Convey("A diff names added, changed and removed items", t, func() {
		old, err := declfile.Parse("f", []byte(valid))
		So(err, ShouldBeNil)
		text := strings.Replace(valid, "[route /payouts/]\nkind = payout\n", "[route /p/]\nkind = payout\n", 1)
		text = strings.Replace(text, "role = prefill", "", 1)
		next, err := declfile.Parse("f", []byte(text))
		So(err, ShouldBeNil)
		var lines []string
		for _, c := range declare.Diff(old, next) {
			lines = append(lines, c.String())
		}
		So(lines, ShouldResemble, []string{
			"~ upstream e1: role prefill -> (default)", "+ route /p/: kind payout", "- route /payouts/: kind payout",
		})
		So(declare.Diff(next, next), ShouldBeEmpty)
	})
}

// FuzzRoundTrip guards against a declaration whose canonical text has another
// meaning or is refused.
func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := declfile.Parse("f", text)
		if err != nil {
			return
		}
		canonical := declfile.Format(d)
		again, err := declfile.Parse("f", canonical)
		if err != nil {
			t.Fatalf("canonical text refused: %v\n%s", err, canonical)
		}
		if changes := declare.Diff(d, again); len(changes) > 0 {
			t.Fatalf("canonical text differs: %v", changes)
		}
		if !reflect.DeepEqual(declfile.Format(again), canonical) || bytes.Contains(canonical, []byte("\n\n\n")) {
			t.Fatal("canonical text is not stable")
		}
	})
}
