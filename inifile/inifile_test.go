package inifile_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/inifile"
)

// TestSyntaxFaults guards against a syntax error that is not reported or is
// reported on the wrong line. A repeated key would silently replace the other.
func TestSyntaxFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"repeated key", "[a b]\nx = 1\nx = 2\n", `f:3: key "x" is already set on line 2`},
		{"repeated section", "[a b]\n\n[a  b]\n", `f:3: section [a b] is already declared on line 1`},
		{"not an assignment", "[a]\nwords\n", `f:2: "words" is not an assignment; expected key = value`},
		{"key before a section", "x = 1\n", `f:1: x stands before any section`},
		{"broken header", "[a\n", `f:1: "[a" is not a section header`},
		{"multi-line value", "[a]\nx = `1\n", `f:2: x has a quoted value`},
		{"control byte", "[a]\nx = \x00\n", `f:2: the line has bytes that are not text`},
		{"every fault", "x\n[a\n", "f:2:"},
	}
	Convey("Each fault is reported with its line", t, func() {
		for _, c := range cases {
			_, err := inifile.Parse("f", []byte(c.text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}

// FuzzParse guards against a panic, and against text whose keys the line
// scanner and the INI library read differently.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[a b]\nx = 1 ; note\n# c\n[c]\ny = \"q\"\r\n"))
	f.Add([]byte("[a.b]\nx = %(y)s\\\ny==\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := inifile.Parse("f", text)
		if err != nil {
			return
		}
		lines := strings.Split(string(text), "\n")
		for _, s := range file.Sections {
			for _, k := range s.Keys {
				if !strings.Contains(lines[k.Line-1], k.Name) || !strings.Contains(lines[k.Line-1], k.Value) {
					t.Fatalf("key %q = %q is not on line %d", k.Name, k.Value, k.Line)
				}
			}
		}
	})
}
