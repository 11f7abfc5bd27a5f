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
	// serviceTime is the mean run time of a request at a healthy minion.
	serviceTime = 100 * time.Millisecond
	// capacity is the number of requests that nine healthy minions answer per second.
	capacity = 9 * slots * 10
	// requestTimeout is the timeout of each request.
	requestTimeout = time.Second
	// loadTime is how long new requests arrive.
	loadTime = 6 * time.Second
	// retryShare is the number of retries allowed per request.
	retryShare = 0.1
	// localLatency and remoteLatency are the specified one-way network latencies
	// within a region and between regions.
	localLatency  = 500 * time.Microsecond
	remoteLatency = 8 * time.Millisecond
)

// fleet is ten minions with their agents: the first fails at once, the second is
// ten times slower, the last three are in another region.
type fleet struct {
	tables []*dispatch.Table
	agents []gate.Agent
	// partitioned makes the other region unreachable.
	partitioned bool
}

func newFleet(partitioned bool) *fleet {
	f := &fleet{partitioned: partitioned}
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
			if !sleep(ctx, took) {
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

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one order to agent i and returns the reply after both network latencies.
func (f *fleet) send(ctx context.Context, i int, o dispatch.Order) dispatch.Reply {
	latency := localLatency
	if f.agents[i].Region == "far" {
		latency = remoteLatency
	}
	lostReply := dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "lost"}}
	if f.partitioned && f.agents[i].Region == "far" {
		sleep(ctx, requestTimeout)
		return lostReply
	}
	if !sleep(ctx, latency) {
		return lostReply
	}
	o.Agent = f.agents[i].ID
	replies := make(chan dispatch.Reply, 1)
	go func() { replies <- f.tables[i].Run(ctx, o) }()
	select {
	case r := <-replies:
		sleep(ctx, latency)
		return r
	case <-ctx.Done():
		return lostReply
	}
}

// caller sends requests to the fleet under one policy.
type caller interface {
	// serve returns whether the request was run, the number of attempts, and how many
	// of them went to the other region.
	serve(ctx context.Context, f *fleet, request gate.Request, id string) (ran bool, attempts int, remoteAttempts int)
}

// randomCaller is the naive policy: it sends to a random agent and retries until
// the deadline or 20 attempts, without a budget.
type randomCaller struct{}

func (randomCaller) serve(ctx context.Context, f *fleet, _ gate.Request, id string) (bool, int, int) {
	remoteAttempts := 0
	for attempt := 1; ; attempt++ {
		i := rand.IntN(minions)
		if f.agents[i].Region == "far" {
			remoteAttempts++
		}
		r := f.send(ctx, i, dispatch.Order{ID: ledger.DispatchID(fmt.Sprint(id, "/", attempt)), Service: "s", Within: requestTimeout})
		if r.Fate == ledger.FateRan {
			return true, attempt, remoteAttempts
		}
		if ctx.Err() != nil || attempt == 20 {
			return false, attempt, remoteAttempts
		}
		sleep(ctx, time.Millisecond)
	}
}

// gateCaller is the policy of the entries for repeatable requests: a gate and a
// retry budget.
type gateCaller struct {
	gate    *gate.Gate
	retries *gate.RetryBudget
}

