package entry_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

const (
	north platform.Region = "Mazowsze"
	south platform.Region = "Pomorze"
)

// installation is a system in virtual time: platform stand-ins, entries, agents and minions.
type installation struct {
	t       *testing.T
	net     *standin.Network
	log     *standin.Log
	workers *standin.Workers
	keys    map[string]ed25519.PrivateKey
	entries map[string]*testEntry
	agents  map[string]*testAgent
	// version is the version of the bundle that was rolled last.
	version uint64
	// document is the first bundle, which start rolls.
	document string
	// done is closed when the test ends.
	done chan struct{}
}

// testEntry is an entry with a freezer that pauses its calls to the log and the workers.
type testEntry struct {
	*entry.Entry
	name    string
	region  platform.Region
	freezer *standin.Freezer
	cancel  context.CancelFunc
	ended   <-chan error
}

// testAgent is an agent with its minion.
type testAgent struct {
	*agent.Agent
	name   string
	minion *standin.Minion
	cancel context.CancelFunc
	ended  []<-chan error
	// service, slots and leaving are what the minion announces. mu protects them.
	service string
	slots   int
	leaving bool
	mu      sync.Mutex
}

// inVirtualTime calls f in virtual time with an installation that has workers but no processes, and
// then stops all processes.
func inVirtualTime(t *testing.T, f func(in *installation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		in := &installation{
			t: t, net: &standin.Network{}, log: &standin.Log{AppendsPerSecond: 400},
			keys: map[string]ed25519.PrivateKey{}, entries: map[string]*testEntry{}, agents: map[string]*testAgent{},
		}
		worker := platform.Worker{Accelerators: 8, Cores: 64, Memory: 256 << 10}
		in.workers = standin.NewWorkers(standin.WorkersInRacks([]string{string(north), string(south)}, 10, 3, worker)...)
		for i, name := range []string{"ana", "bela", "cid"} {
			seed := make([]byte, ed25519.SeedSize)
			seed[0] = byte(i + 1)
			in.keys[name] = ed25519.NewKeyFromSeed(seed)
		}
		in.document = in.rules("")
		in.done = make(chan struct{})
		// Requests that minions are still running end within a minute.
		defer time.Sleep(time.Minute)
		defer in.stopAll()
		f(in)
	})
}

func (in *installation) operators() []bundle.Operator {
	var list []bundle.Operator
	for _, name := range []string{"ana", "bela", "cid"} {
		public := in.keys[name].Public().(ed25519.PublicKey)
		list = append(list, bundle.Operator{Name: bundle.OperatorName(name), PublicKey: base64.StdEncoding.EncodeToString(public)})
	}
	return list
}

// rules returns a bundle document with two organisations, and extra appended.
func (in *installation) rules(extra string) string {
	var b strings.Builder
	for _, o := range in.operators() {
		fmt.Fprintf(&b, "[[Operators]]\nName = %q\nPublicKey = %q\n", o.Name, o.PublicKey)
	}
	for _, name := range []string{"audit", "timber"} {
		sum := sha256.Sum256([]byte(name))
		fmt.Fprintf(&b, "[[Organisations]]\nName = %q\nHomeRegion = %q\nTokenDigests = [%q]\n", name, north, hex.EncodeToString(sum[:]))
		if name == "audit" {
			fmt.Fprintf(&b, "[[Organisations.Guarantees]]\nName = \"large\"\nRegion = %q\nTasks = 4\nAccelerators = 8\nCores = 16\nMemory = 1024\n", north)
		}
	}
	b.WriteString("[[Services]]\nName = \"evidence\"\n[Sharing]\nCheckpointGrace = \"5s\"\n" + extra)
	return b.String()
}

// addEntry starts an entry whose peers are all others.
func (in *installation) addEntry(name string, region platform.Region) *testEntry {
	s := entry.Settings{
		Name: name, Region: region, FailureDomain: platform.FailureDomain(string(region) + "-d0"),
		LinkAddress: link.Address(name), RootOperators: in.operators(), SnapshotAge: bundle.Duration(10 * time.Minute),
	}
	for other := range in.entries {
		s.Peers = append(s.Peers, other)
	}
	e := &testEntry{name: name, region: region, freezer: &standin.Freezer{}}
	e.Entry = entry.New(s, hclog.NewNullLogger(), e.freezer.Log(in.log), e.freezer.Workers(in.workers), in.net.Dial(name))
	ctx, cancel := context.WithCancel(in.t.Context())
	e.cancel = cancel
	link.NewServer(e.Handlers()).Serve(ctx, in.net.Listen(name, s.LinkAddress))
	e.ended = e.Start(ctx)
	in.entries[name] = e
	return e
}

