package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"corianderpass/platform/standin"
)

// deployment has the processes of the project and the stand-ins around them.
type deployment struct {
	record *record
	// trouble is false if the case is run without its disruption.
	trouble bool
	folder  string
	root    string
	store   *store
	entries []*process
	agents  []*process
	minions []*minion
	// callers has the addresses at which the entries serve callers, ready those of the readiness checks.
	callers, ready []string
	// prepare is called for each minion before it serves.
	prepare func(*minion)
	// guaranteed is the number of accelerators that belong to the tenant.
	guaranteed int
	client     http.Client
	// block holds the block of ports, of which those from nextPort to lastPort have not been used.
	block              net.Listener
	nextPort, lastPort int
}

const (
	host = "jobs.example"
	key  = "demo"
	pool = "evidence-desk"
	// siteMinions is the number of minions of the small site.
	siteMinions = 11
)

func newDeployment(rec *record, root string, trouble bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	absolute, err := filepath.Abs(root)
	if err != nil {
		return nil, fmt.Errorf("find root: %w", err)
	}
	d := &deployment{record: rec, trouble: trouble, folder: folder, root: absolute, store: &store{}, guaranteed: 4}
	if err := d.reservePorts(); err != nil {
		return nil, err
	}
	d.client.Timeout = 4 * time.Second
	d.client.Transport = &http.Transport{DisableKeepAlives: true}
	return d, nil
}

func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Println("logs in", d.folder)
}

const (
	// firstPort is the first port that is used. The ports are below those that the operating system gives to
	// outgoing connections.
	firstPort = 20000
	// Each run takes one of portBlocks blocks of blockSize ports. It holds the first port of the block.
	portBlocks, blockSize = 60, 200
)

// reservePorts takes a block of ports that no other run uses.
func (d *deployment) reservePorts() error {
	first := rand.IntN(portBlocks)
	for i := range portBlocks {
		port := firstPort + (first+i)%portBlocks*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			d.block, d.nextPort, d.lastPort = l, port+1, port+blockSize-1
			return nil
		}
	}
	return errors.New("no free block of ports")
}

// freeAddress returns a loopback address with a free port of the block, which it returns once.
func (d *deployment) freeAddress() (string, int, error) {
	for ; d.nextPort <= d.lastPort; d.nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", d.nextPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		d.nextPort++
		return l.Addr().String(), d.nextPort - 1, nil
	}
	return "", 0, errors.New("no free port")
}

// settings returns the text of a settings file. The bounds are those of the small site lasowy-slad.
func settings(name, class, zone, link, order, callers, ready, control, storeAddress string, memory int) string {
	return fmt.Sprintf("node_name = %q\nrole = \"role\"\nmachine_class = %q\nip = \"127.0.0.1\"\nzone = %q\nregion = %q\nport_range = [%s, %s]\n"+
		"bootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\ncontrol_mode = \"request\"\napp = %q\n"+
		"[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = %d\n"+
		"[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_timeout_ms = 2500\ngrace_s = 6\n"+
		"loss_slack_ms = 200\nconfig_apply_ms = 2500\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\n"+
		"recovery_s = 12\nhold_max_ms = 10000\nstop_ms = 200\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"+
		"status_s = 120\nfar_x = 3\ncheckpoint_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\nrequire_fence = false\nlease_ttl_ms = 3000\n"+
		"[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 12\nappend_ms = 2.0\nrecord_bytes = 262144\ncall_bytes = 2097152\n",
		name, class, zone, zone, link, link, order, callers, ready, control, memory, storeAddress)
}

// stopTime is how long a stop takes, a little less than stop_ms of the settings, and maxLease is hold_max_ms.
const (
	stopTime = 190 * time.Millisecond
	maxLease = 10 * time.Second
)