func (g gateCaller) serve(ctx context.Context, f *fleet, request gate.Request, id string) (bool, int, int) {
	g.retries.AddRequest(retryShare)
	remoteAttempts := 0
	for attempt := 1; ; {
		admission, err := g.gate.Admit(ctx, request)
		if err != nil {
			return false, attempt - 1, remoteAttempts
		}
		if admission.Agent.Region == "far" {
			remoteAttempts++
		}
		deadline, _ := ctx.Deadline()
		r := f.send(ctx, indexOf(f, admission.Agent.ID), dispatch.Order{
			ID: ledger.DispatchID(fmt.Sprint(id, "/", attempt)), Service: "s",
			Within: time.Duration(0.9 * float64(time.Until(deadline))), Whole: requestTimeout,
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
		g.gate.Done(admission, result, 1000)
		if r.Fate == ledger.FateRan {
			return true, attempt, remoteAttempts
		}
		if ctx.Err() != nil || r.Refusal != dispatch.RefusedFull && !g.retries.TakeRetry() {
			return false, attempt, remoteAttempts
		}
		if r.Refusal != dispatch.RefusedFull {
			request.Avoid = append(request.Avoid, admission.Agent.ID)
		}
		attempt++
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

// summary is the result of one overload run.
type summary struct {
	// answered is the number of answers before the deadline, by organisation.
	answered         map[bundle.OrganisationName]int
	requests         int
	attempts         int
	remoteAttempts   int
	latencies        []float64
	refusalLatencies []float64
}

func (s *summary) total() int { return s.answered["large"] + s.answered["small"] }

// quantile sorts the values and returns their q-quantile, 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// row formats the summary as a row of a Markdown table.
func (s *summary) row(label string, load float64) string {
	return fmt.Sprintf("| %s | %.1f | %.0f | %.3f | %.3f | %.2f | %.3f | %d | %d |", label, load, float64(s.total())/loadTime.Seconds(),
		quantile(s.latencies, 0.99), quantile(s.refusalLatencies, 0.5), float64(s.attempts)/float64(s.requests), float64(s.remoteAttempts)/float64(max(1, s.attempts)),
		s.answered["large"], s.answered["small"])
}

// runOverload sends requests of two organisations with equal shares, three quarters of
// them from the large one. load is the rate of requests as a multiple of capacity.
func runOverload(t *testing.T, load float64, partitioned, useGate bool) *summary {
	t.Helper()
	result := &summary{answered: map[bundle.OrganisationName]int{}}
	synctest.Test(t, func(*testing.T) {
		f := newFleet(partitioned)
		var callers []caller
		for i := range 2 {
			if !useGate {
				callers = append(callers, randomCaller{})
				continue
			}
			g := gate.New("near", 256, 1e9, uint64(i))
			g.SetAgents(f.agents)
			callers = append(callers, gateCaller{gate: g, retries: gate.NewRetryBudget()})
		}
		random := rand.New(rand.NewPCG(9, 9))
		var mu sync.Mutex
		var group sync.WaitGroup
		for loadStart := time.Now(); time.Since(loadStart) < loadTime; {
			time.Sleep(time.Duration(random.ExpFloat64() / (load * capacity) * float64(time.Second)))
			result.requests++
			name := bundle.OrganisationName("large")
			if random.Float64() < 0.25 {
				name = "small"
			}
			c, id := callers[result.requests%2], fmt.Sprint("r", result.requests)
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
				defer cancel()
				startedAt := time.Now()
				ran, attempts, remoteAttempts := c.serve(ctx, f, gate.Request{Organisation: name, Service: "s", Share: 1, Bytes: 1000, Timeout: requestTimeout}, id)
				mu.Lock()
				defer mu.Unlock()
				result.attempts += attempts
				result.remoteAttempts += remoteAttempts
				if ran {
					result.answered[name]++
					result.latencies = append(result.latencies, time.Since(startedAt).Seconds())
				} else {
					result.refusalLatencies = append(result.refusalLatencies, time.Since(startedAt).Seconds())
				}
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
	})
	return result
}

// Under overload, retries and requests that wait past their deadline can use up the
// capacity. Here one minion fails at once, one is slow, and the load is three times the
// capacity. The number of answers must not fall by more than a tenth, each organisation
// must get its share of them, and retries must stay within the budget.
func TestOverloadKeepsThroughputAndShares(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		atCapacity := runOverload(t, 1, partitioned, true)
		overloaded := runOverload(t, 3, partitioned, true)
		randomAtCapacity, randomOverloaded := runOverload(t, 1, partitioned, false), runOverload(t, 3, partitioned, false)
		t.Logf("other region unreachable: %t\n| Policy | Load | Answers/s | p99 s | Refusal p50 s | Attempts/request | Remote share | Large | Small |\n%s\n%s\n%s\n%s", partitioned,
			atCapacity.row("gate", 1), overloaded.row("gate", 3), randomAtCapacity.row("random", 1), randomOverloaded.row("random", 3))
		if share := float64(overloaded.total()) / float64(atCapacity.total()); share < 0.9 {
			t.Errorf("answers at three times the capacity are %.2f of those at capacity, want at least 0.9", share)
		}
		for name, got := range overloaded.answered {
			if half := overloaded.total() / 2; got < half*9/10 {
				t.Errorf("organisation %s got %d of %d answers, want half with a tolerance of 10%%", name, got, overloaded.total())
			}
		}
		if attempts := float64(overloaded.attempts) / float64(overloaded.requests); attempts > 1+retryShare {
			t.Errorf("got %.2f attempts per request, want at most %.2f", attempts, 1+retryShare)
		}
	}
}
