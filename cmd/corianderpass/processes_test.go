package main_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// installation is two entries, three agents with one minion each, and the stand-in platform.
// Each is a process of its own on loopback addresses.
type installation struct {
	t *testing.T
	// dir holds the programs and, by process name, the settings and the output.
	dir       string
	processes map[string]*exec.Cmd
	// entryAddresses are the addresses at which the entries serve callers and operators.
	entryAddresses []string
	// adminAddresses are the addresses at which the entries report whether they are ready.
	adminAddresses  []string
	minionAddresses []string
	// keys are the operators' keys by name.
	keys            map[string]ed25519.PrivateKey
	platformAddress string
}

// freeAddress returns a loopback address whose port is free when it returns.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// buildPrograms builds corianderpass and corianderpass-standin into the folder.
func buildPrograms(t *testing.T, dir string) {
	t.Helper()
	for _, name := range []string{"corianderpass", "corianderpass-standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "corianderpass/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
}

// start starts a program as the process with the name. Its output goes to NAME.log.
func (s *installation) start(name, program string, arguments ...string) {
	s.t.Helper()
	command := exec.Command(filepath.Join(s.dir, program), arguments...)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name] = command
}

// signal sends a signal to the process with the name.
func (s *installation) signal(name string, signal syscall.Signal) {
	if err := s.processes[name].Process.Signal(signal); err != nil {
		s.t.Errorf("signal %s: %v", name, err)
	}
}

// stop kills all processes and, if the test failed, logs the end of their output.
func (s *installation) stop() {
	for _, p := range s.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if s.t.Failed() {
		for name := range s.processes {
			data, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			s.t.Logf("%s: %s", name, tail(string(data), 2000))
		}
	}
}

func tail(text string, length int) string { return text[max(0, len(text)-length):] }

// newInstallation starts all processes, rolls the first bundle and waits until both entries serve.
func newInstallation(t *testing.T) *installation {
	s := &installation{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, keys: map[string]ed25519.PrivateKey{}}
	buildPrograms(t, s.dir)
	t.Cleanup(s.stop)
	rootOperators := ""
	for i, name := range []string{"ana", "bela"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i + 1)
		s.keys[name] = ed25519.NewKeyFromSeed(seed)
		public := base64.StdEncoding.EncodeToString(s.keys[name].Public().(ed25519.PublicKey))
		rootOperators += fmt.Sprintf("[[RootOperators]]\nName = %q\nPublicKey = %q\n", name, public)
	}
	s.platformAddress = freeAddress(t)
	s.start("platform", "corianderpass-standin", "platform", "--address", s.platformAddress)
	linkAddresses := []string{freeAddress(t), freeAddress(t)}
	for i, linkAddress := range linkAddresses {
		callerAddress, adminAddress := freeAddress(t), freeAddress(t)
		s.entryAddresses = append(s.entryAddresses, callerAddress)
		s.adminAddresses = append(s.adminAddresses, adminAddress)
		s.writeSettings(fmt.Sprint("entry", i), fmt.Sprintf("Region = \"Mazowsze\"\nFailureDomain = \"d%d\"\nCallerAddress = %q\nLinkAddress = %q\nAdminAddress = %q\nPlatformAddress = %q\nPeers = [%q]\nNoticeTime = \"500ms\"\n%s",
			i, callerAddress, linkAddress, adminAddress, s.platformAddress, linkAddresses[1-i], rootOperators))
		s.start(fmt.Sprint("entry", i), "corianderpass", "entry", "--settings", s.settingsPath(fmt.Sprint("entry", i)))
	}
	for i := range 3 {
		s.addAgent(fmt.Sprint("agent", i), fmt.Sprint("minion", i), linkAddresses)
	}
	s.rollFirstBundle(strings.ReplaceAll(rootOperators, "RootOperators", "Operators"))
	return s
}

// addAgent starts an agent and its minion under the given names.
func (s *installation) addAgent(agent, minion string, entryLinkAddresses []string) {
	agentAddress, minionAddress := freeAddress(s.t), freeAddress(s.t)
	s.writeSettings(agent, fmt.Sprintf("Region = \"Mazowsze\"\nFailureDomain = \"d\"\nLinkAddress = %q\nLocalAddress = %q\nEntries = [%q, %q]\n", freeAddress(s.t), agentAddress, entryLinkAddresses[0], entryLinkAddresses[1]))
	s.start(agent, "corianderpass", "agent", "--settings", s.settingsPath(agent))
	s.minionAddresses = append(s.minionAddresses, minionAddress)
	s.start(minion, "corianderpass-standin", "minion", "--address", minionAddress, "--agent", agentAddress)
}

