package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/fleet"
	"github.com/bramleywick/bramleywick/dev"
	"github.com/bramleywick/bramleywick/standin/engine"
	"github.com/bramleywick/bramleywick/standin/platform"
	"github.com/bramleywick/bramleywick/standin/service"
)

// devCommand returns the subcommand that runs an instance with stand-ins.
func devCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "dev", ShortUsage: "bramleywickd dev [platform|engine|service]",
		ShortHelp:   "run an instance with stand-ins for everything around it",
		Subcommands: []*ffcli.Command{devPlatform(), devEngine(), devService()},
		Exec: func(ctx context.Context, _ []string) error {
			log, err := zap.NewProduction()
			if err != nil {
				return errors.Wrap(err, "start logging")
			}
			return dev.Run(ctx, log, os.Stdout)
		},
	}
}

func devPlatform() *ffcli.Command {
	return standInCommand("platform", func(flags *flag.FlagSet) func() http.Handler {
		reads := flags.Int("reads-per-second", platform.ServiceReadsPerSecond, "rate of reads beyond which calls are refused; 0 means no limit")
		writes := flags.Int("writes-per-second", platform.ServiceWritesPerSecond, "rate of writes beyond which calls are refused; 0 means no limit")
		return func() http.Handler {
			server := platform.New()
			server.SetOptions(platform.Options{ReadsPerSecond: *reads, WritesPerSecond: *writes})
			return server.Handler()
		}
	})
}

func devEngine() *ffcli.Command {
	return standInCommand("engine", func(flags *flag.FlagSet) func() http.Handler {
		gap := flags.Duration("token-gap", 20*time.Millisecond, "time between tokens")
		first := flags.Duration("first-token", 100*time.Millisecond, "time to the first token")
		orders := orderFlags(flags)
		return func() http.Handler {
			incarnation := fleet.Incarnation(fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()))
			return engine.New(engine.Config{Incarnation: incarnation, TokenGap: *gap, FirstToken: *first, Orders: orders()}).Handler()
		}
	})
}

// orderFlags adds the flags of an engine's orders. The returned function returns the
// parsed configuration, or nil if no model is named.
func orderFlags(flags *flag.FlagSet) func() *engine.Orders {
	model := flags.String("model", "", "loaded model; an engine without it accepts no orders")
	ignores := flags.Bool("ignores-fencing", false, "accept orders with an old fencing number")
	change := flags.Duration("change-time", 5*time.Second, "time that an order takes the engine out of service")
	return func() *engine.Orders {
		if *model == "" {
			return nil
		}
		return &engine.Orders{Model: fleet.ModelName(*model), IgnoresFencing: *ignores, ChangeTime: *change}
	}
}

func devService() *ffcli.Command {
	return standInCommand("service", func(flags *flag.FlagSet) func() http.Handler {
		delay := flags.Duration("delay", 0, "time between running a call and answering it")
		return func() http.Handler { return (&service.Server{Delay: *delay}).Handler() }
	})
}

// standInCommand returns a subcommand that serves one stand-in until it is stopped. setup
// adds the stand-in's flags and returns the function that builds its handler.
func standInCommand(name string, setup func(*flag.FlagSet) func() http.Handler) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "IP address and port")
	build := setup(flags)
	return &ffcli.Command{
		Name: name, ShortUsage: "bramleywickd dev " + name + " [flags]", ShortHelp: "run a stand-in " + name,
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			address, err := dev.Serve(ctx, *listen, build())
			if err != nil {
				return err
			}
			fmt.Printf("listening on %s\n", address)
			<-ctx.Done()
			return nil
		},
	}
}
