package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	operatorv1 "github.com/bramleywick/bramleywick/operator/api/v1"
)

// baseNone and baseAny are the bases of a change besides a version; baseRead
// stands for the version in force when the command starts.
const (
	baseRead = -2
	baseNone = -1
	baseAny  = 0
)

func (a *app) planCommand() *ffcli.Command {
	flags := a.flags("plan")
	exitCode := flags.Bool("exit-code", false, "exit with 9 when there are changes")
	canonical := flags.Bool("canonical", false, "print the canonical text instead of the changes")
	return &ffcli.Command{
		Name: "plan", ShortUsage: "bramleywickctl plan [flags] FILE", FlagSet: flags,
		ShortHelp: "check a declaration and show its difference from the one in force",
		Exec: func(ctx context.Context, args []string) error {
			plan, _, err := a.plan(ctx, args)
			if err != nil {
				return err
			}
			if *canonical && a.format == formatTable {
				_, _ = io.WriteString(a.out, plan.CanonicalText)
				return nil
			}
			if err := a.show(plan, func(w io.Writer) { printPlan(w, plan) }); err != nil {
				return err
			}
			return differs(*exitCode, plan.Changes)
		},
	}
}

// differs is the result of a comparison for scripts.
func differs(wanted bool, changes []*operatorv1.Change) error {
	if wanted && len(changes) > 0 {
		return &exitError{code: ExitDiffers, err: errors.Errorf("%d changes", len(changes))}
	}
	return nil
}

// plan checks the file that the arguments name.
func (a *app) plan(ctx context.Context, args []string) (*operatorv1.PlanResponse, string, error) {
	if len(args) != 1 {
		return nil, "", usage("expected one FILE")
	}
	text, err := readText(args[0])
	if err != nil {
		return nil, "", err
	}
	plan, err := ask(ctx, a, a.service().Plan, &operatorv1.PlanRequest{Text: text, File: args[0]})
	return plan, text, err
}

// readText reads a file, or the standard input for "-".
func readText(path string) (string, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return "", &exitError{code: ExitUsage, err: errors.Wrap(err, "read declaration")}
	}
	return string(raw), nil
}

// changeFlags are the flags of a call that makes a new version.
type changeFlags struct {
	author, id string
	base       int64
	wait       bool
	limit      time.Duration
}

func (c *changeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&c.author, "author", currentUser(), "who makes the change")
	flags.StringVar(&c.id, "change-id", "", "unique id of the change; repeat it to settle a lost answer")
	flags.Int64Var(&c.base, "base", baseRead, "version on which the change is based; 0 accepts any, -1 expects none; default: the one in force now")
	flags.BoolVar(&c.wait, "wait", false, "wait until every live instance has the version in force")
	flags.DurationVar(&c.limit, "wait-limit", 10*time.Second, "longest wait, at most 5m")
}

// waiting is how much longer the call may take.
func (c *changeFlags) waiting() time.Duration {
	if !c.wait {
		return 0
	}
	return c.limit
}

// complete fills in what was not given. inForce is the version in force now.
func (c *changeFlags) complete(inForce int64) {
	if c.id == "" {
		var raw [8]byte
		_, _ = rand.Read(raw[:])
		c.id = time.Now().UTC().Format("20060102T150405Z-") + hex.EncodeToString(raw[:])
	}
	if c.base == baseRead {
		c.base = inForce
		if inForce == 0 {
			c.base = baseNone
		}
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

func (a *app) applyCommand() *ffcli.Command {
	flags := a.flags("apply")
	var c changeFlags
	c.register(flags)
	canonical := flags.Bool("canonical", false, "apply the canonical text, without comments and defaults")
	force := flags.Bool("force", false, "make a new version even without changes, as after the platform was restored")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "bramleywickctl apply [flags] FILE", FlagSet: flags,
		ShortHelp: "make a declaration the next version",
		Exec: func(ctx context.Context, args []string) error {
			repeated := c.id != ""
			plan, text, err := a.plan(ctx, args)
			if err != nil {
				return err
			}
			if *canonical {
				text = plan.CanonicalText
			}
			if repeated && c.base == baseRead {
				// The change itself may be the version in force by now.
				c.base = baseAny
			}
			c.complete(plan.BaseVersion)
			if a.format == formatTable {
				printPlan(a.out, plan)
			}
			if len(plan.Changes) == 0 && !repeated && !*force && plan.BaseVersion > 0 {
				return a.unchanged(plan.BaseVersion)
			}
			out, err := call(ctx, a, a.service().Apply, &operatorv1.ApplyRequest{
				Text: text, File: args[0], Author: c.author, ChangeId: c.id, BaseVersion: c.base,
				Wait: c.wait, WaitLimitMs: c.limit.Milliseconds(),
			}, c.id, c.waiting())
			if err != nil {
				return err
			}
			return a.applied(out)
		},
	}
}

// unchanged ends an apply that would repeat the version in force. An empty
// change id tells scripts that no version was made.
func (a *app) unchanged(version int64) error {
	return a.show(&operatorv1.ApplyResponse{Version: version}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d stays in force; -force makes a new version\n", version)
	})
}

