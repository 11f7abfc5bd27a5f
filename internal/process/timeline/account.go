package timeline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxJobs is the number of jobs that an Account keeps. The lines of further ones are counted.
	maxJobs = 100_000
	// maxRuns is the number of runs kept for one job.
	maxRuns = 20_000
	// maxEvents is the number of events kept for one job in detail, and of outages and changes of the lead.
	maxEvents = 10_000
	// maxLineBytes is the largest size of a line. A longer one counts as bad.
	maxLineBytes = 1 << 20
	// maxBadLines is the number of bad lines of which the position is kept.
	maxBadLines = 5
)

// BadLine is a line that could not be read.
type BadLine struct {
	Source string
	Number int
	Err    error
}

// Account collects what log lines say about jobs. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Account struct {
	// Detailed is the job of which all events are kept; empty for none.
	Detailed string

	jobs   map[string]*job
	events []Event
	// outages has the times in which an entry found the log unavailable, leaderless those without a leader.
	outages, leaderless []interval
	// Lines counts the lines read, Bad those that could not be read, and Dropped those of jobs, runs or
	// events beyond the limits.
	Lines, Bad, Dropped int
	// BadLines has the first bad lines.
	BadLines []BadLine
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// Event is one line about the detailed job.
type Event struct {
	Time time.Time
	Node string
	Text string
}

// job is what the lines say about one job. Times are zero before the line was seen.
type job struct {
	id, queue string
	// calledAt is the first call that submitted the job, and refusals the number of those that were refused.
	calledAt time.Time
	refusals int
	// acceptedAt is when a call was answered with success.
	acceptedAt time.Time
	stretch    float64
	target     time.Duration
	steps      []stepShape
	// heldBackAt and delayedAt are the first lines that say so, failureWaitAt the last one.
	heldBackAt, delayedAt, failureWaitAt time.Time
	runs                                 map[runKey]*run
	endedAt                              time.Time
	outcome, failure                     string
}

type runKey struct {
	step, index, number int
}

// run is one run of one task.
type run struct {
	placedAt, startedAt, endedAt time.Time
	worker                       string
	ran                          time.Duration
	how                          string
	// cause is why it ended without success: the reason of a stop, or how its worker was lost.
	cause string
	// refused is the reason for which the agent did not start it.
	refused string
}

// Read reads log lines until the end of the reader. The source names it in errors.
func (a *Account) Read(source string, r io.Reader) error {
	lines := bufio.NewReaderSize(r, 64<<10)
	for number := 1; ; number++ {
		text, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, bufio.ErrTooLong) {
			return fmt.Errorf("timeline: read %s: %w", source, err)
		}
		if len(text) > 0 {
			a.Lines++
			a.addText(source, number, text, err)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
}

// readLine returns the next line. A line longer than maxLineBytes is cut, with bufio.ErrTooLong.
func readLine(r *bufio.Reader) ([]byte, error) {
	var text []byte
	var tooLong error
	for {
		part, more, err := r.ReadLine()
		if err != nil {
			return text, err
		}
		if len(text)+len(part) > maxLineBytes {
			tooLong = bufio.ErrTooLong
		} else {
			text = append(text, part...)
		}
		if !more {
			return text, tooLong
		}
	}
}

func (a *Account) addText(source string, number int, text []byte, readErr error) {
	var l line
	err := readErr
	if !errors.Is(err, bufio.ErrTooLong) {
		l, err = parseLine(text)
	}
	switch {
	case errors.Is(err, errNoLine):
		return
	case err != nil:
		a.Bad++
		if len(a.BadLines) < maxBadLines {
			a.BadLines = append(a.BadLines, BadLine{Source: source, Number: number, Err: err})
		}
		return
	}
	a.add(l)
}

// add records what the line says.
func (a *Account) add(l line) {
	switch l.Message {
	case "log is unavailable":
		a.outages = a.appendInterval(a.outages, interval{from: l.Time})
	case "log is available again":
		a.outages = endInterval(a.outages, l.Time)
	case "give up the lead":
		if !l.failed() {
			a.leaderless = a.appendInterval(a.leaderless, interval{from: l.Time})
		}
	case "take the lead":
		if !l.failed() {
			a.leaderless = endInterval(a.leaderless, l.Time)
		}
	case "call", "submit", "job ended", "delayed", "held back", "last attempt waits", "place in spite of quarantine":
		if j := a.job(l.Job); j != nil {
			j.add(l)
			a.addEvent(l, l.Job)
		}
	case "place":
		a.addPlacement(l)
	case "start", "end", "stop", "refuse":
		a.addRun(l)
	case "life of the minion ended":
		a.addLoss(l)
	}
}

func (a *Account) appendInterval(all []interval, i interval) []interval {
	if len(all) >= maxEvents {
		a.Dropped++
		return all
	}
	return append(all, i)
}

// endInterval ends the newest interval that began before the time and has not ended.
func endInterval(all []interval, at time.Time) []interval {
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].to.IsZero() && all[i].from.Before(at) {
			all[i].to = at
			break
		}
	}
	return all
}

