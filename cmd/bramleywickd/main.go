// Command bramleywickd is the entry daemon of a bramleywick deployment.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/daemon"
	"github.com/bramleywick/bramleywick/declfile"
	"github.com/bramleywick/bramleywick/settings"
)

func main() {
	ctx, secondSignal := stopSignals()
	root := &ffcli.Command{
		ShortUsage:  "bramleywickd <subcommand>",
		Subcommands: []*ffcli.Command{runCommand(secondSignal), checkCommand(), devCommand(), frontCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runCommand returns the subcommand that runs an entry instance. The instance
// interrupts its drain when secondSignal is closed.
func runCommand(secondSignal <-chan struct{}) *ffcli.Command {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	path := flags.String("config", "", "settings file (INI)")
	overrides := settings.RegisterFlags(flags)
	return &ffcli.Command{
		Name: "run", ShortUsage: "bramleywickd run -config F [flags]", ShortHelp: "run an entry instance",
		FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			s, err := settings.Load(*path, overrides)
			if err != nil {
				return err
			}
			log, err := zap.NewProduction()
			if err != nil {
				return errors.Wrap(err, "start logging")
			}
			d := daemon.New(s, log)
			go func() {
				<-secondSignal
				d.Interrupt()
			}()
			return d.Run(ctx)
		},
	}
}

// checkCommand returns the subcommand that checks settings or a declaration.
func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	path := flags.String("config", "", "settings file (INI)")
	declaration := flags.String("declaration", "", "check this declaration (INI) instead of settings")
	overrides := settings.RegisterFlags(flags)
	return &ffcli.Command{
		Name: "check", ShortUsage: "bramleywickd check -config F [flags] | -declaration F",
		ShortHelp: "check settings or a declaration and report every fault",
		FlagSet:   flags, Options: []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)},
		Exec: func(context.Context, []string) error {
			if *declaration != "" {
				return checkDeclaration(*declaration)
			}
			s, err := settings.Load(*path, overrides)
			if err != nil {
				return err
			}
			fmt.Printf("instance %s in data centre %s: the settings are valid\n", s.Instance, s.DataCentre)
			return nil
		},
	}
}

func checkDeclaration(path string) error {
	_, remarks, err := declfile.Load(path)
	if err != nil {
		return err
	}
	for _, r := range remarks {
		fmt.Println("remark:", r)
	}
	fmt.Printf("%s: the declaration is valid\n", path)
	return nil
}
