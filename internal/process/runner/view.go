package runner

import (
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/workload"
)

// view is a copy of the workload's state of the current life and of the runs that are
// assigned to it.
type view struct {
	// caughtUp is false until the log has been read to its end once.
	caughtUp bool
	// freshUntil is a time of the runner's clock: the view includes all records that were
	// in the log by then.
	freshUntil time.Duration
	// known is true if the workload contains the life. The fields below are copies of the
	// fields of its Worker; they are unset if known is false.
	known                                   bool
	gone, suspected, draining, unresponsive bool
	// evacuated is true while the worker's failure domain is evacuated.
	evacuated bool
	agent     incarnation.ID
	room      workload.Resources
	// crashes is the number of crashes in the newest report.
	crashes  int
	seenEnds uint64
	runs     map[workload.TaskRef]assignedRun
}

// assignedRun is a run that the workload has placed on this worker.
type assignedRun struct {
	run workload.Run
	// wanted is true if the run must continue or start, false if it must be stopped.
	wanted      bool
	reservation workload.Resources
	payload     string
	resume      workload.Checkpoint
	permit      workload.Permit
	// checkpointing is set if the task saves checkpoints.
	checkpointing bool
	// estimate is the caller's estimate of the task's duration; 0 if there is none.
	estimate time.Duration
	// filler is set if the task uses only processor time that other tasks leave idle.
	filler bool
	// targetLatency is the highest tail latency that a latency-sensitive task may have; 0 for
	// other tasks. A latency-sensitive task is one whose step has a TailTarget.
	targetLatency time.Duration
}

// view returns the current state of the life in the workload.
func (r *Runner) view() view {
	freshUntil, caughtUp := r.journal.CompleteAsOf()
	v := view{freshUntil: freshUntil, caughtUp: caughtUp}
	if r.life == nil {
		return v
	}
	r.journal.View(func(time.Time) {
		w := r.state.Worker(r.life.id)
		if w == nil {
			return
		}
		v.known = true
		v.gone, v.suspected, v.draining, v.unresponsive = w.Gone, w.Suspected, w.Draining, w.Unresponsive
		v.evacuated = r.state.IsEvacuated(w)
		v.agent, v.room, v.crashes, v.seenEnds = w.Agent, w.Room, len(w.Crashes), w.SeenEnds
		v.runs = make(map[workload.TaskRef]assignedRun, len(w.Runs))
		for ref, run := range w.Runs {
			j, _, t, _ := r.state.Task(ref)
			v.runs[ref] = assignedRun{
				run: run, wanted: j.Open() && t.Phase == workload.PhaseRunning, reservation: j.Steps[ref.Step].Reservation(),
				payload: j.Payload, resume: t.Saved, permit: t.Permit, checkpointing: j.Steps[ref.Step].Checkpointing,
				estimate: j.Steps[ref.Step].Estimate, filler: j.Steps[ref.Step].Filler, targetLatency: j.Steps[ref.Step].TailTarget,
			}
		}
	})
	return v
}

// mayRenewLeases reports whether the agent may renew the worker's leases.
func (v view) mayRenewLeases(self incarnation.ID) bool {
	return v.caughtUp && v.known && !v.gone && !v.suspected && v.agent == self
}
