package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

const (
	// maxLogLine is the maximum length of a log line in bytes. Reading fails at
	// a longer one.
	maxLogLine = 1 << 20
	// idField is the log field with the request's ID.
	idField = "request_id"
)

// explainCommand returns the subcommand that prints the log lines of one
// request.
func (a *app) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "bramleywickctl explain REQUEST-ID [log file]...", FlagSet: a.flags("explain"),
		ShortHelp: "print what log files, or the standard input, say of one request",
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usage("explain needs the id of a request")
			}
			lines, err := requestLines(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return &exitError{code: ExitFailed, err: errors.Errorf(
					"no line names request %s: another instance served it, or its lines were left out; see bramleywick_log_lines_sampled", args[0])}
			}
			for _, l := range lines {
				if a.format == formatJSON {
					fmt.Fprintf(a.out, "%s\n", l.raw)
					continue
				}
				fmt.Fprintln(a.out, l.text())
			}
			return nil
		},
	}
}

// logLine is one line of an instance's log.
type logLine struct {
	raw    []byte
	at     float64
	fields map[string]any
}

// requestLines returns the log lines of a request in order of time.
func requestLines(id string, files []string) ([]logLine, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	var out []logLine
	for _, name := range files {
		lines, err := fileLines(id, name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, lines...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out, nil
}

// fileLines returns the log lines of a request in one file, or in the standard
// input for "-".
func fileLines(id, name string) ([]logLine, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		// A log collector may have prepended the instance's name.
		begin := bytes.IndexByte(raw, '{')
		if begin < 0 || !bytes.Contains(raw, []byte(id)) {
			continue
		}
		l := logLine{raw: bytes.Clone(raw[begin:])}
		if json.Unmarshal(l.raw, &l.fields) != nil || l.fields[idField] != id {
			continue
		}
		l.at, _ = l.fields["ts"].(float64)
		out = append(out, l)
	}
	return out, scanner.Err()
}

// text returns the line for printing: the time and the message, then the other
// fields sorted by name.
func (l logLine) text() string {
	var b strings.Builder
	at := time.UnixMicro(int64(l.at * 1000)).UTC()
	fmt.Fprintf(&b, "%s  %v", at.Format("15:04:05.000"), l.fields["msg"])
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		switch name {
		case "ts", "msg", "level", idField:
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if v := l.fields[name]; v != "" {
			fmt.Fprintf(&b, "  %s=%v", name, v)
		}
	}
	return b.String()
}
