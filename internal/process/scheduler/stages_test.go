package scheduler_test

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// stages are the times from the loss of the leader to each stage of the succession.
type stages struct {
	// lead is the time to the next Lead record, place to the first job placed after it, and
	// start to the start of that job on a minion.
	lead, place, start time.Duration
	// pause is the longest time for which the state had no leader.
	pause time.Duration
	// changes is the number of Lead records within three seconds.
	changes workload.Term
}

// observer folds the stream without pauses between reads.
type observer struct {
	journal *journal.Journal[workload.Record]
	state   *workload.State
}

// newSuccessionTest returns an installation of the size of the smallest deployment with many entries, with
// ranks as package command derives them, and calls to the log that take 4 ms.
func newSuccessionTest(t *testing.T) (*installation, *observer) {
	in := newInstallation(t)
	in.rankOf = func(number int) int {
		h := fnv.New32a()
		_, _ = fmt.Fprintf(h, "entry%d", number)
		return int(h.Sum32() % 4)
	}
	in.entryReadPause = 72 * time.Millisecond
	in.setDuration(300 * time.Millisecond)
	normal := standin.LogFaults{Delay: 4 * time.Millisecond}
	in.log.SetFaults(normal)
	in.presence.SetFaults(normal)
	o := &observer{state: workload.NewState()}
	o.journal = journal.New(in.newLog("observer"), "Workload", incarnation.New("observer", time.Now()), journal.StateMachine[workload.Record](o.state),
		journal.Options{Clock: in.clock, ReadWait: time.Second, MaySnapshot: func() bool { return false }})
	stop := in.startAll(o.journal.Start)
	t.Cleanup(stop)
	for range 9 {
		in.addEntry()
		time.Sleep(20 * time.Millisecond)
	}
	for range 2 {
		in.addWorker(workerCapacity())
	}
	time.Sleep(4 * time.Second)
	return in, o
}

// leader returns the leader and the term in the state of the observer.
func (o *observer) leader() (leader incarnation.ID, term workload.Term) {
	o.journal.View(func(time.Time) { leader, term = o.state.Leader() })
	return leader, term
}

// placed returns the jobs with runs.
func (o *observer) placed() map[workload.JobID]bool {
	placed := map[workload.JobID]bool{}
	o.journal.View(func(time.Time) {
		for id, j := range o.state.Jobs() {
			if j.Occurrences[0].Steps[0].Tasks[0].Run > 0 {
				placed[id] = true
			}
		}
	})
	return placed
}

// leadingEntry returns the entry that leads.
func (in *installation) leadingEntry() *testEntry {
	i := slices.IndexFunc(in.entries, func(e *testEntry) bool { return e.leads() })
	if i < 0 {
		in.t.Fatal("got no leader, want one")
	}
	return in.entries[i]
}

// submitFlow submits a small job every 50 ms at the entry until the context ends.
func (in *installation) submitFlow(ctx context.Context, at *testEntry, prefix string) <-chan error {
	n := 0
	return repeat(ctx, 50*time.Millisecond, func() {
		n++
		s := spec(fmt.Sprint(prefix, n), 1, workload.Resources{Cores: 100, Memory: 1})
		in.setReservation(s)
		submittedAt := in.clock()
		if at.intake.Submit(ctx, s) == nil {
			in.mu.Lock()
			in.submissions[s.ID] = submittedAt
			in.mu.Unlock()
		}
	})
}

// longestWait returns the longest time from the submission of a job of submitFlow to its first start.
func (in *installation) longestWait() (longest time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for id, submittedAt := range in.submissions {
		startedAt, started := in.firstStarts[id]
		if !started {
			startedAt = in.clock()
		}
		longest = max(longest, startedAt-submittedAt)
	}
	return longest
}

