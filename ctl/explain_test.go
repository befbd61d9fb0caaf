package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/bramleywick/bramleywick/ctl"
)

// instanceLog is the log of one instance, with a line that is not JSON and one
// of another request.
const instanceLog = `{"level":"info","ts":1772223875203.5,"msg":"attempt","request_id":"51","step":"prefill","result":"answer","took":65}
not json, but 51
{"level":"info","ts":1772223875204,"msg":"attempt","request_id":"510","step":"prefill"}
`

// prefixedLog is the log of another instance, to whose lines a log collector
// prepended the instance's name.
const prefixedLog = `  33.9 front-1 {"level":"warn","ts":1772223875202,"msg":"request refused","request_id":"51","reason":"deadline_unmeetable","queue":370,"error":""}
`

// TestExplain guards against log lines of a request that are omitted or out of
// order, and against lines of another request.
func TestExplain(t *testing.T) {
	Convey("With the logs of two instances", t, func() {
		dir := t.TempDir()
		one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
		So(os.WriteFile(one, []byte(instanceLog), 0o600), ShouldBeNil)
		So(os.WriteFile(two, []byte(prefixedLog), 0o600), ShouldBeNil)
		run := func(args ...string) (int, string, string) {
			var out, errs bytes.Buffer
			code := ctl.Run(context.Background(), append([]string{"explain"}, args...), &out, &errs)
			return code, out.String(), errs.String()
		}
		Convey("the lines of one request are printed in the order of time", func() {
			code, out, _ := run("51", one, two)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, "20:24:35.202  request refused  queue=370  reason=deadline_unmeetable\n"+
				"20:24:35.203  attempt  result=answer  step=prefill  took=65\n")
		})
		Convey("or as they are", func() {
			_, out, _ := run("-o", "json", "51", two)
			So(out, ShouldStartWith, `{"level":"warn"`)
		})
		Convey("a request without lines, a missing file and a missing id are named", func() {
			code, _, errs := run("52", one)
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errs, ShouldContainSubstring, "no line names request 52")
			code, _, errs = run("51", filepath.Join(dir, "none"))
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errs, ShouldContainSubstring, "none")
			code, _, _ = run()
			So(code, ShouldEqual, ctl.ExitUsage)
		})
	})
}
