package bed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the build of the deploy file makes, seen from the root of the repository.
const program = "target/corianderpass"

// The ports are below those that outgoing connections take. Cases that run at the same time have different spans.
const (
	firstPort = 12000
	portSpan  = 100
	portSpans = 150
)

// Bed is a small deployment. Use New.
type Bed struct {
	Store  *Store
	Log    *RunLog
	ctx    context.Context
	cancel context.CancelFunc
	begun  time.Time
	dir    string
	record *os.File

	mu        sync.Mutex
	addresses map[string]string
	nextPort  int
	processes map[Machine]*process
	servers   []*http.Server
	closed    bool
}

// process is a process of the project.
type process struct {
	command *exec.Cmd
	ended   chan error
}

// errCannotRun means that the case could not run.
var errCannotRun = errors.New("bed: case cannot run")

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case, whose folder is the first argument, and exits: with 1 if the case returns a broken rule, with 0 if
// it returns none, and with 2 if it could not run.
func Main(play func(*Bed) (broken []string, err error)) {
	os.Exit(runCase(play))
}

func runCase(play func(*Bed) ([]string, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return 2
	}
	b, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.Close()
	broken, err := play(b)
	switch {
	case err != nil:
		b.Note("the case could not run: %v", err)
		return 2
	case len(broken) > 0:
		for _, line := range broken {
			b.Note("BROKEN: %s", line)
		}
		return 1
	}
	b.Note("the rule held")
	return 0
}

// New returns a deployment without processes. Its record is written into the folder.
func New(folder string) (*Bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("bed: create record: %w", err)
	}
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		return nil, fmt.Errorf("bed: create folder: %w", err)
	}
	b := &Bed{begun: time.Now(), dir: dir, record: record, addresses: map[string]string{}, processes: map[Machine]*process{}}
	b.ctx, b.cancel = context.WithTimeout(context.Background(), 115*time.Second)
	b.Store, b.Log = &Store{}, &RunLog{Note: b.Note}
	b.Note("trouble: %t", Trouble())
	return b, nil
}

// Context ends when the case must end.
func (b *Bed) Context() context.Context { return b.ctx }

// Note writes a line into the record.
func (b *Bed) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(b.begun).Seconds()) + fmt.Sprintf(format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	fmt.Println(line)
	_, _ = fmt.Fprintln(b.record, line)
}

// Close ends all processes and servers.
func (b *Bed) Close() {
	b.cancel()
	b.mu.Lock()
	machines := []Machine{}
	for m := range b.processes {
		machines = append(machines, m)
	}
	servers := b.servers
	b.mu.Unlock()
	for _, m := range machines {
		b.Kill(m)
	}
	for _, s := range servers {
		_ = s.Close()
	}
	b.mu.Lock()
	b.closed = true
	_ = b.record.Close()
	b.mu.Unlock()
	_ = os.RemoveAll(b.dir)
}

// Address returns a loopback address with a free port; the same one for the same name.
func (b *Bed) Address(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.addresses[name]; a != "" {
		return a
	}
	if b.nextPort == 0 {
		b.nextPort = firstPort + os.Getpid()%portSpans*portSpan
	}
	for ; ; b.nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", b.nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		b.nextPort++
		b.addresses[name] = address
		return address
	}
}

// Serve serves the handler at the address.
func (b *Bed) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, ErrorLog: nil}
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// port returns the port of an address.
func port(address string) string { return address[strings.LastIndex(address, ":")+1:] }

// settings returns the settings file of a machine.
func (b *Bed) settings(m Machine, listen, app string) string {
	link := port(b.Address(string(m) + " link"))
	return fmt.Sprintf("node_name = %q\nip = \"127.0.0.1\"\nport_range = [%s, %s]\nzone = \"zone-a\"\nregion = \"region-a\"\nheartbeat_ms = 1500\ncontrol_mode = \"request\"\n%s"+
		"[listen]\n%s[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\n[bounds]\ncontact_ms = 3000\nack_timeout_ms = 4000\ndrain_timeout_ms = 2500\ngrace_s = 6\n"+
		"config_apply_ms = 2500\nstrict_revoke = true\nrevoke_ms = 5000\nhold_max_ms = 10000\nstop_ms = 200\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"+
		"early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 3\ncheckpoint_s = 0.5\nrestore_ms = 100\n"+
		"[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nappend_ms = 2.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npart_mb = 200\n",
		m, link, link, app, listen, b.Address(string(m)+" store"))
}

// serveStore serves the store for the machine, once.
func (b *Bed) serveStore(m Machine) error {
	path := filepath.Join(b.dir, string(m)+".toml")
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	return b.Serve(b.Address(string(m)+" store"), b.Store.Handler(m))
}

