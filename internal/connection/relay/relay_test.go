package relay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/standin"
	"corianderpass/pkg/platform"
)

const logName relay.LogName = "Keyed"

// serve serves the log to peers on loopback and returns the address.
func serve(t *testing.T, log platform.Log, path *relay.Path) link.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := link.NewServer(relay.Handlers(map[relay.LogName]platform.Log{logName: log}, path)).Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return link.Address(l.Addr().String())
}

// newLogs returns direct and peer, two logs with the same records, and a path for calls
// on direct. While that path is broken, calls go to the addresses in peers: at first one,
// at which peer is served.
func newLogs(t *testing.T) (direct, peer *standin.KeyedLog, path *relay.Path, peers *[]link.Address) {
	t.Helper()
	records, keyed := &standin.Log{}, &standin.KeyIndex{}
	direct = &standin.KeyedLog{Log: records, Index: keyed, Writer: "own"}
	peer = &standin.KeyedLog{Log: records, Index: keyed, Writer: "other"}
	peerPath := relay.NewPath(nil, nil, nil, nil, hclog.NewNullLogger())
	peers = &[]link.Address{serve(t, peer, peerPath)}
	pool := link.NewPool(link.DialTCP)
	t.Cleanup(pool.Close)
	startedAt := time.Now()
	probe := func(ctx context.Context) error {
		_, err := direct.Span(ctx, "s")
		return err
	}
	path = relay.NewPath(pool, func() []link.Address { return *peers }, probe, func() time.Duration { return time.Since(startedAt) }, hclog.NewNullLogger())
	return direct, peer, path, peers
}

// A process loses its connection to the log while a peer still has one. All calls
// must go over the peer then, including the first one, which was tried on the direct
// path before.
func TestCallsUsePeerWhileDirectPathIsBroken(t *testing.T) {
	direct, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(direct, logName, path)
	if _, err := log.Append(t.Context(), "s", []byte("direct")); err != nil || path.Broken() {
		t.Fatal(err, path.Broken())
	}
	direct.SetDown(true)
	if _, err := log.Append(t.Context(), "s", []byte("around")); err != nil {
		t.Fatalf("append after the first refusal of the direct path: got error %v, want it to go over the peer", err)
	}
	if !path.Broken() {
		t.Fatal("direct path refused an append: got a path that is not broken, want a broken one")
	}
	records, err := log.Read(t.Context(), "s", 1, 10, 0)
	if err != nil || len(records) != 2 || string(records[1].Payload) != "around" {
		t.Fatalf("Read at the peer: got %v, error %v, want 2 records", records, err)
	}
	if newest, next, err := log.Newest(t.Context(), "s"); err != nil || len(newest) != 2 || next != 3 {
		t.Fatalf("Newest at the peer: got %v, next offset %d, error %v, want 2 records and 3", newest, next, err)
	}
	if err := log.Replace(t.Context(), "s", [][]byte{[]byte("all")}, []platform.Key{records[0].Key, records[1].Key}); err != nil {
		t.Fatal(err)
	}
	if newest, _, err := log.Newest(t.Context(), "s"); err != nil || len(newest) != 1 {
		t.Fatalf("Newest after Replace: got %v, error %v, want 1 record", newest, err)
	}
}

// A caller must see the errors of the log through a peer as on the direct path. An
// append without an answer must not be reported as without effect: the caller would
// repeat it, and it could be in the log twice.
func TestPeerReturnsErrorsOfLog(t *testing.T) {
	direct, peer, path, peers := newLogs(t)
	log := relay.NewKeyedLog(direct, logName, path)
	direct.SetDown(true)
	peer.SetDown(true)
	if _, err := log.Append(t.Context(), "s", []byte("x")); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("direct path and peer are cut: got error %v, want ErrLogDown", err)
	}
	peer.SetDown(false)
	direct.Log.KeepRecords = 1
	for range 3 {
		if _, err := peer.Append(t.Context(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := log.Read(t.Context(), "s", 1, 10, 0); !errors.Is(err, platform.ErrTrimmed) {
		t.Errorf("read of trimmed records: got error %v, want ErrTrimmed", err)
	}
	direct.Log.SetFaults(standin.LogFaults{LoseAnswers: 1, Seed: 1})
	if _, err := log.Append(t.Context(), "s", []byte("x")); errors.Is(err, platform.ErrLogDown) || err == nil {
		t.Errorf("append without answer: got error %v, want one other than ErrLogDown", err)
	}
	*peers = nil
	if _, err := log.Span(t.Context(), "s"); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("no peers: got error %v, want ErrLogDown", err)
	}
}

// A process that went on calling peers after its direct path has recovered would load
// them for no reason. A successful probe must end the use of peers.
func TestDirectPathIsUsedAfterRecovery(t *testing.T) {
	direct, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(direct, logName, path)
	ctx, cancel := context.WithCancel(t.Context())
	done := path.Start(ctx)
	direct.SetDown(true)
	if _, err := log.Span(ctx, "s"); err != nil {
		t.Fatal(err)
	}
	direct.SetDown(false)
	for path.Broken() {
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A long read waits at a peer when the direct path recovers. It must end then with an
// error, and not keep the caller at the peer for the rest of its wait.
func TestCallAtPeerEndsWhenDirectPathRecovers(t *testing.T) {
	direct, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(direct, logName, path)
	ctx, cancel := context.WithCancel(t.Context())
	done := path.Start(ctx)
	direct.SetDown(true)
	if _, err := log.Span(ctx, "s"); err != nil || !path.Broken() {
		t.Fatal(err)
	}
	const wait = time.Minute
	time.AfterFunc(100*time.Millisecond, func() { direct.SetDown(false) })
	if _, err := log.Read(ctx, "s", 1, 10, wait); err == nil {
		t.Error("Read at the peer returned no error, want one when the direct path recovers")
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A peer whose direct path is broken must not pass a call on to a third process: it
// answers that the log is down, though its log works again before the next probe.
func TestPeerWithBrokenPathReportsLogDown(t *testing.T) {
	direct, peer, path, peers := newLogs(t)
	broken := relay.NewPath(link.NewPool(link.DialTCP), func() []link.Address { return nil }, nil, func() time.Duration { return 0 }, hclog.NewNullLogger())
	peer.SetDown(true)
	if _, err := relay.NewKeyedLog(peer, logName, broken).Span(t.Context(), "s"); err == nil || !broken.Broken() {
		t.Fatal(err)
	}
	peer.SetDown(false)
	*peers = []link.Address{serve(t, peer, broken)}
	direct.SetDown(true)
	if _, err := relay.NewKeyedLog(direct, logName, path).Append(t.Context(), "s", []byte("x")); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("%v", err)
	}
}