// start serves the store and the minions and starts the entries and agents.
func (d *deployment) start(entries, minions int, queues ...standin.Queue) error {
	storeAddress, err := d.store.serve()
	if err != nil {
		return err
	}
	for i := range queues {
		q := &queues[i]
		q.Host, q.PathPrefix, q.Service, q.Name = host, fmt.Sprintf("/q%d/", i), pool, fmt.Sprintf("q%d", i)
		q.Attempts, q.Stretch, q.TargetLatencyMS = 2, 3, 3000
	}
	configuration := standin.Configuration{
		Version: 1, Queues: queues, Organisations: []standin.Organisation{{Name: "tenant-1", Keys: []string{key}, Guaranteed: d.guaranteed}},
	}
	if err := d.store.inner.Configure(configuration); err != nil {
		return fmt.Errorf("store the configuration: %w", err)
	}
	zones := []string{"mazowsze-a", "malopolska-a", "pomorze-a"}
	for i := range entries {
		callers, _, err := d.freeAddress()
		if err != nil {
			return err
		}
		ready, _, err := d.freeAddress()
		if err != nil {
			return err
		}
		p, err := d.newProcess(fmt.Sprintf("front-%d", i+1), "entry", "front", zones[i%3], "", callers, ready, "", storeAddress, 284)
		if err != nil {
			return err
		}
		d.entries, d.callers, d.ready = append(d.entries, p), append(d.callers, callers), append(d.ready, ready)
	}
	for i := range minions {
		control, _, err := d.freeAddress()
		if err != nil {
			return err
		}
		order, _, err := d.freeAddress()
		if err != nil {
			return err
		}
		m := newMinion(d.record, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("m-%d", i+1), zones[i%3], order, control)
		d.prepare(m)
		if err := m.serve(); err != nil {
			return err
		}
		p, err := d.newProcess(fmt.Sprintf("side-%d", i+1), "agent", "side", zones[i%3], order, "", "", control, storeAddress, 152)
		if err != nil {
			return err
		}
		d.agents, d.minions = append(d.agents, p), append(d.minions, m)
	}
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, m := range d.minions {
		go m.reportLoop()
	}
	return d.awaitReady()
}

func (d *deployment) newProcess(name, role, class, zone, order, callers, ready, control, storeAddress string, memory int) (*process, error) {
	_, link, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	_, metrics, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(d.folder, name+".toml")
	text := settings(name, class, zone, fmt.Sprint(link), order, callers, ready, control, storeAddress, memory)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return &process{
		record: d.record, name: name, role: role, binary: filepath.Join(d.root, "target", "corianderpass"), root: d.root,
		settings: path, log: filepath.Join(d.folder, name+".log"), metrics: metrics,
	}, nil
}

// awaitReady waits until all entries are ready and all minions have been polled.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, a := range d.ready {
			r, err := d.client.Get("http://" + a + "/ready")
			if err != nil {
				ready = false
				continue
			}
			_ = r.Body.Close()
			ready = ready && r.StatusCode == http.StatusOK
		}
		for _, m := range d.minions {
			ready = ready && m.polls() > 1
		}
		if ready {
			d.record.write("all processes are ready")
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("the processes are not ready after 15 s")
}

// call makes one call of a consumer at an entry. The ID follows the queue, as in q0/0123456789abcdef. The status
// is 0 if there was no answer.
func (d *deployment) call(entry int, method, id string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+d.callers[entry]+"/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Corianderpass-Deadline-Ms", "3000")
	d.record.write("consumer sends %s %s to entry %d", method, id, entry+1)
	response, err := d.client.Do(r)
	if err != nil {
		d.record.write("consumer gets no answer to %s %s: %v", method, id, err)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	d.record.write("consumer gets %d %s to %s %s", response.StatusCode, bytes.TrimSpace(text), method, id)
	return response.StatusCode, string(text)
}

// submit hands in a job, again while it is not accepted, as consumers do.
func (d *deployment) submit(entry int, id string, body any) error {
	for range 5 {
		if status, _ := d.call(entry, http.MethodPost, id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job as an entry shows it, empty if there is none.
func (d *deployment) state(entry int, id string) string {
	status, text := d.call(entry, http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}
