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

// load reads a process's settings and tells whether it should only check them.
func load(c console, path string, check bool, into settings.Checker) (done bool, err error) {
	if path == "" {
		return false, usage("--settings names the TOML file")
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

func newEntry(c console) *ffcli.Command {
	flags := newFlags("entry", c)
	path := flags.String("settings", "", "TOML `file` with the entry's settings")
	check := flags.Bool("check", false, "only check the settings")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "corianderpass entry --settings FILE [--check]",
		ShortHelp:  "Serve callers and operators, place jobs and drive gangs.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			s := entry.Settings{NoticeTime: defaultNoticeTime, DrainTime: defaultDrainTime, SnapshotAge: defaultSnapshotAge}
			if done, err := load(c, *path, *check, &s); done || err != nil {
				return err
			}
			return initializeEntry(s, settings.NewLogger(s.Name, s.LogLevel)).Run(ctx)
		},
	}
}

func newAgent(c console) *ffcli.Command {
	flags := newFlags("agent", c)
	path := flags.String("settings", "", "TOML `file` with the agent's settings")
	check := flags.Bool("check", false, "only check the settings")
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "corianderpass agent --settings FILE [--check]",
		ShortHelp:  "Stand beside a minion and hand it requests.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			s := agent.Settings{NoticeTime: defaultNoticeTime, DrainTime: defaultDrainTime}
			if done, err := load(c, *path, *check, &s); done || err != nil {
				return err
			}
			return initializeAgent(s, settings.NewLogger(s.Name, s.LogLevel)).Run(ctx)
		},
	}
}
