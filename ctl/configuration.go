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

// Values of -base that are not a version: baseRead stands for the version in
// force when the command starts, baseNone expects that there is none, and
// baseAny accepts any.
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
			if err := a.print(plan, func(w io.Writer) { printPlan(w, plan) }); err != nil {
				return err
			}
			return differsError(*exitCode, plan.Changes)
		},
	}
}

// differsError returns an error with ExitDiffers if -exit-code is set and there
// are changes.
func differsError(wanted bool, changes []*operatorv1.Change) error {
	if wanted && len(changes) > 0 {
		return &exitError{code: ExitDiffers, err: errors.Errorf("%d changes", len(changes))}
	}
	return nil
}

// plan calls Plan with the file named by the arguments and returns the response
// and the file's text.
func (a *app) plan(ctx context.Context, args []string) (*operatorv1.PlanResponse, string, error) {
	if len(args) != 1 {
		return nil, "", usage("expected one FILE")
	}
	text, err := readText(args[0])
	if err != nil {
		return nil, "", err
	}
	plan, err := query(ctx, a, a.service().Plan, &operatorv1.PlanRequest{Text: text, File: args[0]})
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

// changeFlags are the flags of the commands that create a new version.
type changeFlags struct {
	author, changeID string
	base             int64
	wait             bool
	waitLimit        time.Duration
}

func (c *changeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&c.author, "author", currentUser(), "author of the change")
	flags.StringVar(&c.changeID, "change-id", "", "unique id of the change; pass the same one to retry after a lost answer")
	flags.Int64Var(&c.base, "base", baseRead, "version on which the change is based; 0 accepts any, -1 expects none; default: the one in force now")
	flags.BoolVar(&c.wait, "wait", false, "wait until every live instance has the version in force")
	flags.DurationVar(&c.waitLimit, "wait-limit", 10*time.Second, "longest wait, at most 5m")
}

// extraTimeout is the time by which -wait extends the call's timeout.
func (c *changeFlags) extraTimeout() time.Duration {
	if !c.wait {
		return 0
	}
	return c.waitLimit
}

// setDefaults sets the change ID and the base if they were not given. inForce
// is the version in force.
func (c *changeFlags) setDefaults(inForce int64) {
	if c.changeID == "" {
		var raw [8]byte
		_, _ = rand.Read(raw[:])
		c.changeID = time.Now().UTC().Format("20060102T150405Z-") + hex.EncodeToString(raw[:])
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
	force := flags.Bool("force", false, "make a new version even without changes, for example after the platform was restored")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "bramleywickctl apply [flags] FILE", FlagSet: flags,
		ShortHelp: "make a declaration the next version",
		Exec: func(ctx context.Context, args []string) error {
			repeated := c.changeID != ""
			plan, text, err := a.plan(ctx, args)
			if err != nil {
				return err
			}
			if *canonical {
				text = plan.CanonicalText
			}
			if repeated && c.base == baseRead {
				// The version in force may already be this change.
				c.base = baseAny
			}
			c.setDefaults(plan.BaseVersion)
			if a.format == formatTable {
				printPlan(a.out, plan)
			}
			if len(plan.Changes) == 0 && !repeated && !*force && plan.BaseVersion > 0 {
				return a.printUnchanged(plan.BaseVersion)
			}
			out, err := call(ctx, a, a.service().Apply, &operatorv1.ApplyRequest{
				Text: text, File: args[0], Author: c.author, ChangeId: c.changeID, BaseVersion: c.base,
				Wait: c.wait, WaitLimitMs: c.waitLimit.Milliseconds(),
			}, c.changeID, c.extraTimeout())
			if err != nil {
				return err
			}
			return a.reportApplied(out)
		},
	}
}

// printUnchanged reports that the declaration equals the version in force. The
// empty change ID in the output shows scripts that no version was created.
func (a *app) printUnchanged(version int64) error {
	return a.print(&operatorv1.ApplyResponse{Version: version}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d stays in force; -force makes a new version\n", version)
	})
}

// reportApplied prints an accepted change. It returns an error with
// ExitNotInForce if instances lag behind.
func (a *app) reportApplied(out *operatorv1.ApplyResponse) error {
	if err := a.print(out, func(w io.Writer) { printApplied(w, out) }); err != nil {
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
			version, err := versionArg(args)
			if err != nil {
				return err
			}
			if c.changeID != "" && c.base == baseRead {
				c.base = baseAny
			}
			if c.base == baseRead {
				current, err := query(ctx, a, a.service().Show, &operatorv1.ShowRequest{})
				if err != nil {
					return err
				}
				c.base = current.Version.GetVersion()
			}
			c.setDefaults(c.base)
			out, err := call(ctx, a, a.service().Revert, &operatorv1.RevertRequest{
				Version: version, Author: c.author, ChangeId: c.changeID, BaseVersion: c.base,
				Wait: c.wait, WaitLimitMs: c.waitLimit.Milliseconds(),
			}, c.changeID, c.extraTimeout())
			if err != nil {
				return err
			}
			return a.reportApplied(out.Applied)
		},
	}
}

// versionArg returns the version given as the only argument.
func versionArg(args []string) (int64, error) {
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
				return usage("expected FROM and optionally TO")
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
			out, err := query(ctx, a, a.service().Diff, in)
			if err != nil {
				return err
			}
			if err := a.print(out, func(w io.Writer) { printChanges(w, out.Changes) }); err != nil {
				return err
			}
			return differsError(*exitCode, out.Changes)
		},
	}
}

func (a *app) showCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "show", ShortUsage: "bramleywickctl show [flags] [VERSION]", FlagSet: a.flags("show"),
		ShortHelp: "print a version's text; VERSION defaults to the one in force",
		Exec: func(ctx context.Context, args []string) error {
			in := &operatorv1.ShowRequest{}
			if len(args) > 0 {
				version, err := versionArg(args)
				if err != nil {
					return err
				}
				in.Version = version
			}
			out, err := query(ctx, a, a.service().Show, in)
			if err != nil {
				return err
			}
			return a.print(out, func(w io.Writer) {
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
			out, err := query(ctx, a, a.service().History, &operatorv1.HistoryRequest{Limit: int32(*limit)})
			if err != nil {
				return err
			}
			return a.print(out, func(w io.Writer) { printHistory(w, out.Versions) })
		},
	}
}
