package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
)

// The room of a minion shrinks while tasks run there, and grows again later. No start may bring the minion
// over its room once its status report and the time of contact have passed, and the whole room must be
// used again after it has grown.
func TestStartsFitIntoRoomThatChanges(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addPromptWorker()
		in.setDuration(6 * time.Second)
		in.submit(spec("first", 6, smallTask()))
		time.Sleep(time.Second)
		small := workload.Resources{Cores: 3000, Memory: 1000, Accelerators: 3}
		a.minion.Resize(small)
		time.Sleep(reportInterval + 3*time.Second)
		if room := in.recordedRoom(a); room != small {
			t.Errorf("got room %v in the state, want %v", room, small)
		}
		in.setDuration(2 * time.Second)
		for i := range 4 {
			in.submit(spec(fmt.Sprint("job", i), 2, smallTask()))
		}
		in.await("first", workload.OutcomeCompleted, 10*time.Second)
		for i := range 4 {
			// Eight tasks of 2 s on a room for three.
			in.await(fmt.Sprint("job", i), workload.OutcomeCompleted, 10*time.Second)
		}
		a.minion.Resize(workerCapacity())
		time.Sleep(reportInterval + 3*time.Second)
		in.submit(spec("last", 8, smallTask()))
		in.await("last", workload.OutcomeCompleted, 3500*time.Millisecond)
	})
}

// The room of a minion shrinks while its agent cannot record that, so that the leader places more tasks
// there than fit. The agent must not start those.
func TestAgentStartsNothingOverTheReportedRoom(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a := in.addPromptWorker()
		a.log.SetReadOnly(true)
		a.minion.Resize(workload.Resources{Cores: 3000, Memory: 1000, Accelerators: 3})
		time.Sleep(reportInterval + 100*time.Millisecond)
		in.submit(spec("job", 6, smallTask()))
		time.Sleep(300 * time.Millisecond)
		a.log.SetReadOnly(false)
		in.await("job", workload.OutcomeCompleted, 8*time.Second)
	})
}

// recordedRoom returns the room of the agent's minion in the state of the first entry.
func (in *installation) recordedRoom(a *testAgent) (room workload.Resources) {
	e := in.entries[0]
	e.journal.View(func(time.Time) {
		if w := e.state.Worker(runner.LifeID(a.minion.ID, a.minion.Born())); w != nil {
			room = w.Room
		}
	})
	return room
}

// A minion shrinks while its agent restarts. The new agent announces the smaller room, which the runs
// exceed. All processes must still be able to load a snapshot of that state.
func TestSnapshotOfWorkerOverItsRoomIsRestored(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addPromptWorker()
		in.setDuration(20 * time.Second)
		in.submit(spec("job", 6, smallTask()))
		time.Sleep(time.Second)
		a.stop()
		a.minion.Resize(workload.Resources{Cores: 3000, Memory: 1000, Accelerators: 3})
		a.start()
		time.Sleep(4 * time.Second)
		e := in.entries[0]
		var data []byte
		var err error
		e.journal.View(func(time.Time) { data, err = e.state.MarshalSnapshot() })
		if err != nil {
			t.Fatal(err)
		}
		if err := workload.NewState().RestoreSnapshot(data); err != nil {
			t.Errorf("got error %v, want a restored snapshot", err)
		}
		in.await("job", workload.OutcomeCompleted, 30*time.Second)
	})
}
