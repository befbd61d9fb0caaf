package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/logline"
	"github.com/bramleywick/bramleywick/node"
	"github.com/bramleywick/bramleywick/platform"
	"github.com/bramleywick/bramleywick/settings"
	"github.com/bramleywick/bramleywick/store"
)

// frontCommand returns the subcommand that runs an instance on the users' platform.
func frontCommand() *ffcli.Command {
	flags := flag.NewFlagSet("front", flag.ContinueOnError)
	path := flags.String("config", os.Getenv(platform.SettingsVariable), "the platform's settings file (TOML)")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name: "front", ShortUsage: "bramleywickd front [-config F] [-check]", ShortHelp: "run an instance on the users' platform",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := platform.LoadSettings(*path)
			if err != nil {
				return err
			}
			if *check {
				fmt.Printf("instance %s in data centre %s: the settings are valid\n", s.Instance, s.DataCentre)
				return nil
			}
			return runFront(ctx, *path, s)
		},
	}
}

// runFront runs an instance until ctx ends and reloads its settings from path on SIGHUP.
func runFront(ctx context.Context, path string, s *settings.Gateway) error {
	log, lineCounts, flush := logline.New(os.Stdout, zap.InfoLevel)
	defer flush()
	n := node.New(s, node.Platform{
		Wire: platform.Wire{}, Documents: platform.Documents{}, ReadyPath: platform.ReadyPath,
		NewStore: func(address string, observe func(string, store.Result)) node.Store {
			return platform.NewStore(address, platform.DefaultTimeout, observe)
		},
		NewCloud: func(address string, callsPerSecond float64) node.Cloud {
			cloud := platform.NewCloud(address, platform.CloudTimeout)
			cloud.SetCallsPerSecond(callsPerSecond)
			return cloud
		},
		LoadSettings: func() (*settings.Gateway, error) { return platform.LoadSettings(path) },
	}, log, lineCounts)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			n.Reload()
		}
	}()
	return n.Run(ctx)
}
