package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// Agents, minions and the log fail at random in a whole installation. No task may run twice
// at the same time, no worker may be overcommitted, and every accepted job must complete.
func TestRandomFaultsCauseNoDuplicateRuns(t *testing.T) {
	for seed := range soakSeeds() {
		synctest.Test(t, func(t *testing.T) { soak(t, seed) })
	}
	for _, seed := range failedSeeds {
		synctest.Test(t, func(t *testing.T) { soak(t, seed) })
	}
}

// failedSeeds are seeds that failed once.
//
//   - 186: a poll reported ends of an earlier life of the minion as seen to a later one.
//   - 426: a life accepted a lease that was meant for an earlier one, and its runs were given up too early.
var failedSeeds = []uint64{186, 426}

// soakSeeds returns the number of seeds to run. The environment variable WORLD_SEEDS
// overrides the default of 4.
func soakSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("WORLD_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 4
}

func soak(t *testing.T, seed uint64) {
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 11))
	in := newInstallation(t)
	defer in.stop()
	in.addEntry()
	in.addEntry()
	for range 4 {
		in.addWorker(workerCapacity())
	}
	time.Sleep(4 * time.Second)
	durations := rand.New(rand.NewPCG(seed, 12))
	in.setDurations(func() time.Duration { return time.Second + time.Duration(durations.IntN(4000))*time.Millisecond })
	for n := range 25 {
		s := spec(fmt.Sprint("job", n), 1+random.IntN(6), smallTask())
		s.Steps[0].Gang = random.IntN(3) == 0
		s.Priority = random.IntN(3)
		in.setReservation(s)
		for in.entries[0].intake.Submit(t.Context(), s) != nil {
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		in.injectFault(random)
	}
	for _, a := range in.agents {
		a.log.SetDown(false)
		if a.stopped {
			a.start()
		}
		a.minion.SetUnresponsive(false, false)
	}
	in.log.SetFaults(standin.LogFaults{})
	for n := range 25 {
		in.await(fmt.Sprint("job", n), workload.OutcomeCompleted, 60*time.Second)
	}
}

// injectFault injects a random fault into a random agent, its minion or the log, or
// starts a stopped agent again.
func (in *installation) injectFault(random *rand.Rand) {
	a := in.agents[random.IntN(len(in.agents))]
	switch random.IntN(9) {
	case 0:
		a.log.SetDown(true)
		time.AfterFunc(time.Duration(random.IntN(12000))*time.Millisecond, func() { a.log.SetDown(false) })
	case 1:
		if !a.stopped {
			a.stop()
			a.stopped = true
		}
	case 2:
		if a.stopped {
			a.start()
		}
	case 3:
		a.minion.DelayStarts(1 + random.IntN(2))
	case 4:
		a.minion.StartLife()
	case 5:
		a.minion.SetUnresponsive(true, random.IntN(2) == 0)
		time.AfterFunc(time.Duration(random.IntN(9000))*time.Millisecond, func() { a.minion.SetUnresponsive(false, false) })
	case 6:
		in.log.SetFaults(standin.LogFaults{LoseAnswers: 0.3, Delay: 5 * time.Millisecond, Seed: random.Uint64()})
	case 7:
		in.log.SetFaults(standin.LogFaults{Down: true})
		time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { in.log.SetFaults(standin.LogFaults{}) })
	}
}
