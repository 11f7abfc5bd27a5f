package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/pkg/client"
)

// pollEvery is the pause between two looks at a job that is waited for.
const pollEvery = 100 * time.Millisecond

// callerFlags are the flags of commands that act for an organisation.
type callerFlags struct {
	address *string
	token   *string
}

func addCallerFlags(flags *flag.FlagSet) callerFlags {
	return callerFlags{
		address: flags.String("address", "", "caller `address` of an entry or of the balancer"),
		token:   flags.String("token-file", "", "`file` with the organisation's token"),
	}
}

func (f callerFlags) open() (*client.Client, error) {
	if *f.address == "" || *f.token == "" {
		return nil, usage("--address and --token-file are needed")
	}
	token, err := os.ReadFile(*f.token)
	if err != nil {
		return nil, fmt.Errorf("command: read token: %w", err)
	}
	c := client.New(*f.address)
	c.Token = strings.TrimSpace(string(token))
	return c, nil
}

func newRequest(c console) *ffcli.Command {
	flags := newFlags("request", c)
	callers := addCallerFlags(flags)
	service := flags.String("service", "", "the `service`")
	id := flags.String("id", "", "own request `ID`; with it the request runs at most once however often it is sent")
	repeatable := flags.Bool("repeatable", false, "the request may run more than once")
	return &ffcli.Command{
		Name:       "request",
		ShortUsage: "corianderpass request --address ADDRESS --token-file FILE --service NAME [--id ID] [BODY | -]",
		ShortHelp:  "Send one request and print the answer.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			cl, err := callers.open()
			if err != nil {
				return err
			}
			body, err := readBody(arguments)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answer, err := cl.Do(ctx, client.Request{Service: *service, ID: *id, Repeatable: *repeatable, Body: body})
			if err != nil {
				return err
			}
			_, err = c.out.Write(append(answer.Body, '\n'))
			return err
		},
	}
}

func readBody(arguments []string) ([]byte, error) {
	switch {
	case len(arguments) > 1:
		return nil, usage("give one body")
	case len(arguments) == 1 && arguments[0] != "-":
		return []byte(arguments[0]), nil
	}
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, fmt.Errorf("command: read body: %w", err)
	}
	return data, nil
}

func newJob(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "job",
		ShortUsage: "corianderpass job <subcommand>",
		ShortHelp:  "Submit, follow and cancel gangs of tasks.",
		FlagSet:    newFlags("job", c),
		Subcommands: []*ffcli.Command{
			newJobSubmit(c),
			newJobDo(c, "status", "Show a job.", (*client.Client).Job),
			newJobDo(c, "cancel", "Cancel a job.", (*client.Client).Cancel),
			newJobList(c),
		},
		Exec: func(context.Context, []string) error { return usage("name a subcommand; see corianderpass job --help") },
	}
}

func newJobSubmit(c console) *ffcli.Command {
	flags := newFlags("submit", c)
	callers := addCallerFlags(flags)
	var j client.Job
	flags.StringVar(&j.ID, "id", "", "own job `ID`; submitting twice under one ID is safe")
	flags.StringVar(&j.Class, "class", "Batch", "`Urgent` or Batch")
	flags.IntVar(&j.Tasks, "tasks", 1, "number of tasks that run together")
	flags.IntVar(&j.Accelerators, "accelerators", 1, "adjacent accelerators for each task")
	cores := flags.Uint("cores", 0, "cores for each task")
	memory := flags.Uint64("memory", 0, "memory for each task in megabytes")
	flags.DurationVar(&j.RunTime, "run-time", 0, "estimated run time")
	flags.BoolVar(&j.RunOnce, "run-once", false, "never start the job a second time")
	wait := flags.Bool("wait", false, "wait for the job's end")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "corianderpass job submit --address ADDRESS --token-file FILE --id ID [flags] COMMAND",
		ShortHelp:  "Submit a job.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			cl, err := callers.open()
			if err != nil {
				return err
			}
			j.Cores = uint32(*cores)
			j.Memory = *memory
			j.Command = strings.Join(arguments, " ")
			status, err := cl.Submit(ctx, j)
			if err != nil {
				return err
			}
			if *wait {
				status, err = waitForEnd(ctx, cl, j.ID)
			}
			if err != nil {
				return err
			}
			return c.print(status)
		},
	}
}

// waitForEnd follows a job. A refused look is repeated, since the job goes on.
func waitForEnd(ctx context.Context, cl *client.Client, id string) (client.JobStatus, error) {
	for {
		status, err := cl.Job(ctx, id)
		if err == nil && status.IsEnded() {
			return status, nil
		}
		if typed := client.AsError(err); typed != nil && typed.RetryAfter == 0 && typed.Fate == client.FateNotRun {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("command: wait for job: %w", ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// newJobDo is a command that does one thing with one job.
func newJobDo(c console, name, help string, do func(*client.Client, context.Context, string) (client.JobStatus, error)) *ffcli.Command {
	flags := newFlags(name, c)
	callers := addCallerFlags(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "corianderpass job " + name + " --address ADDRESS --token-file FILE ID",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("name one job")
			}
			cl, err := callers.open()
			if err != nil {
				return err
			}
			status, err := do(cl, ctx, arguments[0])
			if err != nil {
				return err
			}
			return c.print(status)
		},
	}
}

func newJobList(c console) *ffcli.Command {
	flags := newFlags("list", c)
	callers := addCallerFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "corianderpass job list --address ADDRESS --token-file FILE",
		ShortHelp:  "Show the organisation's jobs.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			cl, err := callers.open()
			if err != nil {
				return err
			}
			jobs, err := cl.Jobs(ctx)
			if err != nil {
				return err
			}
			return c.print(jobs)
		},
	}
}
