package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/request/dispatch"
	"corianderpass/internal/version/bundle"
)

// Announcement is a minion's word on itself. A minion repeats it every second.
type Announcement struct {
	Service bundle.ServiceName
	// Address is where the minion takes requests over HTTP.
	Address string
	// Slots is how many requests it serves at a time.
	Slots int
	// Connections is how many connections it takes.
	Connections int
	// Leaving minions take nothing new.
	Leaving bool
}

// announcementLife is how long a minion counts as there after an announcement.
const announcementLife = 3 * time.Second

// maxSlots bounds what a minion may announce.
const maxSlots = 4096

// Check implements settings.Checker.
func (a *Announcement) Check() error {
	if err := settings.CheckName("Service", string(a.Service)); err != nil {
		return err
	}
	if err := settings.CheckAddress("Address", a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("Slots must be from 1 to %d", maxSlots)
	}
	if a.Connections < 1 {
		return errors.New("Connections must be at least 1")
	}
	return nil
}

// MinionDialer opens a connection to a minion.
type MinionDialer func(ctx context.Context, network, address string) (net.Conn, error)

// DialMinion opens a TCP connection to a minion.
func DialMinion(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
}

// minion is the backend server beside the agent. It is safe for concurrent use.
type minion struct {
	dial MinionDialer

	mu   sync.Mutex
	last Announcement
	seen time.Time
	http *http.Client
}

// present returns the announcement if the minion is there.
func (m *minion) present(now time.Time) (Announcement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last, !m.seen.IsZero() && now.Sub(m.seen) < announcementLife
}

// announce takes an announcement in.
func (m *minion) announce(now time.Time, a Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.http == nil || m.last.Connections != a.Connections {
		m.http = newMinionClient(m.dial, a.Connections)
	}
	m.last = a
	m.seen = now
}

func (m *minion) client() (*http.Client, Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.http, m.last
}

func newMinionClient(dial MinionDialer, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// The headers that a minion sees.
const (
	headerOrganisation = "Corianderpass-Organisation"
	headerRequest      = "Corianderpass-Request"
	headerDispatch     = "Corianderpass-Dispatch"
)

// maxAnswer bounds the bytes of an answer whatever the bundle allows.
const maxAnswer = 16 << 20

// limitOf returns the longest answer that the order may get.
func limitOf(o dispatch.Order) int {
	if o.AnswerLimit <= 0 {
		return maxAnswer
	}
	return min(maxAnswer, o.AnswerLimit)
}

// run hands an order to the minion.
func (m *minion) run(ctx context.Context, o dispatch.Order) dispatch.Reply {
	client, a := m.client()
	if client == nil {
		return notRun(dispatch.RefusedUnreachable, "no minion was announced")
	}
	url := "http://" + a.Address + "/" + string(o.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(o.Body))
	if err != nil {
		return notRun(dispatch.RefusedUnreachable, err.Error())
	}
	// Without a replayable body the transport never sends a request twice by itself.
	request.GetBody = nil
	request.Header.Set(headerOrganisation, string(o.Organisation))
	request.Header.Set(headerRequest, o.RequestID)
	request.Header.Set(headerDispatch, string(o.ID))
	response, err := client.Do(request)
	if err != nil {
		return failedCall(err)
	}
	defer func() { _ = response.Body.Close() }()
	limit := limitOf(o)
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "agent: answer was cut: " + err.Error()}}
	}
	if len(body) > limit {
		text := fmt.Sprintf("agent: the answer is longer than %d bytes", limit)
		return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: http.StatusBadGateway, Error: text}}
	}
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: response.StatusCode, Body: body}}
}

func notRun(reason dispatch.Refusal, text string) dispatch.Reply {
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateNotRun, Error: "agent: " + text}, Refusal: reason}
}

// failedCall judges a call without an answer: if no connection was opened the
// minion has seen nothing.
func failedCall(err error) dispatch.Reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(dispatch.RefusedUnreachable, err.Error())
	}
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: fmt.Sprintf("agent: no answer from the minion: %v", err)}}
}

// decodeAnnouncement reads a minion's announcement strictly.
func decodeAnnouncement(body io.Reader) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, fmt.Errorf("agent: decode announcement: %w", err)
	}
	if err := a.Check(); err != nil {
		return a, fmt.Errorf("agent: announcement: %w", err)
	}
	return a, nil
}
