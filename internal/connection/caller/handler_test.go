package caller_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// service is a Service that remembers who asked and answers what it is told.
type service struct {
	current *bundle.InForce
	asked   []caller.Call
	jobs    []string
	answer  ledger.Answer
	err     error
	leaving bool
}

func (s *service) InForce() *bundle.InForce         { return s.current }
func (s *service) Leaving() bool                    { return s.leaving }
func (s *service) RootOperators() []bundle.Operator { return nil }
func (s *service) Bundle() client.BundleStatus      { return client.BundleStatus{Version: 1} }

func (s *service) Status(context.Context) client.Status { return client.Status{Version: 1} }

func (s *service) Serve(_ context.Context, c caller.Call) (ledger.Answer, error) {
	s.asked = append(s.asked, c)
	return s.answer, s.err
}

func (s *service) job(o bundle.Organisation, id string) (client.JobStatus, error) {
	s.jobs = append(s.jobs, string(o.Name)+"/"+id)
	return client.JobStatus{ID: id}, s.err
}

func (s *service) SubmitJob(_ context.Context, o bundle.Organisation, j client.Job) (client.JobStatus, error) {
	return s.job(o, j.ID)
}

func (s *service) Job(_ context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return s.job(o, id)
}

func (s *service) Jobs(context.Context, bundle.Organisation) ([]client.JobStatus, error) {
	return nil, s.err
}

func (s *service) CancelJob(_ context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return s.job(o, id)
}

func (s *service) DraftBundle(context.Context, client.Draft) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func (s *service) ApproveBundle(context.Context, client.Consent) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func (s *service) RollBundle(context.Context, client.Consent) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func newService() (*service, ed25519.PrivateKey) {
	public, private, _ := ed25519.GenerateKey(nil)
	return &service{current: &bundle.InForce{Release: bundle.Release{Version: 1}, Bundle: &bundle.Bundle{
		Operators: []bundle.Operator{{Name: "ana", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Organisations: []bundle.Organisation{
			{Name: "audit", TokenDigests: []string{digest("audit-token")}},
			{Name: "timber", TokenDigests: []string{digest("timber-token")}},
		},
	}}}, private
}

func serve(t *testing.T, s *service) *client.Client {
	t.Helper()
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), metrics.NewSet()))
	t.Cleanup(server.Close)
	return client.New(strings.TrimPrefix(server.URL, "http://"))
}

func TestEachTokenActsForItsOwnOrganisationOnly(t *testing.T) {
	s, _ := newService()
	c := serve(t, s)
	for token, name := range map[string]bundle.OrganisationName{"audit-token": "audit", "timber-token": "timber"} {
		c.Token = token
		s.answer = ledger.Answer{Fate: ledger.FateRan, Status: 201, Body: []byte("body")}
		answer, err := c.Do(t.Context(), client.Request{Service: "s", ID: "i", Repeatable: true, Body: []byte("x")})
		if err != nil || answer.Status != 201 || string(answer.Body) != "body" {
			t.Errorf("%+v, %v", answer, err)
		}
		last := s.asked[len(s.asked)-1]
		if last.Organisation.Name != name || last.RequestID != "i" || !last.Repeatable || last.Service != "s" || string(last.Body) != "x" {
			t.Errorf("asked %+v", last)
		}
		if _, err := c.Cancel(t.Context(), "job"); err != nil || s.jobs[len(s.jobs)-1] != string(name)+"/job" {
			t.Errorf("jobs %v, %v", s.jobs, err)
		}
	}
	for _, token := range []string{"", "wrong", "audit-tokenx"} {
		c.Token = token
		asked := len(s.asked) + len(s.jobs)
		_, err := c.Do(t.Context(), client.Request{Service: "s"})
		_, err2 := c.Submit(t.Context(), client.Job{ID: "j"})
		for _, err := range []error{err, err2} {
			if e := client.AsError(err); e == nil || e.Code != client.CodeUnauthorised || e.Fate != client.FateNotRun {
				t.Errorf("token %q: %v", token, err)
			}
		}
		if len(s.asked)+len(s.jobs) != asked {
			t.Errorf("token %q reached the service", token)
		}
	}
}

