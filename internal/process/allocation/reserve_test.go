package allocation_test

import "testing"

// An urgent gang fits only once a task that lasts has ended, which it may not preempt. It must not reserve the idle workers
// meanwhile: other jobs would wait for ever.
func TestGangThatWaitsForTaskThatLastsReservesNothing(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("lasting", 0, lasting(step(1, 1, 0)))
	f.decide()
	gang := step(2, 8, 0)
	gang.Gang = true
	f.submit("gang", 0, gang)
	f.submit("other", 1, step(1, 1, 0))
	if f.decide(); f.running("other") != 1 {
		t.Error("a small job did not start beside an urgent gang that cannot fit")
	}
}
