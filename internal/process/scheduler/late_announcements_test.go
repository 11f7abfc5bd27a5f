package scheduler_test

import (
	"testing"
	"time"
)

// addRestartedMachine adds a worker whose machine loses power while the log still has to carry out the announcement of
// the minion's life, which it does after lateness. The next life and agent begin 500 ms after the loss.
func (in *installation) addRestartedMachine(lateness time.Duration) *testAgent {
	in.t.Helper()
	time.Sleep(time.Second)
	a := in.addWorker(workerCapacity())
	a.log.SetLate(lateness)
	time.Sleep(400 * time.Millisecond)
	a.stop()
	a.minion.StartLife()
	time.Sleep(500 * time.Millisecond)
	a.start()
	return a
}

// A machine loses power while the log still has to carry out the announcement of its minion's life. That record must
// not end the life which the next agent has announced: its tasks would start elsewhere while they run.
func TestLateAnnouncementOfFormerAgentEndsNoLife(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.addRestartedMachine(5500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		in.setDuration(12 * time.Second)
		in.submit(spec("job", 1, smallTask()))
		in.awaitStarts(1)
		in.addWorker(workerCapacity())
		in.wantOneStart()
	})
}

// The late announcement of a former agent arrives while its successor announces the next life. The successor must repeat
// its own if that comes second: the worker would be taken for one that nobody serves.
func TestSuccessorIsAnnouncedBesideLateAnnouncement(t *testing.T) {
	const successorStart = 900 * time.Millisecond
	for ms := range time.Duration(20) {
		withInstallation(t, func(_ *testing.T, in *installation) {
			in.addRestartedMachine(successorStart + (ms-5)*time.Millisecond)
			time.Sleep(time.Second)
			in.submit(spec("job", 1, smallTask()))
			in.wantOneStart()
		})
	}
}
