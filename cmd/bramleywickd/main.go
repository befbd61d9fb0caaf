// Command bramleywickd is the entry daemon of a bramleywick deployment.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/settings"
)

func main() {
	ctx, second := stopSignals()
	root := &ffcli.Command{
		ShortUsage:  "bramleywickd <subcommand>",
		Subcommands: []*ffcli.Command{runCommand(second), checkCommand(), devCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runCommand(second <-chan struct{}) *ffcli.Command {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	path := flags.String("config", "", "settings file (INI)")
	return &ffcli.Command{
		Name: "run", ShortUsage: "bramleywickd run -config F", ShortHelp: "run an entry instance",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := settings.Load(*path)
			if err != nil {
				return err
			}
			log, err := zap.NewProduction()
			if err != nil {
				return errors.Wrap(err, "start logging")
			}
			d := daemon.New(s, log)
			go func() {
				<-second
				d.Interrupt()
			}()
			return d.Run(ctx)
		},
	}
}

func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	path := flags.String("config", "", "settings file (INI)")
	return &ffcli.Command{
		Name: "check", ShortUsage: "bramleywickd check -config F", ShortHelp: "check a settings file",
		FlagSet: flags,
		Exec: func(context.Context, []string) error {
			_, err := settings.Load(*path)
			return err
		},
	}
}