// StartEntry starts the entry of a machine.
func (b *Bed) StartEntry(m Machine) error {
	listen := fmt.Sprintf("front = %q\nreadiness = %q\n", b.Address(string(m)+" front"), b.Address(string(m)+" ready"))
	return b.start(m, "entry", listen, "")
}

// StartAgent starts the agent of a machine.
func (b *Bed) StartAgent(m Machine) error {
	listen := fmt.Sprintf("control = %q\n", b.Address(string(m)+" control"))
	return b.start(m, "agent", listen, fmt.Sprintf("app = %q\n", b.Address(string(m)+" app")))
}

func (b *Bed) start(m Machine, role, listen, app string) error {
	if err := b.serveStore(m); err != nil {
		return err
	}
	path := filepath.Join(b.dir, string(m)+".toml")
	if err := os.WriteFile(path, []byte(b.settings(m, listen, app)), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	output := io.Discard
	if folder := os.Getenv("BED_LOGS"); folder != "" {
		f, err := os.OpenFile(filepath.Join(folder, string(m)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
		output = f
	}
	c := exec.Command(program, "platform", role, "--metrics-port", port(b.Address(string(m)+" metrics")))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERPASS_CONFIG=" + path}
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p := &process{c, make(chan error, 1)}
	go func() {
		err := c.Wait()
		b.Note("%s: process has ended: %v", m, err)
		p.ended <- err
	}()
	b.mu.Lock()
	b.processes[m] = p
	b.mu.Unlock()
	b.Note("%s: %s started", m, role)
	return nil
}

// Kill ends the process of a machine with SIGKILL, and waits for its end.
func (b *Bed) Kill(m Machine) { b.end(m, syscall.SIGKILL) }

// Stop ends the process of a machine with SIGTERM, and waits for its end.
func (b *Bed) Stop(m Machine) { b.end(m, syscall.SIGTERM) }

func (b *Bed) end(m Machine, s syscall.Signal) {
	b.mu.Lock()
	p := b.processes[m]
	delete(b.processes, m)
	b.mu.Unlock()
	if p == nil {
		return
	}
	b.Note("%s: signal %v", m, s)
	_ = p.command.Process.Signal(s)
	<-p.ended
}

// AddMinion serves a minion on the machine and begins its first life.
func (b *Bed) AddMinion(m *Minion) error {
	m.Address, m.Log, m.Service = b.Address(string(m.Machine)+" app"), b.Log, "service-a"
	m.Begin()
	if err := b.Serve(m.Address, m.Handler()); err != nil {
		return err
	}
	m.Start(b.ctx, b.Address(string(m.Machine)+" control"))
	return nil
}

// Wait waits until the condition holds, at most for the time, and reports whether it held.
func (b *Bed) Wait(d time.Duration, condition func() bool) bool {
	until := time.Now().Add(d)
	for !condition() {
		if time.Now().After(until) || b.ctx.Err() != nil {
			return false
		}
		wait(b.ctx, 20*time.Millisecond)
	}
	return true
}

// Sleep waits for the time.
func (b *Bed) Sleep(d time.Duration) { wait(b.ctx, d) }

// CannotRun returns an error that says why the case cannot run.
func CannotRun(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...))
}

// SideMinion returns a minion of the machine side-N with the kind and the work. Each minion has a rack of its own.
func SideMinion(n int, kind string, work func(Order) time.Duration) *Minion {
	return &Minion{
		Machine: Machine(fmt.Sprintf("side-%d", n)), ID: fmt.Sprintf("i-%d", n), Labels: []string{kind, fmt.Sprintf("r-%d", n)},
		CPU: 16000, MemMB: 32768, GPUs: 8, Work: work,
	}
}

// Deploy stores the config, starts the entry, the minions and their agents, and waits until they serve.
func (b *Bed) Deploy(entry Machine, minions ...*Minion) error {
	if err := b.Configure(); err != nil {
		return err
	}
	if err := b.StartEntry(entry); err != nil {
		return err
	}
	for _, m := range minions {
		if err := b.StartSide(m); err != nil {
			return err
		}
	}
	if !b.Wait(15*time.Second, func() bool { return b.Ready(entry) }) {
		return CannotRun("the entry is not ready")
	}
	b.Sleep(5 * time.Second)
	return nil
}

// StartSide starts the minion and the agent of a machine.
func (b *Bed) StartSide(m *Minion) error {
	if err := b.AddMinion(m); err != nil {
		return err
	}
	return b.StartAgent(m.Machine)
}