// measureStages loses the leader and measures the stages of the succession.
func (in *installation) measureStages(o *observer, lose func()) stages {
	in.t.Helper()
	var s stages
	var before map[workload.JobID]bool
	var first workload.JobID
	_, term := o.leader()
	lostAt := in.clock()
	lost := make(chan struct{})
	go func() { lose(); close(lost) }()
	ledAt := lostAt
	for ; in.clock()-lostAt < 3*time.Second; time.Sleep(time.Millisecond) {
		elapsed := in.clock() - lostAt
		leader, current := o.leader()
		if leader != "" {
			ledAt = in.clock()
		}
		s.pause = max(s.pause, in.clock()-ledAt)
		if s.lead == 0 && leader != "" && current > term {
			s.lead = elapsed
			before = o.placed()
		}
		if s.lead > 0 && first == "" {
			for id := range o.placed() {
				if !before[id] {
					first, s.place = id, elapsed
				}
			}
		}
		if at, started := in.firstStart(first); started && s.start == 0 {
			s.start = at - lostAt
		}
	}
	<-lost
	_, last := o.leader()
	s.changes = last - term
	return s
}

// trialCount returns the number of trials. The environment variable WORLD_TRIALS overrides the default of 4.
func trialCount() int {
	if n, err := strconv.Atoi(os.Getenv("WORLD_TRIALS")); err == nil {
		return n
	}
	return 4
}

// trials measures the stages several times, each with another time from the last decision to the loss,
// and logs their medians and maxima.
func trials(t *testing.T, name string, measure func(in *installation, o *observer) stages) []stages {
	t.Helper()
	var all []stages
	for i := range trialCount() {
		synctest.Test(t, func(t *testing.T) {
			in, o := newSuccessionTest(t)
			ctx, cancel := context.WithCancel(t.Context())
			flow := in.submitFlow(ctx, in.entries[i%9], "warm")
			time.Sleep(time.Second + time.Duration(i)*27*time.Millisecond)
			cancel()
			<-flow
			all = append(all, measure(in, o))
			in.stop()
		})
	}
	for _, stage := range []struct {
		name string
		of   func(stages) time.Duration
	}{{"lead", func(s stages) time.Duration { return s.lead }}, {"place", func(s stages) time.Duration { return s.place }}, {"start", func(s stages) time.Duration { return s.start }}} {
		sorted := slices.SortedFunc(slices.Values(all), func(a, b stages) int { return cmp.Compare(stage.of(a), stage.of(b)) })
		t.Logf("%s: %s after %v at the median, %v at most", name, stage.name, stage.of(sorted[len(sorted)/2]).Round(time.Millisecond), stage.of(sorted[len(sorted)-1]).Round(time.Millisecond))
	}
	most := slices.MaxFunc(all, func(a, b stages) int { return cmp.Compare(a.changes, b.changes) })
	t.Logf("%s: %d changes of the leader at most", name, most.changes)
	return all
}

// withFlow calls measure while jobs are submitted at an entry that does not lead.
func (in *installation) withFlow(measure func(leader *testEntry) stages) stages {
	leader := in.leadingEntry()
	at := in.entries[(leader.number+1)%len(in.entries)]
	ctx, cancel := context.WithCancel(in.t.Context())
	defer cancel()
	flow := in.submitFlow(ctx, at, "job")
	time.Sleep(300 * time.Millisecond)
	s := measure(leader)
	cancel()
	<-flow
	return s
}

// leave stops the entry as its process does on SIGTERM.
func (e *testEntry) leave() {
	e.scheduler.Resign(context.Background())
	time.Sleep(2200 * time.Millisecond)
	e.stop()
}

// wantFirstStart fails the test if a first start took longer than the limit, or if the leader changed more
// than once.
func wantFirstStart(t *testing.T, all []stages, limit time.Duration) {
	t.Helper()
	for i, s := range all {
		if s.start == 0 || s.start > limit || s.changes != 1 {
			t.Errorf("trial %d: got the first start after %v and %d changes of the leader, want a start within %v and 1 change", i, s.start, s.changes, limit)
		}
	}
}

