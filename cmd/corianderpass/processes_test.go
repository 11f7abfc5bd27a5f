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

// system is a corianderpass of real processes on loopback.
type system struct {
	t         *testing.T
	dir       string
	processes map[string]*exec.Cmd
	entries   []string
	// admins are the entries' addresses for health.
	admins   []string
	minions  []string
	keys     map[string]ed25519.PrivateKey
	platform string
}

// address returns a free loopback address.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// build builds both programs once for the test.
func build(t *testing.T, dir string) {
	t.Helper()
	for _, name := range []string{"corianderpass", "corianderpass-standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "corianderpass/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
}

// start starts a process under a name.
func (s *system) start(name, program string, arguments ...string) {
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

// signal sends a signal to one process.
func (s *system) signal(name string, signal syscall.Signal) {
	if err := s.processes[name].Process.Signal(signal); err != nil {
		s.t.Errorf("signal %s: %v", name, err)
	}
}

// stop ends everything that is left.
func (s *system) stop() {
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

func newSystem(t *testing.T) *system {
	s := &system{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, keys: map[string]ed25519.PrivateKey{}}
	build(t, s.dir)
	t.Cleanup(s.stop)
	roots := ""
	for i, name := range []string{"ana", "bela"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i + 1)
		s.keys[name] = ed25519.NewKeyFromSeed(seed)
		public := base64.StdEncoding.EncodeToString(s.keys[name].Public().(ed25519.PublicKey))
		roots += fmt.Sprintf("[[RootOperators]]\nName = %q\nPublicKey = %q\n", name, public)
	}
	s.platform = address(t)
	s.start("platform", "corianderpass-standin", "platform", "--address", s.platform)
	links := []string{address(t), address(t)}
	for i, own := range links {
		callers, admin := address(t), address(t)
		s.entries = append(s.entries, callers)
		s.admins = append(s.admins, admin)
		s.settings(fmt.Sprint("entry", i), fmt.Sprintf("Region = \"Mazowsze\"\nFailureDomain = \"d%d\"\nCallerAddress = %q\nLinkAddress = %q\nAdminAddress = %q\nPlatformAddress = %q\nPeers = [%q]\nNoticeTime = \"500ms\"\n%s",
			i, callers, own, admin, s.platform, links[1-i], roots))
		s.start(fmt.Sprint("entry", i), "corianderpass", "entry", "--settings", s.path(fmt.Sprint("entry", i)))
	}
	for i := range 3 {
		s.addAgent(fmt.Sprint("agent", i), fmt.Sprint("minion", i), links)
	}
	s.roll(strings.ReplaceAll(roots, "RootOperators", "Operators"))
	return s
}

func (s *system) addAgent(agent, minion string, links []string) {
	local, serve := address(s.t), address(s.t)
	s.settings(agent, fmt.Sprintf("Region = \"Mazowsze\"\nFailureDomain = \"d\"\nLinkAddress = %q\nLocalAddress = %q\nEntries = [%q, %q]\n", address(s.t), local, links[0], links[1]))
	s.start(agent, "corianderpass", "agent", "--settings", s.path(agent))
	s.minions = append(s.minions, serve)
	s.start(minion, "corianderpass-standin", "minion", "--address", serve, "--agent", local)
}

func (s *system) path(name string) string { return filepath.Join(s.dir, name+".toml") }

func (s *system) settings(name, text string) {
	if err := os.WriteFile(s.path(name), []byte(fmt.Sprintf("Name = %q\n", name)+text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// roll brings the first bundle into force, repeating each step until it is taken.
func (s *system) roll(operators string) {
	sum := sha256.Sum256([]byte("secret"))
	document := operators + fmt.Sprintf("[[Organisations]]\nName = \"audit\"\nHomeRegion = \"Mazowsze\"\nTokenDigests = [%q]\n[[Services]]\nName = \"evidence\"\n", hex.EncodeToString(sum[:]))
	digest := bundle.DigestOf(0, document)
	c := client.New(s.entries[0])
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
		for try := 0; ; try++ {
			err := step(s.t.Context())
			if err == nil || client.AsError(err) != nil && client.AsError(err).Code == client.CodeConflict {
				break
			}
			if try == 200 {
				s.t.Fatalf("step %d: %v", i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.ready()
}

// ready waits until a request is served at every entry.
func (s *system) ready() {
	for i := range s.entries {
		c := s.caller(i)
		for try := 0; ; try++ {
			_, err := c.Do(s.t.Context(), client.Request{Service: "evidence", Repeatable: true, Body: []byte("ready")})
			if err == nil {
				break
			}
			if try == 400 {
				s.t.Fatalf("entry %d is not ready: %v", i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.Close()
	}
}

func (s *system) caller(entry int) *client.Client {
	c := client.New(s.entries[entry])
	c.Token = "secret"
	return c
}

// runs returns how often each request ran on all minions.
func (s *system) runs() map[string]int {
	total := map[string]int{}
	for _, m := range s.minions {
		response, err := http.Get("http://" + m + "/runs")
		if err != nil {
			s.t.Fatal(err)
		}
		var runs map[string]int
		if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
			s.t.Fatal(err)
		}
		_ = response.Body.Close()
		for id, n := range runs {
			total[id] += n
		}
	}
	return total
}

// account is what the callers were told of each request.
type account struct {
	mu       sync.Mutex
	answered map[string]string
	notRun   map[string]bool
	unknown  map[string]bool
}

// ask sends one request. A patient caller asks again with the same ID, at the
// other entry, until it has the answer or the fate stays unknown.
func (s *system) ask(callers []*client.Client, a *account, number int) {
	id := fmt.Sprint("order-", number)
	body := "sleep 20ms " + id
	patient := number%2 == 0
	var last error
	for try := range 60 {
		answer, err := askOnce(s.t.Context(), callers[(number+try)%2], client.Request{Service: "evidence", ID: id, Body: []byte(body)})
		last = err
		if err == nil {
			a.mu.Lock()
			a.answered[id] = string(answer.Body)
			a.mu.Unlock()
			return
		}
		if !patient {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := client.AsError(last); e != nil && e.Fate == client.FateNotRun {
		a.notRun[id] = true
		return
	}
	a.unknown[id] = true
}

const (
	// pauseLength is how long a stopped process sleeps.
	pauseLength = 1500 * time.Millisecond
	// askTimeout bounds one try of a caller.
	askTimeout = 10 * time.Second
)

// The failure: in a burst of requests one entry is killed, one agent is killed,
// and the other entry is stopped for a while and goes on. Every request is
// accounted for.
func TestEveryRequestIsAccountedForWhenProcessesAreKilled(t *testing.T) {
	s := newSystem(t)
	callers := []*client.Client{s.caller(0), s.caller(1)}
	a := &account{answered: map[string]string{}, notRun: map[string]bool{}, unknown: map[string]bool{}}
	const count = 400
	var group sync.WaitGroup
	room := make(chan struct{}, 24)
	for i := range count {
		switch i {
		case 100:
			s.signal("entry1", syscall.SIGSTOP)
			group.Go(func() {
				time.Sleep(pauseLength)
				s.signal("entry1", syscall.SIGCONT)
			})
		case 200:
			s.signal("entry0", syscall.SIGKILL)
		case 300:
			s.signal("agent2", syscall.SIGKILL)
		}
		room <- struct{}{}
		group.Go(func() {
			s.ask(callers, a, i)
			<-room
		})
	}
	group.Wait()
	runs := s.runs()
	for i := range count {
		id := fmt.Sprint("order-", i)
		n := runs["audit/"+id]
		answer, answered := a.answered[id]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", id, n)
		case answered && answer != "answer to sleep 20ms "+id:
			t.Errorf("%s got the answer %q", id, answer)
		case answered && n != 1:
			t.Errorf("%s was answered and ran %d times", id, n)
		case a.notRun[id] && n != 0:
			t.Errorf("%s was told that it did not run, and ran", id)
		case !answered && !a.notRun[id] && !a.unknown[id]:
			t.Errorf("%s is not accounted for", id)
		}
	}
	t.Logf("%d requests: %d answered, %d not run, %d unknown", count, len(a.answered), len(a.notRun), len(a.unknown))
	if len(a.answered) < count/2 {
		t.Errorf("only %d of %d were answered", len(a.answered), count)
	}
}

func askOnce(ctx context.Context, c *client.Client, r client.Request) (client.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return c.Do(ctx, r)
}

// balance returns the entry that a balancer would choose: the preferred one if it
// says that it is ready.
func (s *system) balance(preferred int) int {
	response, err := http.Get("http://" + s.admins[preferred] + "/readyz")
	if err != nil {
		return 1 - preferred
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 1 - preferred
	}
	return preferred
}

// The failure: an entry and an agent get the signal to leave in a burst behind a
// balancer, and again while they leave. No request is cut or refused.
func TestAGracefulShutdownCutsNoRequest(t *testing.T) {
	s := newSystem(t)
	callers := []*client.Client{s.caller(0), s.caller(1)}
	const count = 300
	failures := make(chan error, count)
	var group sync.WaitGroup
	room := make(chan struct{}, 12)
	for i := range count {
		switch i {
		case 100, 112:
			s.signal("entry0", syscall.SIGTERM)
		case 200, 212:
			s.signal("agent0", syscall.SIGTERM)
		}
		body := "sleep 50ms order"
		if i > 190 && i <= 200 {
			// These run for longer than the agent's last answers are waited for.
			body = "sleep 4s order"
		}
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			request := client.Request{Service: "evidence", Body: []byte(body)}
			if _, err := callers[s.balance(i%2)].Do(t.Context(), request); err != nil {
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
		t.Errorf("entry0 ended with %v", err)
	}
	if err := s.processes["agent0"].Wait(); err != nil {
		t.Errorf("agent0 ended with %v", err)
	}
}
