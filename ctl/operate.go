package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
)

func (a *app) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "bramleywickctl status [flags]", FlagSet: a.flags("status"),
		ShortHelp: "show members, upstreams, refusals and instances as one instance sees them",
		Exec: func(ctx context.Context, _ []string) error {
			out, err := query(ctx, a, a.service().Status, &operatorv1.StatusRequest{})
			if err != nil {
				return err
			}
			return a.print(out, func(w io.Writer) { printStatus(w, out) })
		},
	}
}

// clearScreen moves the cursor to the top left and clears the terminal.
const clearScreen = "\x1b[H\x1b[2J"

func (a *app) topCommand() *ffcli.Command {
	flags := a.flags("top")
	interval := flags.Duration("interval", 2*time.Second, "time between two refreshes")
	count := flags.Int("n", 0, "number of refreshes; 0 refreshes until interrupted")
	return &ffcli.Command{
		Name: "top", ShortUsage: "bramleywickctl top [flags]", FlagSet: flags,
		ShortHelp: "show the busiest members and upstreams and refresh continuously",
		Exec: func(ctx context.Context, _ []string) error {
			var before *operatorv1.StatusResponse
			for refresh := 1; ; refresh++ {
				now, err := query(ctx, a, a.service().Status, &operatorv1.StatusRequest{})
				if err != nil {
					return err
				}
				err = a.print(now, func(w io.Writer) {
					if *count != 1 {
						_, _ = io.WriteString(w, clearScreen)
					}
					printTop(w, before, now)
				})
				if err != nil || refresh == *count {
					return err
				}
				before = now
				select {
				case <-time.After(*interval):
				case <-ctx.Done():
					return nil
				}
			}
		},
	}
}

func (a *app) drainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "drain", ShortUsage: "bramleywickctl drain [flags] UPSTREAM", FlagSet: a.flags("drain"),
		ShortHelp: "mark an upstream as leaving, so that it gets no new work until a new incarnation starts",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("expected one UPSTREAM")
			}
			out, err := query(ctx, a, a.service().Drain, &operatorv1.DrainRequest{Upstream: args[0]})
			if err != nil {
				return err
			}
			return a.print(out, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "%s is leaving (incarnation %s)\n", args[0], orDash(out.Incarnation))
			})
		},
	}
}

func (a *app) ordersCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "orders", ShortUsage: "bramleywickctl orders [flags]", FlagSet: a.flags("orders"),
		ShortHelp: "list the orders to engines that the platform records",
		Exec: func(ctx context.Context, _ []string) error {
			out, err := query(ctx, a, a.service().Orders, &operatorv1.OrdersRequest{})
			if err != nil {
				return err
			}
			return a.print(out, func(w io.Writer) { printOrders(w, out.Orders) })
		},
	}
}
