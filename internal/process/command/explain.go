package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/internal/process/timeline"
)

func newExplainCommand(c console) *ffcli.Command {
	flags := newFlagSet("explain", c)
	job := flags.String("job", "", "`ID` of a job whose stages and log lines are printed; otherwise a table of all jobs")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "corianderpass explain [--job ID] <file>...",
		ShortHelp:  "Account for the time and work of jobs from the logs of entries and agents on the users' platform.",
		LongHelp: "Each file has the log of one or several processes, in any order; - is standard input. Without --job, prints for each\n" +
			"queue how its jobs ended, the main cause of each late one, and the work that was thrown away by cause. With --job,\n" +
			"prints the stages of the job with the cause of each, and its log lines. Times of different machines are compared\n" +
			"as they stand in the logs. Lines that cannot be read are counted and left out.",
		FlagSet: flags,
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usage("no log file is given")
			}
			account := &timeline.Account{Detailed: *job}
			for _, name := range files {
				if err := readLog(account, name); err != nil {
					return err
				}
			}
			if *job != "" {
				return printJob(c.out, account, *job)
			}
			return printTable(c.out, account)
		},
	}
}

func readLog(account *timeline.Account, name string) error {
	if name == "-" {
		return account.Read("standard input", os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("command: open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	return account.Read(name, file)
}

// clockFormat is the format of times in reports. Logs of one complaint cover hours.
const clockFormat = "15:04:05.000"

func printJob(out io.Writer, account *timeline.Account, id string) error {
	stages, events := account.Stages(id), account.Events()
	if len(stages) == 0 && len(events) == 0 {
		return fmt.Errorf("command: no line names the job %s", id)
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "stage\tfrom\tseconds\tcause")
	for _, s := range stages {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\n", s.Name, s.From.Format(clockFormat), s.Length().Seconds(), s.Cause)
	}
	_, _ = fmt.Fprintln(t)
	for _, e := range events {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", e.Time.Format(clockFormat), e.Node, e.Text)
	}
	return finishReport(t, account)
}

func printTable(out io.Writer, account *timeline.Account) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "queue\tjobs\tin time\tlate\tfailed\tcancelled\trefused\topen\tlate by main cause")
	for _, q := range account.Queues() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", q.Name, q.Jobs, q.InTime, q.Late, q.Failed, q.Cancelled, q.Refused, q.Open, describeCauses(q.LateBy))
	}
	_, _ = fmt.Fprintln(t, "\nwork thrown away by\truns\tcore-seconds\taccelerator-seconds")
	for _, w := range account.Wasted() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\n", w.Cause, w.Runs, w.CoreSeconds, w.AcceleratorSeconds)
	}
	return finishReport(t, account)
}

// describeCauses returns the causes with their counts, the most frequent first.
func describeCauses(counts map[timeline.Cause]int) string {
	causes := slices.SortedFunc(maps.Keys(counts), func(a, b timeline.Cause) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(string(a), string(b))
	})
	var texts []string
	for _, c := range causes {
		texts = append(texts, fmt.Sprintf("%s %d", c, counts[c]))
	}
	return strings.Join(texts, ", ")
}

// finishReport writes the counts of lines and the first bad lines, and flushes the report.
func finishReport(t *tabwriter.Writer, account *timeline.Account) error {
	_, _ = fmt.Fprintf(t, "\n%d lines, %d not readable, %d beyond the limits\n", account.Lines, account.Bad, account.Dropped)
	for _, b := range account.BadLines {
		_, _ = fmt.Fprintf(t, "%s:%d: %v\n", b.Source, b.Number, b.Err)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("command: print report: %w", err)
	}
	return nil
}
