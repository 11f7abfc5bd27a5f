package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// script applies the commands of one file to a ledger.
type script struct {
	state  *ledger.State
	offset platform.Offset
	now    time.Time
	policy placement.Policy
}

func (s *script) apply(r ledger.Record) string {
	s.offset++
	r.Rules = s.state.RulesVersion()
	if err := s.state.Apply(journal.Position{Offset: s.offset, Time: s.now, Writer: "script"}, r); err != nil {
		return "rejected: " + err.Error() + "\n"
	}
	return ""
}

// TestScripts runs the scripts in testdata/scripts. After each command the invariants must
// hold, and the verdict, jobs and slots must be those in the script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{state: ledger.NewState(region), now: time.UnixMilli(1_700_000_000_000).UTC()}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.command(t, d)
			if err := s.state.Check(); err != nil {
				t.Fatalf("%s: %v", d.Pos, err)
			}
			return out + s.show()
		})
	})
}

// command runs one command of a script. Without an epoch argument it uses the job's
// current epoch.
func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	name := ledger.JobID(argument(t, d, "job", ""))
	j := s.state.Job(name)
	epoch := platform.Epoch(0)
	if j != nil {
		epoch = j.Epoch
	}
	if d.HasArg("epoch") {
		number := 0
		d.ScanArgs(t, "epoch", &number)
		epoch = platform.Epoch(number)
	}
	switch d.Cmd {
	case "adopt":
		b, err := bundle.Parse(withOperators(t, d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return s.apply(ledger.Record{Adopt: &ledger.Adopt{Version: s.state.Version() + 1, Bundle: b}})
	case "workers":
		return s.apply(ledger.Record{Observe: &ledger.Observe{Joined: describedWorkers(t, d)}})
	case "lose":
		return s.apply(ledger.Record{Observe: &ledger.Observe{Lost: []platform.WorkerID{platform.WorkerID(argument(t, d, "worker", ""))}}})
	case "submit":
		return s.apply(ledger.Record{Submit: &ledger.Submit{Spec: specOf(t, d, name)}})
	case "decide":
		return s.decide()
	case "commit":
		return s.apply(ledger.Record{Commit: &ledger.Commit{Job: name, Epoch: epoch}})
	case "abort":
		return s.apply(ledger.Record{Abort: &ledger.Abort{Job: name, Epoch: epoch}})
	case "stopped":
		return s.apply(ledger.Record{Stopped: &ledger.Stopped{Job: name, Epoch: epoch, Progress: time.Minute}})
	case "finish":
		return s.apply(ledger.Record{Finish: &ledger.Finish{Job: name, Epoch: epoch}})
	case "fail":
		return s.apply(ledger.Record{Finish: &ledger.Finish{Job: name, Epoch: epoch, Failed: true, Error: "failed", Worker: j.Assignments[0].Worker}})
	case "cancel":
		return s.apply(ledger.Record{Cancel: &ledger.Cancel{Job: name}})
	case "takeover":
		return s.apply(ledger.Record{Takeover: &ledger.Takeover{Job: name, Epoch: epoch + 1, Driver: "second"}})
	case "wait":
		length, err := time.ParseDuration(argument(t, d, "for", "1s"))
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(length)
		return ""
	}
	return s.claimCommand(t, d)
}

// claimCommand runs a command on a claimed request and returns the claim's state. Without
// an epoch argument it uses epoch 1.
func (s *script) claimCommand(t *testing.T, d *datadriven.TestData) string {
	key := ledger.ClaimKey(argument(t, d, "key", ""))
	number := 1
	if d.HasArg("epoch") {
		d.ScanArgs(t, "epoch", &number)
	}
	epoch := platform.Epoch(number)
	out := ""
	switch d.Cmd {
	case "claim":
		out = s.apply(ledger.Record{Claim: &ledger.Claim{Key: key, Owner: "first", Service: "s", BodyDigest: argument(t, d, "body", "b")}})
	case "reclaim":
		out = s.apply(ledger.Record{Reclaim: &ledger.Reclaim{Key: key, Epoch: epoch, Owner: "second"}})
	case "settle":
		out = s.apply(ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: epoch, Answer: ledger.Answer{Fate: ledger.FateRan, Status: 200}}})
	case "unclaim":
		out = s.apply(ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: epoch}})
	default:
		t.Fatalf("unknown command: %s", d.Cmd)
	}
	c := s.state.Claim(key)
	if c == nil {
		return out + string(key) + " is free\n"
	}
	return out + fmt.Sprintf("%s by %s at %d, settled %t\n", key, c.Owner, c.Epoch, c.Answer != nil)
}