func (s *installation) settingsPath(name string) string { return filepath.Join(s.dir, name+".toml") }

// writeSettings writes the settings file of the process with the name.
func (s *installation) writeSettings(name, text string) {
	if err := os.WriteFile(s.settingsPath(name), []byte(fmt.Sprintf("Name = %q\n", name)+text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// rollFirstBundle brings the first bundle into force, with the operators given as TOML tables,
// and waits until both entries serve. It retries each step until it succeeds, since the
// processes are still starting.
func (s *installation) rollFirstBundle(operatorTables string) {
	sum := sha256.Sum256([]byte("secret"))
	document := operatorTables + fmt.Sprintf("[[Organisations]]\nName = \"audit\"\nHomeRegion = \"Mazowsze\"\nTokenDigests = [%q]\n[[Services]]\nName = \"evidence\"\n", hex.EncodeToString(sum[:]))
	digest := bundle.DigestOf(0, document)
	c := client.New(s.entryAddresses[0])
	defer c.Close()
	sign := func(name string, a bundle.Action) client.Consent {
		return client.Consent{Operator: name, Digest: string(digest), Signature: bundle.Sign(s.keys[name], a, digest)}
	}
	steps := []func(context.Context) error{
		func(ctx context.Context) error {
			_, err := c.DraftBundle(ctx, client.Draft{Author: "ana", Document: document, Signature: bundle.Sign(s.keys["ana"], bundle.ActionDraft, digest)})
			return err
		},
		func(ctx context.Context) error {
			_, err := c.ApproveBundle(ctx, sign("bela", bundle.ActionApprove))
			return err
		},
		func(ctx context.Context) error {
			_, err := c.RollBundle(ctx, sign("ana", bundle.ActionRoll))
			return err
		},
	}
	for i, step := range steps {
		for attempt := 0; ; attempt++ {
			err := step(s.t.Context())
			if err == nil || client.AsError(err) != nil && client.AsError(err).Code == client.CodeConflict {
				break
			}
			if attempt == 200 {
				s.t.Fatalf("step %d of rolling the first bundle: %v", i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.waitUntilServing()
}

// waitUntilServing waits until every entry has served a request.
func (s *installation) waitUntilServing() {
	for i := range s.entryAddresses {
		c := s.newCaller(i)
		for attempt := 0; ; attempt++ {
			_, err := c.Do(s.t.Context(), client.Request{Service: "evidence", Repeatable: true, Body: []byte("ready")})
			if err == nil {
				break
			}
			if attempt == 400 {
				s.t.Fatalf("entry %d does not serve requests: %v", i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Close()
	}
}

// newCaller returns a client of one entry with the organisation's token.
func (s *installation) newCaller(entry int) *client.Client {
	c := client.New(s.entryAddresses[entry])
	c.Token = "secret"
	return c
}

// runCounts returns how often each request ran, by organisation and request ID, summed over
// all minions.
func (s *installation) runCounts() map[string]int {
	total := map[string]int{}
	for _, m := range s.minionAddresses {
		response, err := http.Get("http://" + m + "/runs")
		if err != nil {
			s.t.Fatal(err)
		}
		var runs map[string]int
		if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
			s.t.Fatal(err)
		}
		_ = response.Body.Close()
		for id, count := range runs {
			total[id] += count
		}
	}
	return total
}

// outcomes holds the outcome of each request as its caller saw it, by request ID. Each request is
// in one of the maps. mu must be held to use them.
type outcomes struct {
	mu sync.Mutex
	// answered holds the answers.
	answered map[string]string
	// notRun holds requests that the client reported as FateNotRun.
	notRun map[string]bool
	// unknown holds requests that may have run.
	unknown map[string]bool
}

// send sends the request with the number and stores its outcome. Requests with an even number
// are retried with the same ID, at the two entries in turn, until they are answered or 60
// attempts have failed. The others are sent once.
func (s *installation) send(callers []*client.Client, o *outcomes, number int) {
	id := fmt.Sprint("order-", number)
	body := "sleep 20ms " + id
	retries := number%2 == 0
	var lastErr error
	for attempt := range 60 {
		answer, err := sendOnce(s.t.Context(), callers[(number+attempt)%2], client.Request{Service: "evidence", ID: id, Body: []byte(body)})
		lastErr = err
		if err == nil {
			o.mu.Lock()
			o.answered[id] = string(answer.Body)
			o.mu.Unlock()
			return
		}
		if !retries {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := client.AsError(lastErr); e != nil && e.Fate == client.FateNotRun {
		o.notRun[id] = true
		return
	}
	o.unknown[id] = true
}

const (
	// pauseTime is the time between SIGSTOP and SIGCONT.
	pauseTime = 1500 * time.Millisecond
	// attemptTimeout bounds one attempt to send a request.
	attemptTimeout = 10 * time.Second
)

// The failure: a request runs twice, runs although its caller was told that it did not, is
// answered without having run or gets another request's answer. It comes about if, during a
// burst of requests, one entry and one agent are killed and the other entry is paused with
// SIGSTOP for pauseTime.
func TestRequestFatesWhenProcessesAreKilled(t *testing.T) {
	s := newInstallation(t)
	callers := []*client.Client{s.newCaller(0), s.newCaller(1)}
	o := &outcomes{answered: map[string]string{}, notRun: map[string]bool{}, unknown: map[string]bool{}}
	const count = 400
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 24)
	for i := range count {
		switch i {
		case 100:
			s.signal("entry1", syscall.SIGSTOP)
			group.Go(func() {
				time.Sleep(pauseTime)
				s.signal("entry1", syscall.SIGCONT)
			})
		case 200:
			s.signal("entry0", syscall.SIGKILL)
		case 300:
			s.signal("agent2", syscall.SIGKILL)
		}
		semaphore <- struct{}{}
		group.Go(func() {
			s.send(callers, o, i)
			<-semaphore
		})
	}
	group.Wait()
	runs := s.runCounts()
	for i := range count {
		id := fmt.Sprint("order-", i)
		n := runs["audit/"+id]
		answer, answered := o.answered[id]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times, want at most once", id, n)
		case answered && answer != "answer to sleep 20ms "+id:
			t.Errorf("%s got answer %q, want the answer to its own request", id, answer)
		case answered && n != 1:
			t.Errorf("%s was answered but ran %d times, want once", id, n)
		case o.notRun[id] && n != 0:
			t.Errorf("%s ran although its caller was told that it did not", id)
		case !answered && !o.notRun[id] && !o.unknown[id]:
			t.Errorf("%s has no outcome, want answered, not run or unknown", id)
		}
	}
	t.Logf("%d requests: %d answered, %d not run, %d unknown", count, len(o.answered), len(o.notRun), len(o.unknown))
	if len(o.answered) < count/2 {
		t.Errorf("%d of %d requests were answered, want at least half", len(o.answered), count)
	}
}

func sendOnce(ctx context.Context, c *client.Client, r client.Request) (client.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.Do(ctx, r)
}

// chooseEntry returns the index of the entry that a load balancer would choose: the preferred
// one if it reports that it is ready, otherwise the other one.
func (s *installation) chooseEntry(preferred int) int {
	response, err := http.Get("http://" + s.adminAddresses[preferred] + "/readyz")
	if err != nil {
		return 1 - preferred
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 1 - preferred
	}
	return preferred
}

// The failure: a request is refused or its connection is closed without an answer while an entry
// or an agent shuts down. The test sends SIGTERM to an entry and then to an agent during a burst
// of requests behind a load balancer, and a second SIGTERM to each while it drains.
func TestGracefulShutdownCompletesAllRequests(t *testing.T) {
	s := newInstallation(t)
	callers := []*client.Client{s.newCaller(0), s.newCaller(1)}
	const count = 300
	failures := make(chan error, count)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 12)
	for i := range count {
		switch i {
		case 100, 112:
			s.signal("entry0", syscall.SIGTERM)
		case 200, 212:
			s.signal("agent0", syscall.SIGTERM)
		}
		body := "sleep 50ms order"
		if i > 190 && i <= 200 {
			// These requests run for longer than the 2 s that the agent allows for sending its
			// last answers.
			body = "sleep 4s order"
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			request := client.Request{Service: "evidence", Body: []byte(body)}
			if _, err := callers[s.chooseEntry(i%2)].Do(t.Context(), request); err != nil {
				failures <- fmt.Errorf("request %d: %w", i, err)
			}
		})
	}
	group.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	if err := s.processes["entry0"].Wait(); err != nil {
		t.Errorf("entry0 exited with %v, want exit code 0", err)
	}
	if err := s.processes["agent0"].Wait(); err != nil {
		t.Errorf("agent0 exited with %v, want exit code 0", err)
	}
}
