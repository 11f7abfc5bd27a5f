package gate_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/request/dispatch"
	"corianderpass/internal/request/gate"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

const (
	minions = 10
	slots   = 8
	// serviceTime is the mean time of a request at a healthy minion.
	serviceTime = 100 * time.Millisecond
	// capacity is what nine healthy minions answer in a second.
	capacity = 9 * slots * 10
	// requestTime is a caller's patience.
	requestTime = time.Second
	// burst is how long requests arrive.
	burst = 6 * time.Second
	// retryShare is the retries allowed for each first try.
	retryShare = 0.1
	// nearTrip and farTrip are the brief's one-way latencies.
	nearTrip = 500 * time.Microsecond
	farTrip  = 8 * time.Millisecond
)

// fleet is ten minions behind their agents: one fails fast, one is ten times
// slower, the last three are in another region.
type fleet struct {
	tables []*dispatch.Table
	agents []gate.Agent
	// cut is true while the other region cannot be reached.
	cut bool
}

func newFleet(cut bool) *fleet {
	f := &fleet{cut: cut}
	random := rand.New(rand.NewPCG(5, 5))
	var mu sync.Mutex
	for i := range minions {
		id := incarnation.ID(fmt.Sprint("agent", i))
		mean := serviceTime
		if i == 1 {
			mean *= 10
		}
		t := dispatch.NewTable(id, func(ctx context.Context, _ dispatch.Order) dispatch.Reply {
			if i == 0 {
				return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "fails fast"}}
			}
			mu.Lock()
			took := time.Duration((0.5 + random.Float64()) * float64(mean))
			mu.Unlock()
			if !rest(ctx, took) {
				return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "timed out"}}
			}
			return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: 200}}
		})
		t.SetMinion("s", slots)
		f.tables = append(f.tables, t)
		region := platform.Region("near")
		if i >= 7 {
			region = "far"
		}
		f.agents = append(f.agents, gate.Agent{ID: id, Region: region, Service: "s", Slots: slots, Entries: 2})
	}
	return f
}

func rest(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send is one try at one agent, with the trips there and back.
func (f *fleet) send(ctx context.Context, i int, o dispatch.Order) dispatch.Reply {
	trip := nearTrip
	if f.agents[i].Region == "far" {
		trip = farTrip
	}
	lost := dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "lost"}}
	if f.cut && f.agents[i].Region == "far" {
		rest(ctx, requestTime)
		return lost
	}
	if !rest(ctx, trip) {
		return lost
	}
	o.Agent = f.agents[i].ID
	replies := make(chan dispatch.Reply, 1)
	go func() { replies <- f.tables[i].Run(ctx, o) }()
	select {
	case r := <-replies:
		rest(ctx, trip)
		return r
	case <-ctx.Done():
		return lost
	}
}

// caller serves requests under one policy.
type caller interface {
	serve(ctx context.Context, f *fleet, a gate.Request, id string) (ran bool, tries int, far int)
}

// randomly is the naive policy: any agent, and again at once until time is over.
type randomly struct{}

func (randomly) serve(ctx context.Context, f *fleet, _ gate.Request, id string) (bool, int, int) {
	far := 0
	for try := 1; ; try++ {
		i := rand.IntN(minions)
		if f.agents[i].Region == "far" {
			far++
		}
		r := f.send(ctx, i, dispatch.Order{ID: ledger.DispatchID(fmt.Sprint(id, "/", try)), Service: "s", Within: requestTime})
		if r.Fate == ledger.FateRan {
			return true, try, far
		}
		if ctx.Err() != nil || try == 20 {
			return false, try, far
		}
		rest(ctx, time.Millisecond)
	}
}

// gated is the product's policy, as the entries use it for repeatable requests.
type gated struct {
	gate    *gate.Gate
	retries *gate.RetryBudget
}

func (g gated) serve(ctx context.Context, f *fleet, a gate.Request, id string) (bool, int, int) {
	g.retries.AddRequest(retryShare)
	far := 0
	for try := 1; ; {
		pass, err := g.gate.Admit(ctx, a)
		if err != nil {
			return false, try - 1, far
		}
		if pass.Agent.Region == "far" {
			far++
		}
		deadline, _ := ctx.Deadline()
		r := f.send(ctx, indexOf(f, pass.Agent.ID), dispatch.Order{
			ID: ledger.DispatchID(fmt.Sprint(id, "/", try)), Service: "s",
			Within: time.Duration(0.9 * float64(time.Until(deadline))), Whole: requestTime,
		})
		result := gate.ResultFailed
		switch {
		case r.Fate == ledger.FateRan:
			result = gate.ResultAnswered
		case r.Refusal == dispatch.RefusedLate:
			result = gate.ResultUnused
		case r.Refusal == dispatch.RefusedFull:
			result = gate.ResultRefused
		}
		g.gate.Done(pass, result, 1000)
		if r.Fate == ledger.FateRan {
			return true, try, far
		}
		if ctx.Err() != nil || r.Refusal != dispatch.RefusedFull && !g.retries.TakeRetry() {
			return false, try, far
		}
		if r.Refusal != dispatch.RefusedFull {
			a.Avoid = append(a.Avoid, pass.Agent.ID)
		}
		try++
	}
}

