package evacuation_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/evacuation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// The log refuses appends for seconds while a request is not recorded. The recorder must record it after the
// outage, and must not write a line for each of its attempts.
func TestOutageOfLogCausesOneLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		clock := func() time.Duration { return time.Since(startedAt) }
		log := &standin.KeyedLog{Log: &standin.Log{}, Index: &standin.KeyIndex{}, Writer: "entry"}
		state := workload.NewState()
		j := journal.New(log, "Workload", "entry", journal.StateMachine[workload.Record](state), journal.Options{
			Clock: clock, ReadWait: time.Second, CheckInterval: 100 * time.Millisecond,
		})
		requests := &evacuation.Requests{}
		var lines bytes.Buffer
		recorder := evacuation.New(0, requests, j, state, clock, hclog.New(&hclog.LoggerOptions{Output: &lines}))
		ctx, cancel := context.WithCancel(t.Context())
		journalEnded, recorderEnded := j.Start(ctx), recorder.Start(ctx)
		time.Sleep(2 * time.Second)
		log.SetReadOnly(true)
		requests.Set("domain", 3)
		time.Sleep(5 * time.Second)
		log.SetReadOnly(false)
		time.Sleep(time.Second)
		active := false
		j.View(func(time.Time) { active = state.Evacuation("domain").Active })
		if n := strings.Count(lines.String(), "\n"); !active || n != 2 {
			t.Errorf("got active %t and %d lines, want the request recorded and 2 lines:\n%s", active, n, &lines)
		}
		cancel()
		if err := <-recorderEnded; err != nil {
			t.Error(err)
		}
		if err := <-journalEnded; err != nil {
			t.Error(err)
		}
	})
}