// addAgent starts an agent, whose settings list all entries of the region, and its minion,
// which answers after the delay.
func (in *installation) addAgent(name string, region platform.Region, slots int, answerDelay time.Duration) *testAgent {
	a := &testAgent{name: name, minion: &standin.Minion{Delay: answerDelay}, service: "evidence", slots: slots}
	s := agent.Settings{
		Name: name, Region: region, FailureDomain: "d", LinkAddress: link.Address(name),
		DrainTime: bundle.Duration(time.Minute),
	}
	for _, e := range in.entries {
		if e.region == region {
			s.Entries = append(s.Entries, e.name)
		}
	}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return in.net.Dial(name)(ctx, link.Address(strings.TrimSuffix(address, ":80")))
	}
	a.Agent = agent.New(s, hclog.NewNullLogger(), in.net.Dial(name), dial)
	ctx, cancel := context.WithCancel(in.t.Context())
	a.cancel = cancel
	linkEnded := link.NewServer(a.Handlers()).Serve(ctx, in.net.Listen(name, s.LinkAddress))
	server := &http.Server{Handler: a.minion.Handler()}
	minionEnded := make(chan error, 1)
	go func() { minionEnded <- server.Serve(in.net.Listen(name, link.Address("minion-"+name))) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	a.ended = []<-chan error{linkEnded, minionEnded, a.StartHeartbeats(ctx), a.announce(ctx)}
	in.agents[name] = a
	return a
}

