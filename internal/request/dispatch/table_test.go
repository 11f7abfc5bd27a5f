package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/request/dispatch"
)

// minion counts the runs of each order.
type minion struct {
	mu   sync.Mutex
	runs map[ledger.DispatchID]int
	most int
	busy int
}

func (m *minion) run(ctx context.Context, o dispatch.Order) dispatch.Reply {
	m.mu.Lock()
	m.runs[o.ID]++
	m.busy++
	m.most = max(m.most, m.busy)
	m.mu.Unlock()
	t := time.NewTimer(100 * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	m.mu.Lock()
	m.busy--
	m.mu.Unlock()
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: 200, Body: []byte(o.ID)}}
}

func newTable(slots int) (*dispatch.Table, *minion) {
	m := &minion{runs: map[ledger.DispatchID]int{}}
	t := dispatch.NewTable("agent", m.run)
	t.SetMinion("s", slots)
	return t, m
}

func order(id string) dispatch.Order {
	return dispatch.Order{ID: ledger.DispatchID(id), Agent: "agent", Service: "s", Within: time.Minute, Whole: time.Minute, Keep: true}
}

// Orders, repeats and revocations arrive in any order. What was called not run
// did not run, what was answered ran once, and nothing runs beside the slots.
func TestTableJudgesEachOrderOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			id     int
			revoke bool
			after  time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				id: rapid.IntRange(0, 8).Draw(t, "id"), revoke: rapid.Bool().Draw(t, "revoke"),
				after: time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
			}
		}), 1, 30).Draw(rt, "steps")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		var problem string
		synctest.Test(t, func(*testing.T) {
			table, m := newTable(slots)
			var mu sync.Mutex
			fates := map[int]map[ledger.Fate]bool{}
			var group sync.WaitGroup
			for _, s := range steps {
				group.Go(func() {
					time.Sleep(s.after)
					id := fmt.Sprint("order", s.id)
					var reply dispatch.Reply
					if s.revoke {
						reply = table.Revoke(context.Background(), dispatch.Revocation{ID: ledger.DispatchID(id), Agent: "agent", Wait: time.Minute})
					} else {
						reply = table.Run(context.Background(), order(id))
					}
					// A full agent forgets at once whom it refused: the same order may come back.
					if reply.Refusal == dispatch.RefusedFull {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if fates[s.id] == nil {
						fates[s.id] = map[ledger.Fate]bool{}
					}
					fates[s.id][reply.Fate] = true
				})
			}
			group.Wait()
			for id, seen := range fates {
				runs := m.runs[ledger.DispatchID(fmt.Sprint("order", id))]
				switch {
				case len(seen) > 1:
					problem = fmt.Sprintf("order %d got the fates %v", id, seen)
				case seen[ledger.FateNotRun] && runs != 0, seen[ledger.FateRan] && runs != 1:
					problem = fmt.Sprintf("order %d was called %v and ran %d times", id, seen, runs)
				}
			}
			if m.most > slots {
				problem = fmt.Sprintf("%d orders ran on %d slots", m.most, slots)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func TestAnotherIncarnationsOrderIsRefused(t *testing.T) {
	table, m := newTable(1)
	o := order("late")
	o.Agent = "earlier"
	if r := table.Run(t.Context(), o); r.Fate != ledger.FateNotRun || r.Refusal != dispatch.RefusedIncarnation {
		t.Errorf("%+v", r)
	}
	r := table.Revoke(t.Context(), dispatch.Revocation{ID: "late", Agent: "earlier", Wait: time.Second})
	if r.Fate != ledger.FateUnknown {
		t.Errorf("the deeds of an earlier incarnation are not known here: %+v", r)
	}
	if len(m.runs) != 0 {
		t.Error("it ran")
	}
}

func TestALeavingTableRefusesWaitingOrdersAndFinishesRunningOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, m := newTable(1)
		replies := make(chan dispatch.Reply, 2)
		for i := range 2 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				replies <- table.Run(t.Context(), order(fmt.Sprint("order", i)))
			}()
		}
		time.Sleep(10 * time.Millisecond)
		table.SetLeaving(true)
		if r := <-replies; r.Refusal != dispatch.RefusedLeaving {
			t.Errorf("the waiting order got %+v", r)
		}
		if r := <-replies; r.Fate != ledger.FateRan || string(r.Body) != "order0" {
			t.Errorf("the running order got %+v", r)
		}
		<-table.Idle()
		if len(m.runs) != 1 {
			t.Errorf("runs %v", m.runs)
		}
	})
}

// The failure: claimed answers pile up. The oldest lose their bodies, but that
// they ran is still known, so they never run again.
func TestKeptAnswersAreBoundedAndNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		table := dispatch.NewTable("agent", func(context.Context, dispatch.Order) dispatch.Reply {
			runs++
			return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Body: make([]byte, 8<<20)}}
		})
		table.SetMinion("s", 1)
		for i := range 6 {
			table.Run(t.Context(), order(fmt.Sprint("order", i)))
		}
		first := table.Run(t.Context(), order("order0"))
		if first.Fate != ledger.FateRan || len(first.Body) != 0 || first.Error == "" {
			t.Errorf("fate %s, %d bytes, %q", first.Fate, len(first.Body), first.Error)
		}
		if last := table.Run(t.Context(), order("order5")); len(last.Body) != 8<<20 {
			t.Errorf("the newest answer has %d bytes", len(last.Body))
		}
		if runs != 6 {
			t.Errorf("%d runs of 6 orders", runs)
		}
	})
}
