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

// Announcement is what a minion reports about itself. The minion repeats it every
// second.
type Announcement struct {
	Service bundle.ServiceName
	// Address is where the minion serves requests over HTTP.
	Address string
	// Slots is how many requests the minion serves at a time.
	Slots int
	// Connections is how many connections the minion accepts.
	Connections int
	// Leaving is set if the minion accepts no new requests.
	Leaving bool
}

// announcementLifetime is how long a minion counts as present after an announcement.
const announcementLifetime = 3 * time.Second

// maxSlots is the highest number of slots that a minion may announce.
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

// MinionDialer opens connections to a minion, as net.Dialer.DialContext does.
type MinionDialer func(ctx context.Context, network, address string) (net.Conn, error)

// DialMinion is a MinionDialer with a timeout of one second.
func DialMinion(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
}

// minion sends requests to the backend server beside the agent. It is safe for concurrent
// use.
type minion struct {
	dial MinionDialer

	mu           sync.Mutex
	announcement Announcement
	announcedAt  time.Time
	http         *http.Client
}

// present returns the last announcement and reports whether it is recent enough for the
// minion to count as present.
func (m *minion) present(now time.Time) (Announcement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.announcement, !m.announcedAt.IsZero() && now.Sub(m.announcedAt) < announcementLifetime
}

// announce stores an announcement, and replaces the HTTP client if the number of
// connections changed.
func (m *minion) announce(now time.Time, a Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.http == nil || m.announcement.Connections != a.Connections {
		m.http = newMinionClient(m.dial, a.Connections)
	}
	m.announcement = a
	m.announcedAt = now
}

func (m *minion) client() (*http.Client, Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.http, m.announcement
}

func newMinionClient(dial MinionDialer, connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// The headers of requests to a minion.
const (
	headerOrganisation = "Corianderpass-Organisation"
	headerRequest      = "Corianderpass-Request"
	headerDispatch     = "Corianderpass-Dispatch"
)

// maxAnswerBytes is the greatest length of an answer, whatever limit the bundle sets.
const maxAnswerBytes = 16 << 20

// answerLimit returns the greatest length of the order's answer in bytes.
func answerLimit(o dispatch.Order) int {
	if o.AnswerLimit <= 0 {
		return maxAnswerBytes
	}
	return min(maxAnswerBytes, o.AnswerLimit)
}

// run sends an order to the minion and returns its answer.
func (m *minion) run(ctx context.Context, o dispatch.Order) dispatch.Reply {
	client, a := m.client()
	if client == nil {
		return replyNotRun(dispatch.RefusedUnreachable, "no minion was announced")
	}
	url := "http://" + a.Address + "/" + string(o.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(o.Body))
	if err != nil {
		return replyNotRun(dispatch.RefusedUnreachable, err.Error())
	}
	// Without GetBody the transport can't repeat the body, so it never sends a request
	// twice on its own.
	request.GetBody = nil
	request.Header.Set(headerOrganisation, string(o.Organisation))
	request.Header.Set(headerRequest, o.RequestID)
	request.Header.Set(headerDispatch, string(o.ID))
	response, err := client.Do(request)
	if err != nil {
		return replyForCallError(err)
	}
	defer func() { _ = response.Body.Close() }()
	limit := answerLimit(o)
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "agent: read the minion's answer: " + err.Error()}}
	}
	if len(body) > limit {
		message := fmt.Sprintf("agent: the answer is longer than %d bytes", limit)
		return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: http.StatusBadGateway, Error: message}}
	}
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateRan, Status: response.StatusCode, Body: body}}
}

func replyNotRun(reason dispatch.Refusal, message string) dispatch.Reply {
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateNotRun, Error: "agent: " + message}, Refusal: reason}
}

// replyForCallError returns the reply for a call to the minion that got no answer: the
// fate NotRun if no connection could be opened, since the minion has certainly not
// received the request then, otherwise Unknown.
func replyForCallError(err error) dispatch.Reply {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return replyNotRun(dispatch.RefusedUnreachable, err.Error())
	}
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: fmt.Sprintf("agent: no answer from the minion: %v", err)}}
}

// decodeAnnouncement decodes and checks a minion's announcement. It rejects unknown
// fields.
func decodeAnnouncement(body io.Reader) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, fmt.Errorf("agent: decode announcement: %w", err)
	}
	if err := a.Check(); err != nil {
		return a, fmt.Errorf("agent: invalid announcement: %w", err)
	}
	return a, nil
}
