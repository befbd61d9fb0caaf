// Command bramleywickctl is the operators' command line.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
	"github.com/bramleywick/bramleywick/operator/api/v1/operatorv1connect"
)

type client struct {
	url string
	key string
}

func main() {
	c := &client{}
	flags := flag.NewFlagSet("bramleywickctl", flag.ContinueOnError)
	flags.StringVar(&c.url, "url", "http://127.0.0.1:8081", "operators' listener of any entry instance")
	flags.StringVar(&c.key, "key", "", "operator key (better set as BRAMLEYWICK_KEY)")
	root := &ffcli.Command{
		ShortUsage: "bramleywickctl [flags] <subcommand>", FlagSet: flags,
		Options:     []ff.Option{ff.WithEnvVarPrefix("BRAMLEYWICK")},
		Subcommands: []*ffcli.Command{c.applyCommand(), c.showCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (c *client) service() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, c.url)
}

func withKey[T any](c *client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.key)
	return request
}

func (c *client) applyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "apply", ShortUsage: "bramleywickctl apply FILE", ShortHelp: "make a declaration the next version",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.New("apply takes one file")
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "read declaration")
			}
			out, err := c.service().Apply(ctx, withKey(c, &operatorv1.ApplyRequest{
				Text: string(text), File: args[0], Author: os.Getenv("USER"),
				ChangeId: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
			}))
			if err != nil {
				return errors.Wrapf(err, "apply at %s", c.url)
			}
			fmt.Printf("version %d\n", out.Msg.Version)
			return nil
		},
	}
}

func (c *client) showCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "show", ShortUsage: "bramleywickctl show", ShortHelp: "print the declaration in force",
		Exec: func(ctx context.Context, _ []string) error {
			out, err := c.service().Show(ctx, withKey(c, &operatorv1.ShowRequest{}))
			if err != nil {
				return errors.Wrapf(err, "show at %s", c.url)
			}
			fmt.Printf("; version %d by %s\n%s", out.Msg.Version.GetVersion(), out.Msg.Version.GetAuthor(), out.Msg.Text)
			return nil
		},
	}
}
