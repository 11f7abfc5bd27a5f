package command_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/command"
	"corianderpass/platform"
)

// The failure: entries answer that a job does not exist from a state that is older than the
// platform's bound on visibility. It comes about if MaxRefuseAge is a constant and a new
// installation has a shorter bound. MaxRefuseAge must stay between half the bound and the bound.
func TestMaxRefuseAgeStaysBelowVisibilityBound(t *testing.T) {
	for _, visible := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		s := command.IntakeSettings(platform.Settings{Bounds: platform.Bounds{VisibilityTime: visible, RevocationTime: 5 * time.Second}})
		if s.MaxRefuseAge >= visible || s.MaxRefuseAge < visible/2 {
			t.Errorf("visibility bound %v: MaxRefuseAge is %v, want at least half of the bound and less than the bound", visible, s.MaxRefuseAge)
		}
	}
}
