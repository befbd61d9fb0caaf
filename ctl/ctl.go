// Package ctl implements the operators' command line. Each subcommand calls the
// operators' listener of one instance and prints tables or JSON, except
// explain, which reads log files of instances, and where, which asks the metrics
// listener of an instance on the users' platform.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"
)

// EnvPrefix is the prefix of the environment variables that set flags, such as
// BRAMLEYWICK_URL and BRAMLEYWICK_KEY.
const EnvPrefix = "BRAMLEYWICK"

// defaultTimeout limits one call. The time of a requested wait is added.
const defaultTimeout = 15 * time.Second

// app holds the flags and outputs of one run of the command line.
type app struct {
	out, errOut io.Writer
	url         string
	key         string
	keyFile     string
	caFile      string
	format      string
	timeout     time.Duration
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut}
	flags := a.flags("bramleywickctl")
	root := &ffcli.Command{
		Name: "bramleywickctl", ShortUsage: "bramleywickctl [flags] <subcommand> [flags] [arguments]", FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Subcommands: []*ffcli.Command{
			a.planCommand(), a.applyCommand(), a.diffCommand(), a.showCommand(), a.historyCommand(),
			a.revertCommand(), a.statusCommand(), a.topCommand(), a.drainCommand(), a.ordersCommand(),
			a.explainCommand(), a.whereCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usage("unknown subcommand %q", args[0])
			}
			return flag.ErrHelp
		},
	}
	if err := root.Parse(args); err != nil {
		return a.report(parseError(err))
	}
	if a.format != formatTable && a.format != formatJSON {
		return a.report(usage("-o %q is not valid; expected table or json", a.format))
	}
	return a.report(root.Run(ctx))
}

func parseError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &exitError{code: ExitUsage, err: err}
}

// flags returns a flag set with the flags that every subcommand accepts. A flag
// given before the subcommand keeps its value unless it is given again.
func (a *app) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(a.errOut)
	orDefault := func(value, def string) string {
		if value == "" {
			return def
		}
		return value
	}
	flags.StringVar(&a.url, "url", orDefault(a.url, "http://127.0.0.1:8081"), "operators' listener of any entry instance")
	flags.StringVar(&a.key, "key", a.key, "operator's key; better set as "+EnvPrefix+"_KEY, because arguments are visible to other users")
	flags.StringVar(&a.keyFile, "key-file", a.keyFile, "file that holds the operator's key")
	flags.StringVar(&a.caFile, "ca-file", a.caFile, "PEM file of the authorities that may sign the listener's certificate; default: the system's")
	flags.StringVar(&a.format, "o", orDefault(a.format, formatTable), "output format: table or json")
	if a.timeout == 0 {
		a.timeout = defaultTimeout
	}
	flags.DurationVar(&a.timeout, "timeout", a.timeout, "longest time for one call")
	return flags
}

// report prints an error and returns the exit code for it.
func (a *app) report(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	code := ExitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
	}
	if a.format == formatJSON {
		a.printErrorJSON(err, code)
		return code
	}
	if faults := faultsOf(err); len(faults) > 0 {
		for _, f := range faults {
			_, _ = fmt.Fprintln(a.errOut, faultLine(f))
		}
		return code
	}
	_, _ = fmt.Fprintln(a.errOut, "bramleywickctl:", err)
	return code
}

func (a *app) service() operatorv1connect.OperatorServiceClient {
	client := &http.Client{Transport: &caTransport{caFile: a.caFile}}
	return operatorv1connect.NewOperatorServiceClient(client, strings.TrimSuffix(a.url, "/"))
}

// credentials returns the operator's key, from -key or the file of -key-file.
func (a *app) credentials() (string, error) {
	if a.key != "" || a.keyFile == "" {
		return a.key, nil
	}
	raw, err := os.ReadFile(a.keyFile)
	if err != nil {
		return "", &exitError{code: ExitUsage, err: errors.Wrap(err, "read -key-file")}
	}
	return strings.TrimSpace(string(raw)), nil
}

// method is one method of the generated client.
type method[In, Out any] func(context.Context, *connect.Request[In]) (*connect.Response[Out], error)

// call makes one call. change is the ID of the change that it makes, or "".
// wait extends the timeout.
func call[In, Out any](ctx context.Context, a *app, m method[In, Out], in *In, change string, wait time.Duration) (*Out, error) {
	key, err := a.credentials()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, a.timeout+wait)
	defer stop()
	request := connect.NewRequest(in)
	request.Header().Set("Authorization", "Bearer "+key)
	out, err := m(ctx, request)
	if err != nil {
		return nil, callError(err, change)
	}
	return out.Msg, nil
}

// query makes a call that changes nothing.
func query[In, Out any](ctx context.Context, a *app, m method[In, Out], in *In) (*Out, error) {
	return call(ctx, a, m, in, "", 0)
}

// print writes a message as JSON, or calls table to write it in readable form.
func (a *app) print(m proto.Message, table func(io.Writer)) error {
	if a.format == formatJSON {
		return a.printJSON(m)
	}
	table(a.out)
	return nil
}
