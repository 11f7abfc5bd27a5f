// Package command is the command line of corianderpass: its subcommands, their
// flags and their exit codes.
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
	ExitOK = 0
	// ExitFailed commands did not do what was asked.
	ExitFailed = 1
	// ExitUsage commands were called wrongly or with invalid settings.
	ExitUsage = 2
	// ExitNotRun commands were refused; nothing ran, and they can be repeated.
	ExitNotRun = 3
	// ExitUnknown commands may have taken effect.
	ExitUnknown = 4
)

// errUsage tells that a command was called wrongly.
var errUsage = errors.New("command: wrong usage")

// usage returns an error that says how a command is called.
func usage(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, arguments...))
}

// console is where a command reads and writes.
type console struct {
	out io.Writer
	err io.Writer
}

// print writes a value as indented JSON.
func (c console) print(value any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		return fmt.Errorf("command: print: %w", err)
	}
	return nil
}

// Main runs the command line and returns the exit code. A first SIGTERM or
// SIGINT makes processes leave. A second SIGINT, which people send, ends them at
// once; more SIGTERMs, which platforms send, change nothing.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	return Run(ctx, arguments, os.Stdout, os.Stderr)
}

// Run runs the command line with the given outputs and returns the exit code.
func Run(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	c := console{out: out, err: errOut}
	root := newRoot(c)
	err := root.ParseAndRun(ctx, arguments)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "corianderpass:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	if errors.Is(err, errUsage) || errors.Is(err, settings.ErrInvalid) {
		return ExitUsage
	}
	typed := client.AsError(err)
	switch {
	case typed == nil:
		return ExitFailed
	case typed.Fate == client.FateNotRun:
		return ExitNotRun
	case typed.Fate == client.FateUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

func newRoot(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "corianderpass",
		ShortUsage: "corianderpass <subcommand> [flags] [arguments]",
		ShortHelp:  "Schedules multi-accelerator jobs under organisation guarantees.",
		LongHelp: "entry and agent are the processes of the system; the other subcommands talk to an entry.\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 refused and not run, 4 unknown whether it took effect.",
		FlagSet: newFlags("corianderpass", c),
		Subcommands: []*ffcli.Command{
			newEntry(c), newAgent(c), newBundle(c), newJob(c), newRequest(c), newStatus(c), newVersion(c), newDeployed(c),
		},
		Exec: func(context.Context, []string) error { return usage("name a subcommand; see corianderpass --help") },
	}
}

func newFlags(name string, c console) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(c.err)
	return set
}

func newVersion(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "corianderpass version",
		ShortHelp:  "Print the version of this build.",
		FlagSet:    newFlags("version", c),
		Exec: func(context.Context, []string) error {
			version := "unknown"
			if info, known := debug.ReadBuildInfo(); known {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(c.out, "corianderpass", version)
			return err
		},
	}
}
