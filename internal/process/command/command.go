// Package command implements the command line of corianderpass: its subcommands, their flags,
// output and exit codes. "entry" and "agent" run the processes against the platform of
// pkg/platform, "platform entry" and "platform agent" those on the users' platform; this
// package builds them with Wire (see wire.go). The other subcommands are clients of an entry and
// rely on pkg/client. The main function of cmd/corianderpass calls Main.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"corianderpass/internal/process/settings"
	"corianderpass/pkg/client"
)

// The exit codes.
const (
	// ExitOK means that the command succeeded or printed its help.
	ExitOK = 0
	// ExitFailed means that the command failed, for a reason that no other code states.
	ExitFailed = 1
	// ExitUsage means that the arguments or the settings are invalid.
	ExitUsage = 2
	// ExitNotRun means that the call had no effect. It can be repeated.
	ExitNotRun = 3
	// ExitUnknown means that the call may have taken effect.
	ExitUnknown = 4
)

// errUsage means that the arguments of a command are invalid.
var errUsage = errors.New("command: invalid usage")

// usage returns an error that wraps errUsage and adds the formatted text.
func usage(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, arguments...))
}

// console holds the output streams of a command.
type console struct {
	out io.Writer
	err io.Writer
}

// print writes the value to out as indented JSON.
func (c console) print(value any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("command: print: %w", err)
	}
	return nil
}

// Main runs the command with the process's output streams and returns the exit code. The
// first SIGTERM or SIGINT cancels the command, so that an entry or agent shuts down
// gracefully. A later SIGINT, which a user sends, kills the process; later SIGTERMs, which
// platforms send, are ignored.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	return Run(ctx, arguments, os.Stdout, os.Stderr)
}

// Run runs the command with the given output streams and returns the exit code. arguments do
// not include the program's name.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	c := console{out: out, err: errOut}
	root := newRootCommand(c)
	err := root.ParseAndRun(ctx, arguments)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "corianderpass:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	if errors.Is(err, errUsage) || errors.Is(err, settings.ErrInvalid) {
		return ExitUsage
	}
	clientErr := client.AsError(err)
	switch {
	case clientErr == nil:
		return ExitFailed
	case clientErr.Fate == client.FateNotRun:
		return ExitNotRun
	case clientErr.Fate == client.FateUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

func newRootCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "corianderpass",
		ShortUsage: "corianderpass <subcommand> [flags] [arguments]",
		ShortHelp:  "Schedules multi-accelerator jobs and keeps the guarantees of organisations.",
		LongHelp: "entry, agent and platform run processes of the scheduler; job, request, bundle and status call an entry.\n" +
			"Exit codes: 0 done, 1 failed, 2 invalid usage or settings, 3 not run and can be repeated, 4 may have taken effect.",
		FlagSet: newFlagSet("corianderpass", c),
		Subcommands: []*ffcli.Command{
			newEntryCommand(c), newAgentCommand(c), newBundleCommand(c), newJobCommand(c), newRequestCommand(c), newStatusCommand(c), newVersionCommand(c), newPlatformCommand(c), newExplainCommand(c),
		},
		Exec: func(context.Context, []string) error {
			return usage("the subcommand is missing; see corianderpass --help")
		},
	}
}

func newFlagSet(name string, c console) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(c.err)
	return set
}

func newVersionCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "corianderpass version",
		ShortHelp:  "Print the version of this build.",
		FlagSet:    newFlagSet("version", c),
		Exec: func(context.Context, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(c.out, "corianderpass", version)
			return err
		},
	}
}
