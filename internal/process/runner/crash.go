package runner

import (
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// noteFailure updates brokenAt and refused after an order that got no answer.
func (l *minionLife) noteFailure(err error, now time.Duration) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	l.refused = l.refused || refused
	if l.brokenAt == 0 && (refused || isBrokenOff(err)) {
		l.brokenAt = now
	}
}

// noteAnswer resets brokenAt and refused after an order that was answered.
func (l *minionLife) noteAnswer() { l.brokenAt, l.refused = 0, false }

// isBrokenOff reports whether the error of an order means that its connection was closed before the answer.
func isBrokenOff(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

const (
	// recentTime is the longest time from the order of a run until its life was found to have ended for
	// which the run counts as recent.
	recentTime = 500 * time.Millisecond
	// batchTime is the longest time between two orders for which it is unknown which of the runs has
	// crashed the life.
	batchTime = 20 * time.Millisecond
)

// implicated returns the lost runs that may have crashed the life: the recent ones if there are any,
// otherwise all. It returns nil if the life did not crash or if the runs may have ended before. now is the
// time at which the next life was found.
func (l *minionLife) implicated(lost []workload.TaskRef, now time.Duration) []workload.Crash {
	if l.lossCause(now) != lossCrashed {
		return nil
	}
	endedAt := l.foundAt(now)
	// An order that was sent to a minion that had crashed already is not to blame.
	lost = slices.DeleteFunc(slices.Clone(lost), func(ref workload.TaskRef) bool { return l.runs[ref].orderedAt > endedAt })
	newest := l.newestRuns(lost)
	var recent, others []workload.Crash
	for _, ref := range lost {
		run := l.runs[ref]
		c := workload.Crash{Task: ref, Run: run.number}
		if run.phase == phaseStarted {
			c.Ran = l.lastContact() - run.startedAt
		}
		if endedAt-run.orderedAt > recentTime {
			others = append(others, c)
			continue
		}
		c.Early = slices.Contains(newest, ref)
		c.Unconfirmed = c.Early && run.phase != phaseStarted
		recent = append(recent, c)
	}
	if len(recent) > 0 {
		return recent
	}
	return others
}

// newestRuns returns those of the lost runs to which an early crash is attributed: a task that crashes its
// minions as it starts is the last one to start there. If the start of one newest run was broken off, it is
// that run; if those of several were, the minion may not have begun them, and the result is empty. Otherwise
// all newest runs are returned whose starts were confirmed.
func (l *minionLife) newestRuns(lost []workload.TaskRef) []workload.TaskRef {
	newestAt := time.Duration(0)
	for _, ref := range lost {
		newestAt = max(newestAt, l.runs[ref].orderedAt)
	}
	var confirmed, brokenOff []workload.TaskRef
	for _, ref := range lost {
		run := l.runs[ref]
		switch {
		case newestAt-run.orderedAt > batchTime:
		case run.phase == phaseStarted:
			confirmed = append(confirmed, ref)
		case run.brokenOff:
			brokenOff = append(brokenOff, ref)
		}
	}
	switch len(brokenOff) {
	case 0:
		return confirmed
	case 1:
		return brokenOff
	}
	return nil
}

// probableCrashes returns the crashes of the life if the minion has had no listener since soon after it last
// answered. It may have been cut off instead, and run on.
func (l *minionLife) probableCrashes() []workload.Crash {
	if !l.refused {
		return nil
	}
	return l.implicated(l.lostRuns(Status{}), l.brokenAt)
}