func TestErrorsCarryCodeFateAndTimeToComeBack(t *testing.T) {
	s, _ := newService()
	c := serve(t, s)
	c.Token = "audit-token"
	for _, want := range []client.Error{
		{Code: client.CodeOverloaded, Fate: client.FateNotRun, Message: "m", RetryAfter: 1500 * time.Millisecond},
		{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "m"},
		// The fate says that it ran, and yet it is no minion's answer.
		{Code: client.CodeAnswerTooLong, Fate: client.FateRan, Message: "m"},
	} {
		s.err = &want
		_, err := c.Do(t.Context(), client.Request{Service: "s"})
		if e := client.AsError(err); e == nil || *e != want {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}

func TestAMinionsOwnErrorIsAnAnswer(t *testing.T) {
	s, _ := newService()
	s.answer = ledger.Answer{Fate: ledger.FateRan, Status: http.StatusInternalServerError, Body: []byte("broken")}
	c := serve(t, s)
	c.Token = "audit-token"
	answer, err := c.Do(t.Context(), client.Request{Service: "s"})
	if err != nil || answer.Status != http.StatusInternalServerError || string(answer.Body) != "broken" {
		t.Errorf("%+v, %v", answer, err)
	}
}

func TestOnlyOperatorsRead(t *testing.T) {
	s, key := newService()
	c := serve(t, s)
	c.Token = "audit-token"
	if _, err := c.Status(t.Context()); client.AsError(err) == nil || client.AsError(err).Code != client.CodeUnauthorised {
		t.Errorf("a caller read the status: %v", err)
	}
	c.Operator = "ana"
	c.Key = key
	if status, err := c.Status(t.Context()); err != nil || status.Version != 1 {
		t.Errorf("%+v, %v", status, err)
	}
	_, other, _ := ed25519.GenerateKey(nil)
	c.Key = other
	if _, err := c.Bundle(t.Context()); client.AsError(err) == nil || client.AsError(err).Code != client.CodeUnauthorised {
		t.Errorf("a foreign key read the bundle: %v", err)
	}
}

func TestBadInputIsNamed(t *testing.T) {
	s, _ := newService()
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), metrics.NewSet()))
	defer server.Close()
	for _, c := range []struct {
		method, path, body, header, value string
		status                            int
	}{
		{"POST", "/v1/jobs", `{"ID":"a","Colour":1}`, "", "", http.StatusBadRequest},
		{"POST", "/v1/jobs", `{`, "", "", http.StatusBadRequest},
		{"POST", "/v1/requests/s", "x", client.HeaderRepeatable, "perhaps", http.StatusBadRequest},
		{"POST", "/v1/requests/s", "x", client.HeaderRequestID, strings.Repeat("x", 129), http.StatusBadRequest},
		{"POST", "/v1/requests/s", strings.Repeat("x", 8<<20+1), "", "", http.StatusRequestEntityTooLarge},
		{"POST", "/v1/bundle/drafts", `[]`, "", "", http.StatusBadRequest},
		{"GET", "/v1/nowhere", "", "", "", http.StatusNotFound},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, server.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer audit-token")
		if c.header != "" {
			request.Header.Set(c.header, c.value)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status || response.Header.Get(client.HeaderFate) != string(client.FateNotRun) {
			t.Errorf("%s %s: status %d, fate %q", c.method, c.path, response.StatusCode, response.Header.Get(client.HeaderFate))
		}
	}
	if len(s.asked)+len(s.jobs) > 0 {
		t.Error("bad input reached the service")
	}
}

func TestALeavingEntryPartsFromItsCallers(t *testing.T) {
	s, _ := newService()
	s.leaving = true
	s.answer = ledger.Answer{Fate: ledger.FateRan, Status: 200}
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), metrics.NewSet()))
	defer server.Close()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/requests/s", strings.NewReader("x"))
	request.Header.Set("Authorization", "Bearer audit-token")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if !response.Close {
		t.Error("the connection is kept")
	}
}
