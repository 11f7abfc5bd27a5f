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

const which relay.LogName = "Keyed"

// serve lets others use a log over a link and returns its address.
func serve(t *testing.T, log platform.Log, path *relay.Path) link.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := link.NewServer(relay.Handlers(map[relay.LogName]platform.Log{which: log}, path)).Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return link.Address(l.Addr().String())
}

func newLogs(t *testing.T) (own, other *standin.KeyedLog, path *relay.Path, peers *[]link.Address) {
	t.Helper()
	shared, kept := &standin.Log{}, &standin.Kept{}
	own = &standin.KeyedLog{Log: shared, Kept: kept, Writer: "own"}
	other = &standin.KeyedLog{Log: shared, Kept: kept, Writer: "other"}
	sound := relay.NewPath(nil, nil, nil, nil, hclog.NewNullLogger())
	peers = &[]link.Address{serve(t, other, sound)}
	pool := link.NewPool(link.DialTCP)
	t.Cleanup(pool.Close)
	began := time.Now()
	probe := func(ctx context.Context) error {
		_, err := own.Span(ctx, "s")
		return err
	}
	path = relay.NewPath(pool, func() []link.Address { return *peers }, probe, func() time.Duration { return time.Since(began) }, hclog.NewNullLogger())
	return own, other, path, peers
}

func TestCallsGoOverAPeerWhileTheOwnWayIsBroken(t *testing.T) {
	own, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(own, which, path)
	if _, err := log.Append(t.Context(), "s", []byte("direct")); err != nil || path.Broken() {
		t.Fatal(err, path.Broken())
	}
	own.Cut(true)
	if _, err := log.Append(t.Context(), "s", []byte("around")); err != nil {
		t.Fatalf("the first refused append did not go over the peer: %v", err)
	}
	if !path.Broken() {
		t.Fatal("the own way still counts as sound")
	}
	records, err := log.Read(t.Context(), "s", 1, 10, 0)
	if err != nil || len(records) != 2 || string(records[1].Payload) != "around" {
		t.Fatalf("%v, %v", records, err)
	}
	if newest, next, err := log.Newest(t.Context(), "s"); err != nil || len(newest) != 2 || next != 3 {
		t.Fatalf("%v, %d, %v", newest, next, err)
	}
	if err := log.Replace(t.Context(), "s", [][]byte{[]byte("all")}, []platform.Key{records[0].Key, records[1].Key}); err != nil {
		t.Fatal(err)
	}
	if newest, _, err := log.Newest(t.Context(), "s"); err != nil || len(newest) != 1 {
		t.Fatalf("%v, %v", newest, err)
	}
}

func TestErrorsOfTheLogComeThroughAPeer(t *testing.T) {
	own, other, path, peers := newLogs(t)
	log := relay.NewKeyedLog(own, which, path)
	own.Cut(true)
	other.Cut(true)
	if _, err := log.Append(t.Context(), "s", []byte("x")); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("both ways are broken: %v", err)
	}
	other.Cut(false)
	own.Log.KeepRecords = 1
	for range 3 {
		if _, err := other.Append(t.Context(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := log.Read(t.Context(), "s", 1, 10, 0); !errors.Is(err, platform.ErrTrimmed) {
		t.Errorf("trimmed: %v", err)
	}
	own.Log.SetFaults(standin.LogFaults{LoseAnswers: 1, Seed: 1})
	if _, err := log.Append(t.Context(), "s", []byte("x")); errors.Is(err, platform.ErrLogDown) || err == nil {
		t.Errorf("an append whose fate is unknown: %v", err)
	}
	*peers = nil
	if _, err := log.Span(t.Context(), "s"); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("no peers: %v", err)
	}
}

func TestTheOwnWayIsUsedAgainOnceItIsSound(t *testing.T) {
	own, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(own, which, path)
	ctx, cancel := context.WithCancel(t.Context())
	ended := path.Start(ctx)
	own.Cut(true)
	if _, err := log.Span(ctx, "s"); err != nil {
		t.Fatal(err)
	}
	own.Cut(false)
	for path.Broken() {
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestACallOnTheWayRoundEndsOnceTheOwnWayIsBack(t *testing.T) {
	own, _, path, _ := newLogs(t)
	log := relay.NewKeyedLog(own, which, path)
	ctx, cancel := context.WithCancel(t.Context())
	ended := path.Start(ctx)
	own.Cut(true)
	if _, err := log.Span(ctx, "s"); err != nil || !path.Broken() {
		t.Fatal(err)
	}
	const wait = time.Minute
	time.AfterFunc(100*time.Millisecond, func() { own.Cut(false) })
	if _, err := log.Read(ctx, "s", 1, 10, wait); err == nil {
		t.Error("a read without records came back as if it had waited")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestAPeerWhoseWayIsBrokenSaysSoAtOnce(t *testing.T) {
	own, other, path, peers := newLogs(t)
	broken := relay.NewPath(link.NewPool(link.DialTCP), func() []link.Address { return nil }, nil, func() time.Duration { return 0 }, hclog.NewNullLogger())
	other.Cut(true)
	if _, err := relay.NewKeyedLog(other, which, broken).Span(t.Context(), "s"); err == nil || !broken.Broken() {
		t.Fatal(err)
	}
	other.Cut(false)
	*peers = []link.Address{serve(t, other, broken)}
	own.Cut(true)
	if _, err := relay.NewKeyedLog(own, which, path).Append(t.Context(), "s", []byte("x")); !errors.Is(err, platform.ErrLogDown) {
		t.Errorf("%v", err)
	}
}