// handoverLimit is the longest pause that a planned stop of the leader may cause while the log works
// normally, and killLimit the longest time from an unplanned loss of the leader to the next start.
const (
	handoverLimit = 200 * time.Millisecond
	killLimit     = time.Second
)

// The leader stops as planned. Its successor once waited for its tick and its rank before it led, and for
// another tick before it decided.
func TestResignedLeaderCausesNoPause(t *testing.T) {
	all := trials(t, "resigned", func(in *installation, o *observer) stages {
		return in.withFlow(func(leader *testEntry) stages { return in.measureStages(o, leader.leave) })
	})
	wantFirstStart(t, all, handoverLimit)
}

// The leader is killed during a burst of submissions. If its death were only noticed by its silence, the
// burst would wait for the time that a slow leader is given.
func TestKilledLeaderIsReplacedDuringBurst(t *testing.T) {
	all := trials(t, "killed", func(in *installation, o *observer) stages {
		return in.withFlow(func(leader *testEntry) stages {
			ctx, cancel := context.WithCancel(in.t.Context())
			for i := range 20 {
				flow := in.submitFlow(ctx, in.entries[(leader.number+2)%len(in.entries)], fmt.Sprint("burst", i, "-"))
				defer func() { <-flow }()
			}
			defer time.AfterFunc(500*time.Millisecond, cancel).Stop()
			defer cancel()
			return in.measureStages(o, leader.stop)
		})
	})
	wantFirstStart(t, all, killLimit)
	for i, s := range all {
		if s.lead > overdueLimit {
			t.Errorf("trial %d: got a new leader after %v, want one within %v", i, s.lead, overdueLimit)
		}
	}
}

// overdueLimit is how long decisions must be overdue before a leader that may be alive is replaced. A leader
// whose process has ended must be replaced earlier.
const overdueLimit = 350 * time.Millisecond

// The machine of the leader loses power, so that calls to it are not even refused.
func TestSilentLeaderIsReplaced(t *testing.T) {
	all := trials(t, "silent", func(in *installation, o *observer) stages {
		return in.withFlow(func(leader *testEntry) stages {
			return in.measureStages(o, func() {
				in.setSilent(leader)
				leader.stop()
			})
		})
	})
	wantFirstStart(t, all, killLimit)
}

// The leader loses its connection to the log but answers calls. It must be replaced although it is alive.
func TestLeaderThatIsCutOffIsReplaced(t *testing.T) {
	all := trials(t, "cut off", func(in *installation, o *observer) stages {
		return in.withFlow(func(leader *testEntry) stages {
			return in.measureStages(o, func() { leader.log.SetDown(true) })
		})
	})
	wantFirstStart(t, all, killLimit)
}

// All processes stop and start again while jobs wait. The entries once gave the leader of the state, which
// had ended, the time that a slow leader is given.
func TestFirstDecisionAfterAllProcessesStopped(t *testing.T) {
	all := trials(t, "all stopped", func(in *installation, o *observer) stages {
		leader := in.leadingEntry()
		leader.stop()
		last := in.entries[(leader.number+1)%len(in.entries)]
		for _, e := range in.entries {
			if e != leader && e != last {
				e.stop()
			}
		}
		for i := range 4 {
			s := spec(fmt.Sprint("job", i), 1, smallTask())
			in.setReservation(s)
			if err := last.intake.Submit(in.t.Context(), s); err != nil {
				in.t.Errorf("submit job %s: got error %v, want none", s.ID, err)
			}
		}
		last.stop()
		for _, a := range in.agents {
			a.stop()
		}
		time.Sleep(time.Second)
		return in.measureStages(o, func() {
			for _, e := range in.entries {
				e.start()
			}
			for _, a := range in.agents {
				a.start()
			}
		})
	})
	wantFirstStart(t, all, handoverLimit)
}
