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

// pollInterval is the pause between two status calls while a command waits for a job to end.
const pollInterval = 100 * time.Millisecond

// callerFlags holds the flags of commands that authenticate as an organisation.
type callerFlags struct {
	address   *string
	tokenFile *string
}

func addCallerFlags(flags *flag.FlagSet) callerFlags {
	return callerFlags{
		address:   flags.String("address", "", "caller `address` of an entry or of the load balancer"),
		tokenFile: flags.String("token-file", "", "`file` that contains the organisation's token"),
	}
}

// open returns a client that uses the token from the token file.
func (f callerFlags) open() (*client.Client, error) {
	if *f.address == "" || *f.tokenFile == "" {
		return nil, usage("--address and --token-file are required")
	}
	token, err := os.ReadFile(*f.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("command: read token: %w", err)
	}
	c := client.New(*f.address)
	c.Token = strings.TrimSpace(string(token))
	return c, nil
}

func newRequestCommand(c console) *ffcli.Command {
	flags := newFlagSet("request", c)
	caller := addCallerFlags(flags)
	service := flags.String("service", "", "`name` of the service")
	id := flags.String("id", "", "request `ID` chosen by the caller; all requests with one ID together run at most once")
	repeatable := flags.Bool("repeatable", false, "allow the request to run more than once")
	return &ffcli.Command{
		Name:       "request",
		ShortUsage: "corianderpass request --address ADDRESS --token-file FILE --service NAME [--id ID] [BODY | -]",
		ShortHelp:  "Send a request and print the answer.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			cl, err := caller.open()
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

// readBody returns the only argument, or standard input if there is none or it is "-".
func readBody(arguments []string) ([]byte, error) {
	switch {
	case len(arguments) > 1:
		return nil, usage("at most one body is allowed")
	case len(arguments) == 1 && arguments[0] != "-":
		return []byte(arguments[0]), nil
	}
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, fmt.Errorf("command: read body: %w", err)
	}
	return data, nil
}

func newJobCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "job",
		ShortUsage: "corianderpass job <subcommand>",
		ShortHelp:  "Submit, show and cancel jobs.",
		FlagSet:    newFlagSet("job", c),
		Subcommands: []*ffcli.Command{
			newJobSubmitCommand(c),
			newSingleJobCommand(c, "status", "Show the status of a job.", (*client.Client).Job),
			newSingleJobCommand(c, "cancel", "Cancel a job.", (*client.Client).Cancel),
			newJobListCommand(c),
		},
		Exec: func(context.Context, []string) error {
			return usage("the subcommand is missing; see corianderpass job --help")
		},
	}
}

func newJobSubmitCommand(c console) *ffcli.Command {
	flags := newFlagSet("submit", c)
	caller := addCallerFlags(flags)
	var j client.Job
	flags.StringVar(&j.ID, "id", "", "job `ID` chosen by the caller; submitting a job again under its ID has no further effect")
	flags.StringVar(&j.Class, "class", "Batch", "job class: `Urgent` or Batch")
	flags.IntVar(&j.Tasks, "tasks", 1, "number of tasks, which run at the same time")
	flags.IntVar(&j.Accelerators, "accelerators", 1, "number of adjacent accelerators per task")
	cores := flags.Uint("cores", 0, "number of processor cores per task")
	memory := flags.Uint64("memory", 0, "memory per task in megabytes")
	flags.DurationVar(&j.RunTime, "run-time", 0, "estimated run time")
	flags.BoolVar(&j.RunOnce, "run-once", false, "never restart the job")
	wait := flags.Bool("wait", false, "wait until the job has ended")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "corianderpass job submit --address ADDRESS --token-file FILE --id ID [flags] COMMAND",
		ShortHelp:  "Submit a job.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			cl, err := caller.open()
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

// waitForEnd polls the job until it has ended and returns its last status. It ignores failed
// calls, since the job goes on meanwhile, except an error that says that a retry is useless.
func waitForEnd(ctx context.Context, cl *client.Client, id string) (client.JobStatus, error) {
	for {
		status, err := cl.Job(ctx, id)
		if err == nil && status.IsEnded() {
			return status, nil
		}
		if clientErr := client.AsError(err); clientErr != nil && clientErr.RetryAfter == 0 && clientErr.Fate == client.FateNotRun {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("command: wait for job: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// newSingleJobCommand returns a command that makes the call for the job whose ID is the only
// argument and prints the job's status.
func newSingleJobCommand(c console, name, help string, call func(*client.Client, context.Context, string) (client.JobStatus, error)) *ffcli.Command {
	flags := newFlagSet(name, c)
	caller := addCallerFlags(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "corianderpass job " + name + " --address ADDRESS --token-file FILE ID",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usage("the ID of exactly one job is required")
			}
			cl, err := caller.open()
			if err != nil {
				return err
			}
			status, err := call(cl, ctx, arguments[0])
			if err != nil {
				return err
			}
			return c.print(status)
		},
	}
}

func newJobListCommand(c console) *ffcli.Command {
	flags := newFlagSet("list", c)
	caller := addCallerFlags(flags)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "corianderpass job list --address ADDRESS --token-file FILE",
		ShortHelp:  "Show the status of all jobs of the organisation.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			cl, err := caller.open()
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