func indexOf(f *fleet, id incarnation.ID) int {
	for i, a := range f.agents {
		if a.ID == id {
			return i
		}
	}
	return -1
}

// outcome is what a burst brought.
type outcome struct {
	// useful is the number of answers in time for each organisation.
	useful    map[bundle.OrganisationName]int
	asked     int
	tries     int
	far       int
	latencies []float64
	refusals  []float64
}

func (o *outcome) total() int { return o.useful["large"] + o.useful["small"] }

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

func (o *outcome) row(name string, load float64) string {
	return fmt.Sprintf("| %s | %.1f | %.0f | %.3f | %.3f | %.2f | %.3f | %d | %d |", name, load, float64(o.total())/burst.Seconds(),
		quantile(o.latencies, 0.99), quantile(o.refusals, 0.5), float64(o.tries)/float64(o.asked), float64(o.far)/float64(max(1, o.tries)),
		o.useful["large"], o.useful["small"])
}

// flood sends requests of two organisations with equal shares, three quarters of
// them from the large one, at a multiple of the capacity.
func flood(t *testing.T, load float64, cut, gates bool) *outcome {
	t.Helper()
	o := &outcome{useful: map[bundle.OrganisationName]int{}}
	synctest.Test(t, func(*testing.T) {
		f := newFleet(cut)
		var callers []caller
		for i := range 2 {
			if !gates {
				callers = append(callers, randomly{})
				continue
			}
			g := gate.New("near", 256, 1e9, uint64(i))
			g.SetAgents(f.agents)
			callers = append(callers, gated{gate: g, retries: gate.NewRetryBudget()})
		}
		random := rand.New(rand.NewPCG(9, 9))
		var mu sync.Mutex
		var group sync.WaitGroup
		for begun := time.Now(); time.Since(begun) < burst; {
			time.Sleep(time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)))
			o.asked++
			name := bundle.OrganisationName("large")
			if random.Float64() < 0.25 {
				name = "small"
			}
			c, id := callers[o.asked%2], fmt.Sprint("r", o.asked)
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), requestTime)
				defer cancel()
				begun := time.Now()
				ran, tries, far := c.serve(ctx, f, gate.Request{Organisation: name, Service: "s", Share: 1, Bytes: 1000, Timeout: requestTime}, id)
				mu.Lock()
				defer mu.Unlock()
				o.tries += tries
				o.far += far
				if ran {
					o.useful[name]++
					o.latencies = append(o.latencies, time.Since(begun).Seconds())
				} else {
					o.refusals = append(o.refusals, time.Since(begun).Seconds())
				}
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
	})
	return o
}

// The failure: one minion fails fast, one is slow, and three times the capacity
// arrives. Useful work must not collapse, and each organisation gets its share.
func TestOverloadDoesNotCollapse(t *testing.T) {
	for _, cut := range []bool{false, true} {
		at := flood(t, 1, cut, true)
		over := flood(t, 3, cut, true)
		naive1, naive3 := flood(t, 1, cut, false), flood(t, 3, cut, false)
		t.Logf("other region cut: %t\n| Policy | Load | Useful/s | p99 s | Refusal p50 s | Tries/request | Far share | Large | Small |\n%s\n%s\n%s\n%s", cut,
			at.row("gate", 1), over.row("gate", 3), naive1.row("random", 1), naive3.row("random", 3))
		if share := float64(over.total()) / float64(at.total()); share < 0.9 {
			t.Errorf("useful work at three times the capacity is %.2f of that at capacity", share)
		}
		for name, got := range over.useful {
			if half := over.total() / 2; got < half*9/10 {
				t.Errorf("the %s organisation got %d of %d answers, its share is half", name, got, over.total())
			}
		}
		if tries := float64(over.tries) / float64(over.asked); tries > 1+retryShare {
			t.Errorf("%.2f tries for each request, the budget allows %.2f", tries, 1+retryShare)
		}
	}
}
