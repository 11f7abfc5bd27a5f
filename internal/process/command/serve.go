package command

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
)

const (
	defaultNoticeTime  = bundle.Duration(2 * time.Second)
	defaultDrainTime   = bundle.Duration(30 * time.Second)
	defaultSnapshotAge = bundle.Duration(10 * time.Minute)
)

// loadSettings reads the settings file of a process over the defaults in into. If check is
// true, it prints that the file is valid and returns true: the process must not run then.
func loadSettings(c console, path string, check bool, into settings.Checker) (checkOnly bool, err error) {
	if path == "" {
		return false, usage("--settings must name a TOML file")
	}
	if err := settings.Load(path, into); err != nil {
		return false, err
	}
	if check {
		_, err := fmt.Fprintln(c.out, path, "is valid")
		return true, err
	}
	return false, nil
}

func newEntryCommand(c console) *ffcli.Command {
	flags := newFlagSet("entry", c)
	path := flags.String("settings", "", "TOML `file` with the entry's settings")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "corianderpass entry --settings FILE [--check]",
		ShortHelp:  "Serve callers and operators, place jobs and run their gangs.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			s := entry.Settings{NoticeTime: defaultNoticeTime, DrainTime: defaultDrainTime, SnapshotAge: defaultSnapshotAge}
			if checkOnly, err := loadSettings(c, *path, *check, &s); checkOnly || err != nil {
				return err
			}
			return initializeEntry(s, settings.NewLogger(s.Name, s.LogLevel)).Run(ctx)
		},
	}
}

func newAgentCommand(c console) *ffcli.Command {
	flags := newFlagSet("agent", c)
	path := flags.String("settings", "", "TOML `file` with the agent's settings")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "corianderpass agent --settings FILE [--check]",
		ShortHelp:  "Forward requests to the minion beside the agent.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			s := agent.Settings{NoticeTime: defaultNoticeTime, DrainTime: defaultDrainTime}
			if checkOnly, err := loadSettings(c, *path, *check, &s); checkOnly || err != nil {
				return err
			}
			return initializeAgent(s, settings.NewLogger(s.Name, s.LogLevel)).Run(ctx)
		},
	}
}
