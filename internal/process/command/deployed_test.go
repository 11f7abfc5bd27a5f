package command_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/command"
	"corianderpass/platform"
)

// The failure: a bound on visibility of a deployment not seen before that is shorter
// than the age of knowledge on which entries say that a job does not exist.
func TestKnowledgeBehindARefusalIsYoungerThanTheBoundOnVisibility(t *testing.T) {
	for _, visible := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		s := command.IntakeSettings(platform.Settings{Bounds: platform.Bounds{VisibilityTime: visible, RevocationTime: 5 * time.Second}})
		if s.MaxRefuseAge >= visible || s.MaxRefuseAge < visible/2 {
			t.Errorf("visible %v: refusals by knowledge of %v", visible, s.MaxRefuseAge)
		}
	}
}