// announce announces the minion to its agent every second until ctx ends.
func (a *testAgent) announce(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			a.mu.Lock()
			a.Announce(agent.Announcement{Service: bundle.ServiceName(a.service), Address: "minion-" + a.name, Slots: a.slots, Connections: 64, Leaving: a.leaving})
			a.mu.Unlock()
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// announceLeaving makes the minion announce that it is leaving.
func (a *testAgent) announceLeaving() {
	a.mu.Lock()
	a.leaving = true
	a.Announce(agent.Announcement{Service: bundle.ServiceName(a.service), Address: "minion-" + a.name, Slots: a.slots, Connections: 64, Leaving: true})
	a.mu.Unlock()
}

// kill stops an entry like a kill signal, without handing over or releasing anything.
func (in *installation) kill(name string) {
	e := in.entries[name]
	delete(in.entries, name)
	e.freezer.Thaw()
	in.net.Kill(name)
	e.cancel()
	<-e.ended
}

// killAgent stops an agent and its minion at once.
func (in *installation) killAgent(name string) {
	a := in.agents[name]
	delete(in.agents, name)
	in.net.Kill(name)
	a.cancel()
	for _, ended := range a.ended {
		<-ended
	}
}

func (in *installation) stopAll() {
	close(in.done)
	for name := range in.entries {
		in.kill(name)
	}
	for name := range in.agents {
		in.killAgent(name)
	}
}

// start adds two entries and three agents with 8 slots each, and rolls the bundle.
func (in *installation) start() {
	in.addEntry("e1", north)
	in.addEntry("e2", north)
	for i := range 3 {
		in.addAgent(fmt.Sprintf("a%d", i), north, 8, 50*time.Millisecond)
	}
	in.waitForExchange()
	in.roll(in.document)
	time.Sleep(5 * time.Second)
}

// waitForExchange waits until new processes have exchanged heartbeats with the others.
func (in *installation) waitForExchange() { time.Sleep(5 * time.Second) }

// roll drafts, approves and rolls a bundle at one entry.
func (in *installation) roll(document string) {
	in.t.Helper()
	if err := in.tryRoll(in.any(), "ana", "bela", document); err != nil {
		in.t.Fatal(err)
	}
	in.version++
}

func (in *installation) tryRoll(e *testEntry, author, approver, document string) error {
	base := e.Bundle().Version
	digest := bundle.DigestOf(bundle.Version(base), document)
	_, err := e.DraftBundle(in.t.Context(), client.Draft{
		Author: author, Base: base, Document: document, Signature: bundle.Sign(in.keys[author], bundle.ActionDraft, digest),
	})
	if err != nil {
		return err
	}
	_, err = e.ApproveBundle(in.t.Context(), client.Consent{
		Operator: approver, Digest: string(digest), Signature: bundle.Sign(in.keys[approver], bundle.ActionApprove, digest),
	})
	if err != nil {
		return err
	}
	_, err = e.RollBundle(in.t.Context(), client.Consent{
		Operator: author, Digest: string(digest), Signature: bundle.Sign(in.keys[author], bundle.ActionRoll, digest),
	})
	return err
}

// any returns the first entry by name that is running.
func (in *installation) any() *testEntry {
	for _, name := range []string{"e1", "e2", "e3", "s1"} {
		if e := in.entries[name]; e != nil {
			return e
		}
	}
	in.t.Fatal("no entry is running, want at least one")
	return nil
}

func (in *installation) organisation(e *testEntry, name string) bundle.Organisation {
	o, known := e.InForce().Bundle.Organisation(bundle.OrganisationName(name))
	if !known {
		in.t.Fatalf("the bundle has no organisation %s", name)
	}
	return o
}

// call sends a request of the organisation timber to an entry. The request has no ID if id is
// empty.
func (in *installation) call(e *testEntry, id, body string, repeatable bool) (ledger.Answer, error) {
	return e.Serve(in.t.Context(), caller.Call{
		Organisation: in.organisation(e, "timber"), Service: "evidence", RequestID: id, Repeatable: repeatable, Body: []byte(body),
	})
}

// runCounts returns how often each request ran on the minions of the given agents.
func (in *installation) runCounts(agents ...*testAgent) map[string]int {
	total := map[string]int{}
	for _, a := range agents {
		for id, count := range a.minion.Runs() {
			total[id] += count
		}
	}
	return total
}

func (in *installation) agentList() []*testAgent {
	var agents []*testAgent
	for _, a := range in.agents {
		agents = append(agents, a)
	}
	return agents
}

// submit submits a job of an organisation.
func (in *installation) submit(e *testEntry, organisation string, j client.Job) client.JobStatus {
	in.t.Helper()
	s, err := e.SubmitJob(in.t.Context(), in.organisation(e, organisation), j)
	if err != nil {
		in.t.Fatal(err)
	}
	return s
}

func (in *installation) job(e *testEntry, organisation, id string) client.JobStatus {
	in.t.Helper()
	s, err := e.Job(in.t.Context(), in.organisation(e, organisation), id)
	if err != nil {
		in.t.Fatal(err)
	}
	return s
}

// waitUntil waits until the condition holds and returns how long that took. It fails the test
// after the timeout.
func (in *installation) waitUntil(what string, timeout time.Duration, condition func() bool) time.Duration {
	in.t.Helper()
	start := time.Now()
	for !condition() {
		waited := time.Since(start)
		if waited > timeout {
			in.t.Fatalf("%s: not done within %s", what, timeout)
		}
		// Checks get rarer in long waits; the timeout stays the same.
		time.Sleep(min(500*time.Millisecond, max(10*time.Millisecond, waited/20)))
	}
	return time.Since(start)
}

// tasksOf returns the number of running tasks of a job, in all and by epoch.
func (in *installation) tasksOf(organisation, id string) (count int, epochs map[platform.Epoch]int) {
	epochs = map[platform.Epoch]int{}
	prefix := string(ledger.NewJobID(bundle.OrganisationName(organisation), id)) + "#"
	for _, r := range in.workers.Running() {
		if strings.HasPrefix(string(r.Lease), prefix) {
			count++
			epochs[r.Epoch]++
		}
	}
	return count, epochs
}

// partialRuns measures the longest time for which only some tasks of a gang were running.
type partialRuns struct {
	mu           sync.Mutex
	taskCounts   map[string]int
	partialSince map[string]time.Time
	longestTime  time.Duration
	longestGang  string
}

// watchPartialRuns samples the running tasks every 20 ms until the test ends. taskCounts has
// the number of tasks of each gang to watch, by job ID.
func (in *installation) watchPartialRuns(taskCounts map[string]int) *partialRuns {
	g := &partialRuns{taskCounts: taskCounts, partialSince: map[string]time.Time{}}
	go func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-in.done:
				return
			case <-ticker.C:
				g.sample(in.workers.Running())
			}
		}
	}()
	return g
}

func (g *partialRuns) sample(running []standin.Running) {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for _, r := range running {
		id, _, _ := strings.Cut(string(r.Lease), "#")
		counts[id]++
	}
	for id, taskCount := range g.taskCounts {
		if running := counts[id]; running == 0 || running == taskCount {
			delete(g.partialSince, id)
			continue
		}
		if g.partialSince[id].IsZero() {
			g.partialSince[id] = time.Now()
		}
		if duration := time.Since(g.partialSince[id]); duration > g.longestTime {
			g.longestTime, g.longestGang = duration, id
		}
	}
}

// longest returns the longest time for which a gang was running partially, and the gang.
func (g *partialRuns) longest() (time.Duration, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longestTime, g.longestGang
}