// job returns the job with the ID, nil if it is empty or beyond maxJobs.
func (a *Account) job(id string) *job {
	if id == "" {
		return nil
	}
	if j := a.jobs[id]; j != nil {
		return j
	}
	if len(a.jobs) >= maxJobs {
		a.Dropped++
		return nil
	}
	if a.jobs == nil {
		a.jobs = map[string]*job{}
	}
	j := &job{id: id, runs: map[runKey]*run{}}
	a.jobs[id] = j
	return j
}

// run returns the run with the name and number of the task; nil if it is beyond a limit or the name is invalid.
func (a *Account) run(task string, number int) *run {
	name, ok := parseTask(task)
	if !ok {
		return nil
	}
	j := a.job(name.job)
	if j == nil {
		return nil
	}
	key := runKey{name.step, name.index, number}
	if r := j.runs[key]; r != nil {
		return r
	}
	if len(j.runs) >= maxRuns {
		a.Dropped++
		return nil
	}
	r := &run{}
	j.runs[key] = r
	return r
}

func (a *Account) addEvent(l line, id string) {
	if a.Detailed == "" || id != a.Detailed {
		return
	}
	if len(a.events) >= maxEvents {
		a.Dropped++
		return
	}
	a.events = append(a.events, Event{Time: l.Time, Node: l.Node, Text: l.describe()})
}

// addPlacement records a placement. Its line names the first task of a gang and the workers of all.
func (a *Account) addPlacement(l line) {
	first, ok := parseTask(l.Task)
	if !ok || l.Outcome != "recorded" {
		return
	}
	for i, worker := range l.Workers {
		task := l.Task
		if i > 0 {
			task = fmt.Sprintf("%s%d", strings.TrimSuffix(l.Task, fmt.Sprint(first.index)), first.index+i)
		}
		if r := a.run(task, l.Run); r != nil {
			r.placedAt, r.worker = l.Time, worker
		}
	}
	a.addEvent(l, first.job)
}

// addRun records a line about one run.
func (a *Account) addRun(l line) {
	name, ok := parseTask(l.Task)
	if !ok {
		return
	}
	a.addEvent(l, name.job)
	r := a.run(l.Task, l.Run)
	if r == nil {
		return
	}
	switch l.Message {
	case "start":
		if !l.failed() {
			r.startedAt = earliest(r.startedAt, l.Time)
		}
	case "end":
		r.endedAt, r.how, r.ran = l.Time, l.How, milliseconds(l.RanMS)
	case "refuse":
		r.refused = l.Reason
	case "stop":
		if l.Reason != "" {
			r.cause = l.Reason
		}
	}
}

// addLoss records the runs that were lost with their worker.
func (a *Account) addLoss(l line) {
	for _, text := range l.Runs {
		task, numberText, _ := strings.Cut(text, "/")
		var number int
		if _, err := fmt.Sscan(numberText, &number); err != nil {
			continue
		}
		name, ok := parseTask(task)
		if !ok {
			continue
		}
		a.addEvent(l, name.job)
		if r := a.run(task, number); r != nil && r.endedAt.IsZero() {
			r.endedAt, r.how, r.cause = l.Time, "Lost", "worker "+l.Cause
		}
	}
}

// add records a line about the whole job.
func (j *job) add(l line) {
	if l.Queue != "" {
		j.queue = l.Queue
	}
	switch l.Message {
	case "call":
		if l.Method != "POST" {
			return
		}
		j.calledAt = earliest(j.calledAt, l.Time.Add(-milliseconds(l.MS)))
		switch {
		case l.Status/100 == 2:
			j.acceptedAt = earliest(j.acceptedAt, l.Time)
		case l.Status >= 429:
			j.refusals++
		}
	case "submit":
		j.stretch, j.target = l.Stretch, milliseconds(l.TargetMS)
		j.steps = nil
		for _, text := range l.Steps {
			s, err := parseStep(text)
			if err != nil {
				return
			}
			j.steps = append(j.steps, s)
		}
	case "job ended":
		j.endedAt, j.outcome, j.failure = l.Time, l.Outcome, l.Failure
	case "delayed":
		j.delayedAt = earliest(j.delayedAt, l.Time)
	case "held back":
		j.heldBackAt = earliest(j.heldBackAt, l.Time)
	case "last attempt waits":
		// A job may wait again after further failures.
		j.failureWaitAt = l.Time
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// describe returns the line as text for a person.
func (l line) describe() string {
	text := l.Message
	add := func(format string, set bool, value any) {
		if set {
			text += fmt.Sprintf(format, value)
		}
	}
	add(" %s", l.Method != "", l.Method)
	add(" status %d", l.Status != 0, l.Status)
	add(" %s", l.Task != "", l.Task)
	add(" run %d", l.Run != 0, l.Run)
	add(" on %s", l.Worker != "", l.Worker)
	add(" on %d workers", len(l.Workers) > 1, len(l.Workers))
	add(" %s", l.How != "", l.How)
	add(" after %.0f ms", l.RanMS != 0, l.RanMS)
	add(" %s", l.Outcome != "", l.Outcome)
	add(" because of %s", l.Reason+l.Cause+l.Failure != "", l.Reason+l.Cause+l.Failure)
	add(": %s", l.failed(), l.errorText())
	return text
}

// Events returns the events of the detailed job in the order of time.
func (a *Account) Events() []Event {
	slices.SortStableFunc(a.events, func(x, y Event) int { return cmp.Compare(x.Time.UnixNano(), y.Time.UnixNano()) })
	return a.events
}
