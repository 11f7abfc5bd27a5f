package scheduler_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

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
