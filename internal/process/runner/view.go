package runner

import (
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/workload"
)

// view is what the workload says of the present life.
type view struct {
	// caughtUp is false before the workload was read to its end.
	caughtUp bool
	// fresh is the moment up to which the view is complete.
	fresh time.Duration
	// known is false for a life that the workload does not have.
	known                                   bool
	gone, suspected, draining, unresponsive bool
	agent                                   incarnation.ID
	seenEnds                                uint64
	runs                                    map[workload.TaskRef]ordered
}

// ordered is a run that the workload has on this worker.
type ordered struct {
	run workload.Run
	// wanted runs are to go on; the others are to end.
	wanted  bool
	payload string
	resume  workload.Checkpoint
	permit  workload.Permit
	// checkpointing tasks keep their progress.
	checkpointing bool
	// filler tasks work with what others leave.
	filler bool
	// target bounds the tail latency of a task that serves; 0 for all others.
	target time.Duration
}

// view reads the workload.
func (r *Runner) view() view {
	fresh, caughtUp := r.journal.Fresh()
	v := view{fresh: fresh, caughtUp: caughtUp}
	if r.life == nil {
		return v
	}
	r.journal.Look(func(time.Time) {
		w := r.state.Worker(r.life.id)
		if w == nil {
			return
		}
		v.known = true
		v.gone, v.suspected, v.draining, v.unresponsive = w.Gone, w.Suspected, w.Draining, w.Unresponsive
		v.agent, v.seenEnds = w.Agent, w.SeenEnds
		v.runs = make(map[workload.TaskRef]ordered, len(w.Runs))
		for ref, run := range w.Runs {
			j, _, t, _ := r.state.Task(ref)
			v.runs[ref] = ordered{
				run: run, wanted: j.Open() && t.Phase == workload.PhaseRunning,
				payload: j.Payload, resume: t.Saved, permit: t.Permit, checkpointing: j.Steps[ref.Step].Checkpointing,
				filler: j.Steps[ref.Step].Filler, target: j.Steps[ref.Step].TailTarget,
			}
		}
	})
	return v
}

// mayProlong tells whether the agent may prolong the worker's leases.
func (v view) mayProlong(self incarnation.ID) bool {
	return v.caughtUp && v.known && !v.gone && !v.suspected && v.agent == self
}