// decide applies the placements that the policy decides on.
func (s *script) decide() string {
	out := ""
	for _, p := range s.policy.Decide(s.state, s.now, func(ledger.JobID) bool { return false }).Places {
		p.Driver = "first"
		out += s.apply(ledger.Record{Place: &p})
	}
	return out
}

// show returns a line for each job and each slot of the state.
func (s *script) show() string {
	var out strings.Builder
	for _, j := range s.state.Jobs(func(*ledger.Job) bool { return true }) {
		fmt.Fprintf(&out, "%s %s", j.ID, j.Phase)
		if j.Outcome != "" {
			fmt.Fprintf(&out, " %s", j.Outcome)
		}
		if j.Kind != "" {
			fmt.Fprintf(&out, " %s epoch %d", j.Kind, j.Epoch)
		}
		for _, a := range j.Assignments {
			fmt.Fprintf(&out, " %s:%08b", a.Worker, a.Accelerators)
		}
		out.WriteString("\n")
	}
	for _, l := range s.state.Slots() {
		if l.Unplaced() {
			fmt.Fprintf(&out, "slot %s/%s %d has no place\n", l.Organisation, l.Guarantee, l.Index)
			continue
		}
		fmt.Fprintf(&out, "slot %s/%s %d %s:%08b %s\n", l.Organisation, l.Guarantee, l.Index, l.Worker, l.Accelerators, l.Job)
	}
	if out.Len() == 0 {
		return "empty\n"
	}
	return out.String()
}

// argument returns an argument of the command, fallback if it is missing.
func argument(t *testing.T, d *datadriven.TestData, name, fallback string) string {
	if !d.HasArg(name) {
		return fallback
	}
	d.ScanArgs(t, name, &fallback)
	return fallback
}

// intArgument returns a whole number from the arguments, fallback if it is missing.
func intArgument(t *testing.T, d *datadriven.TestData, name string, fallback int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &fallback)
	}
	return fallback
}

// describedWorkers returns as many equal workers as the argument count says, three in
// each rack.
func describedWorkers(t *testing.T, d *datadriven.TestData) []platform.Worker {
	var workers []platform.Worker
	for i := range intArgument(t, d, "count", 1) {
		workers = append(workers, platform.Worker{
			ID: platform.WorkerID(fmt.Sprint("w", i)), Rack: platform.RackID(fmt.Sprint("r", i/3)), Region: region,
			Accelerators: 8, Cores: 64, Memory: 1000,
		})
	}
	return workers
}

// specOf returns the specification of a job from the arguments. Jobs that run only once
// are not preemptible.
func specOf(t *testing.T, d *datadriven.TestData, name ledger.JobID) ledger.Spec {
	spec := ledger.Spec{
		ID: name, Class: ledger.Class(argument(t, d, "class", "Batch")), Tasks: intArgument(t, d, "tasks", 1),
		Accelerators: intArgument(t, d, "accelerators", 1), RunOnce: d.HasArg("once"), RunTime: time.Hour,
	}
	spec.Preemptible = !spec.RunOnce
	return spec
}

// withOperators appends two operators to a bundle, which Parse requires.
func withOperators(t *testing.T, lines string) string {
	t.Helper()
	return lines + `
[[Operators]]
Name = "ana"
PublicKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
[[Operators]]
Name = "bela"
PublicKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAE="
`
}
