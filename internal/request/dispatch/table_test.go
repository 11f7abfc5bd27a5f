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

// countingMinion counts the runs of each order and the largest number of orders at
// a time. Each takes 100 ms.
type countingMinion struct {
	mu      sync.Mutex
	runs    map[ledger.DispatchID]int
	maxBusy int
	busy    int
}

func (m *countingMinion) run(ctx context.Context, o dispatch.Order) dispatch.Reply {
	m.mu.Lock()
	m.runs[o.ID]++
	m.busy++
	m.maxBusy = max(m.maxBusy, m.busy)
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

func newTable(slots int) (*dispatch.Table, *countingMinion) {
	m := &countingMinion{runs: map[ledger.DispatchID]int{}}
	t := dispatch.NewTable("agent", m.run)
	t.SetMinion("s", slots)
	return t, m
}

func order(id string) dispatch.Order {
	return dispatch.Order{ID: ledger.DispatchID(id), Agent: "agent", Service: "s", Within: time.Minute, Whole: time.Minute, Keep: true}
}

// An order that runs twice, or that runs after a reply said that it did not, makes the
// caller's request run twice. Orders, repeated orders and revocations arrive in any
// sequence here. All replies to one order must agree on its fate, an order with the
// fate NotRun must never have run, one with the fate Ran exactly once, and no more
// orders may run at a time than there are slots.
func TestTableRunsEachOrderAtMostOnce(t *testing.T) {
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
					// An order refused at once as Full is not kept in the table, so it may run later.
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
			for id, got := range fates {
				runs := m.runs[ledger.DispatchID(fmt.Sprint("order", id))]
				switch {
				case len(got) > 1:
					problem = fmt.Sprintf("order %d: replies with different fates %v", id, got)
				case got[ledger.FateNotRun] && runs != 0, got[ledger.FateRan] && runs != 1:
					problem = fmt.Sprintf("order %d: replies have the fate %v, but it ran %d times", id, got, runs)
				}
			}
			if m.maxBusy > slots {
				problem = fmt.Sprintf("%d orders ran at a time on %d slots", m.maxBusy, slots)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// An order that arrives after its agent was replaced must not run on the new
// incarnation, and a revocation of it must not claim that it never ran.
func TestOrderForOtherIncarnationIsRefused(t *testing.T) {
	table, m := newTable(1)
	o := order("late")
	o.Agent = "earlier"
	if r := table.Run(t.Context(), o); r.Fate != ledger.FateNotRun || r.Refusal != dispatch.RefusedIncarnation {
		t.Errorf("order for another incarnation: got %+v, want refusal Stranger", r)
	}
	r := table.Revoke(t.Context(), dispatch.Revocation{ID: "late", Agent: "earlier", Wait: time.Second})
	if r.Fate != ledger.FateUnknown {
		t.Errorf("revocation of an order for another incarnation: got %+v, want fate Unknown", r)
	}
	if len(m.runs) != 0 {
		t.Error("the order for another incarnation ran, want it refused")
	}
}

// An agent that drains must not lose the answer of an order that runs, nor start the one
// that waits for a slot: it refuses the waiting order and answers the running one.
func TestLeavingRefusesWaitingAndFinishesRunningOrders(t *testing.T) {
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
			t.Errorf("waiting order: got %+v, want refusal Leaving", r)
		}
		if r := <-replies; r.Fate != ledger.FateRan || string(r.Body) != "order0" {
			t.Errorf("running order: got %+v, want fate Ran with body order0", r)
		}
		<-table.Idle()
		if len(m.runs) != 1 {
			t.Errorf("got runs %v, want one order to have run", m.runs)
		}
	})
}

// The answers kept for claims exceed the bound on their total size. The bodies of the
// oldest are removed, but their orders stay in the table, so that they never run
// again.
func TestKeptAnswerBytesAreBounded(t *testing.T) {
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
			t.Errorf("oldest order: got fate %s, %d bytes, error %q, want fate Ran without body and with an error", first.Fate, len(first.Body), first.Error)
		}
		if last := table.Run(t.Context(), order("order5")); len(last.Body) != 8<<20 {
			t.Errorf("newest order: got a body of %d bytes, want 8 MiB", len(last.Body))
		}
		if runs != 6 {
			t.Errorf("got %d runs, want 6", runs)
		}
	})
}