// applied prints an accepted change and names the instances that lag.
func (a *app) applied(out *operatorv1.ApplyResponse) error {
	if err := a.show(out, func(w io.Writer) { printApplied(w, out) }); err != nil {
		return err
	}
	if len(out.NotInForce) > 0 {
		return &exitError{code: ExitNotInForce, err: errors.Errorf(
			"version %d is accepted but not in force at %d instances", out.Version, len(out.NotInForce))}
	}
	return nil
}

func (a *app) revertCommand() *ffcli.Command {
	flags := a.flags("revert")
	var c changeFlags
	c.register(flags)
	return &ffcli.Command{
		Name: "revert", ShortUsage: "bramleywickctl revert [flags] VERSION", FlagSet: flags,
		ShortHelp: "make the content of an old version the next version",
		Exec: func(ctx context.Context, args []string) error {
			version, err := oneVersion(args)
			if err != nil {
				return err
			}
			if c.id != "" && c.base == baseRead {
				c.base = baseAny
			}
			if c.base == baseRead {
				current, err := ask(ctx, a, a.service().Show, &operatorv1.ShowRequest{})
				if err != nil {
					return err
				}
				c.base = current.Version.GetVersion()
			}
			c.complete(c.base)
			out, err := call(ctx, a, a.service().Revert, &operatorv1.RevertRequest{
				Version: version, Author: c.author, ChangeId: c.id, BaseVersion: c.base,
				Wait: c.wait, WaitLimitMs: c.limit.Milliseconds(),
			}, c.id, c.waiting())
			if err != nil {
				return err
			}
			return a.applied(out.Applied)
		},
	}
}

func oneVersion(args []string) (int64, error) {
	if len(args) != 1 {
		return 0, usage("expected one VERSION")
	}
	return parseVersion(args[0])
}

func parseVersion(text string) (int64, error) {
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, usage("%q is not a version", text)
	}
	return version, nil
}

func (a *app) diffCommand() *ffcli.Command {
	flags := a.flags("diff")
	exitCode := flags.Bool("exit-code", false, "exit with 9 when there are differences")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "bramleywickctl diff [flags] FROM [TO]", FlagSet: flags,
		ShortHelp: "show the difference between two versions; TO defaults to the one in force",
		Exec: func(ctx context.Context, args []string) error {
			in := &operatorv1.DiffRequest{}
			if len(args) < 1 || len(args) > 2 {
				return usage("expected FROM and perhaps TO")
			}
			var err error
			if in.From, err = parseVersion(args[0]); err != nil {
				return err
			}
			if len(args) == 2 {
				if in.To, err = parseVersion(args[1]); err != nil {
					return err
				}
			}
			out, err := ask(ctx, a, a.service().Diff, in)
			if err != nil {
				return err
			}
			if err := a.show(out, func(w io.Writer) { printChanges(w, out.Changes) }); err != nil {
				return err
			}
			return differs(*exitCode, out.Changes)
		},
	}
}

func (a *app) showCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "show", ShortUsage: "bramleywickctl show [flags] [VERSION]", FlagSet: a.flags("show"),
		ShortHelp: "print a version's text; without VERSION the one in force",
		Exec: func(ctx context.Context, args []string) error {
			in := &operatorv1.ShowRequest{}
			if len(args) > 0 {
				version, err := oneVersion(args)
				if err != nil {
					return err
				}
				in.Version = version
			}
			out, err := ask(ctx, a, a.service().Show, in)
			if err != nil {
				return err
			}
			return a.show(out, func(w io.Writer) {
				v := out.Version
				_, _ = fmt.Fprintf(w, "; version %d by %s, change %s\n%s", v.GetVersion(), v.GetAuthor(), v.GetChangeId(), out.Text)
			})
		},
	}
}

func (a *app) historyCommand() *ffcli.Command {
	flags := a.flags("history")
	limit := flags.Int("n", 20, "largest number of versions; 0 prints all that are kept")
	return &ffcli.Command{
		Name: "history", ShortUsage: "bramleywickctl history [flags]", FlagSet: flags,
		ShortHelp: "list accepted versions, newest first",
		Exec: func(ctx context.Context, _ []string) error {
			out, err := ask(ctx, a, a.service().History, &operatorv1.HistoryRequest{Limit: int32(*limit)})
			if err != nil {
				return err
			}
			return a.show(out, func(w io.Writer) { printHistory(w, out.Versions) })
		},
	}
}
