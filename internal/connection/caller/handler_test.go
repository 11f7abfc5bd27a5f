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

// fakeService is a Service that records its calls and returns answer and err.
type fakeService struct {
	current  *bundle.InForce
	calls    []caller.Call
	jobCalls []string
	answer   ledger.Answer
	err      error
	leaving  bool
}

func (s *fakeService) InForce() *bundle.InForce         { return s.current }
func (s *fakeService) Leaving() bool                    { return s.leaving }
func (s *fakeService) RootOperators() []bundle.Operator { return nil }
func (s *fakeService) Bundle() client.BundleStatus      { return client.BundleStatus{Version: 1} }

func (s *fakeService) Status(context.Context) client.Status { return client.Status{Version: 1} }

func (s *fakeService) Serve(_ context.Context, c caller.Call) (ledger.Answer, error) {
	s.calls = append(s.calls, c)
	return s.answer, s.err
}

func (s *fakeService) job(o bundle.Organisation, id string) (client.JobStatus, error) {
	s.jobCalls = append(s.jobCalls, string(o.Name)+"/"+id)
	return client.JobStatus{ID: id}, s.err
}

func (s *fakeService) SubmitJob(_ context.Context, o bundle.Organisation, j client.Job) (client.JobStatus, error) {
	return s.job(o, j.ID)
}

func (s *fakeService) Job(_ context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return s.job(o, id)
}

func (s *fakeService) Jobs(context.Context, bundle.Organisation) ([]client.JobStatus, error) {
	return nil, s.err
}

func (s *fakeService) CancelJob(_ context.Context, o bundle.Organisation, id string) (client.JobStatus, error) {
	return s.job(o, id)
}

func (s *fakeService) DraftBundle(context.Context, client.Draft) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func (s *fakeService) ApproveBundle(context.Context, client.Consent) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func (s *fakeService) RollBundle(context.Context, client.Consent) (client.BundleStatus, error) {
	return client.BundleStatus{}, s.err
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newService returns a service with a bundle in force that has two organisations and
// the operator ana, and the private key of ana.
func newService() (*fakeService, ed25519.PrivateKey) {
	public, private, _ := ed25519.GenerateKey(nil)
	return &fakeService{current: &bundle.InForce{Release: bundle.Release{Version: 1}, Bundle: &bundle.Bundle{
		Operators: []bundle.Operator{{Name: "ana", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Organisations: []bundle.Organisation{
			{Name: "audit", TokenDigests: []string{digest("audit-token")}},
			{Name: "timber", TokenDigests: []string{digest("timber-token")}},
		},
		Services: []bundle.Service{{Name: "s"}},
	}}}, private
}

// newClient serves s over HTTP and returns a client of it.
func newClient(t *testing.T, s *fakeService) *client.Client {
	t.Helper()
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), metrics.NewSet()))
	t.Cleanup(server.Close)
	return client.New(strings.TrimPrefix(server.URL, "http://"))
}

// Requests and jobs must be attributed to the organisation that owns the token, and a
// call with a missing or unknown token must not reach the service. Otherwise one
// organisation could run or cancel work as another.
func TestTokenSelectsOrganisation(t *testing.T) {
	s, _ := newService()
	c := newClient(t, s)
	for token, name := range map[string]bundle.OrganisationName{"audit-token": "audit", "timber-token": "timber"} {
		c.Token = token
		s.answer = ledger.Answer{Fate: ledger.FateRan, Status: 201, Body: []byte("body")}
		answer, err := c.Do(t.Context(), client.Request{Service: "s", ID: "i", Repeatable: true, Body: []byte("x")})
		if err != nil || answer.Status != 201 || string(answer.Body) != "body" {
			t.Errorf("got answer %+v, error %v, want status 201 with the body of the minion", answer, err)
		}
		last := s.calls[len(s.calls)-1]
		if last.Organisation.Name != name || last.RequestID != "i" || !last.Repeatable || last.Service != "s" || string(last.Body) != "x" {
			t.Errorf("the service got call %+v, want the request as it was sent", last)
		}
		if _, err := c.Cancel(t.Context(), "job"); err != nil || s.jobCalls[len(s.jobCalls)-1] != string(name)+"/job" {
			t.Errorf("cancel: the service got %v, error %v, want job of the token's organisation", s.jobCalls, err)
		}
	}
	for _, token := range []string{"", "wrong", "audit-tokenx"} {
		c.Token = token
		before := len(s.calls) + len(s.jobCalls)
		_, err := c.Do(t.Context(), client.Request{Service: "s"})
		_, submitErr := c.Submit(t.Context(), client.Job{ID: "j"})
		for _, err := range []error{err, submitErr} {
			if e := client.AsError(err); e == nil || e.Code != client.CodeUnauthorised || e.Fate != client.FateNotRun {
				t.Errorf("token %q: got error %v, want Unauthorised and NotRun", token, err)
			}
		}
		if len(s.calls)+len(s.jobCalls) != before {
			t.Errorf("token %q: the call reached the service, want it refused before", token)
		}
	}
}

// A caller can put any name in the path. The number of metric series must not grow with the
// names that it tries.
func TestUnknownServicesShareOneMetric(t *testing.T) {
	s, _ := newService()
	set := metrics.NewSet()
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), set))
	t.Cleanup(server.Close)
	c := client.New(strings.TrimPrefix(server.URL, "http://"))
	c.Token = "audit-token"
	s.err = &client.Error{Code: client.CodeNotFound, Fate: client.FateNotRun, Message: "no such service"}
	for _, name := range []string{"s", "x1", "x2", "x3"} {
		if _, err := c.Do(t.Context(), client.Request{Service: name}); err == nil {
			t.Fatalf("service %s: got no error, want that of the service", name)
		}
	}
	if names := set.ListMetricNames(); len(names) != 2 {
		t.Errorf("got metrics %v for one known and three unknown services, want 2", names)
	}
}

// If an error lost its code, fate or retry time between the service and the client, the
// caller would repeat what may have run, or retry too early. The client must return the
// same error as the service.
func TestErrorsCarryCodeFateAndRetryAfter(t *testing.T) {
	s, _ := newService()
	c := newClient(t, s)
	c.Token = "audit-token"
	for _, want := range []client.Error{
		{Code: client.CodeOverloaded, Fate: client.FateNotRun, Message: "m", RetryAfter: 1500 * time.Millisecond},
		{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "m"},
		// An error with the fate Ran must not be taken for an answer of the minion.
		{Code: client.CodeAnswerTooLong, Fate: client.FateRan, Message: "m"},
	} {
		s.err = &want
		_, err := c.Do(t.Context(), client.Request{Service: "s"})
		if e := client.AsError(err); e == nil || *e != want {
			t.Errorf("got %v, want %v", err, want)
		}
	}
}

// A minion may answer with an HTTP error status. The request ran then: the client must
// return the status and body as an answer, not as an error of the scheduler.
func TestMinionErrorStatusIsAnswer(t *testing.T) {
	s, _ := newService()
	s.answer = ledger.Answer{Fate: ledger.FateRan, Status: http.StatusInternalServerError, Body: []byte("broken")}
	c := newClient(t, s)
	c.Token = "audit-token"
	answer, err := c.Do(t.Context(), client.Request{Service: "s"})
	if err != nil || answer.Status != http.StatusInternalServerError || string(answer.Body) != "broken" {
		t.Errorf("got answer %+v, error %v, want status 500 with the body of the minion", answer, err)
	}
}

// The status and the bundle are for operators: neither a caller's token nor a
// signature with another key may read them.
func TestReadsNeedOperatorSignature(t *testing.T) {
	s, key := newService()
	c := newClient(t, s)
	c.Token = "audit-token"
	if _, err := c.Status(t.Context()); client.AsError(err) == nil || client.AsError(err).Code != client.CodeUnauthorised {
		t.Errorf("status read with a token only: got error %v, want Unauthorised", err)
	}
	c.Operator = "ana"
	c.Key = key
	if status, err := c.Status(t.Context()); err != nil || status.Version != 1 {
		t.Errorf("status read by an operator: got %+v, error %v, want version 1", status, err)
	}
	_, otherKey, _ := ed25519.GenerateKey(nil)
	c.Key = otherKey
	if _, err := c.Bundle(t.Context()); client.AsError(err) == nil || client.AsError(err).Code != client.CodeUnauthorised {
		t.Errorf("bundle read with another key: got error %v, want Unauthorised", err)
	}
}

// A caller may repeat an invalid request, once corrected, only if it has not run. Invalid
// requests must get their status and the fate NotRun, and never reach the service.
func TestInvalidRequestsAreRefused(t *testing.T) {
	s, _ := newService()
	server := httptest.NewServer(caller.NewHandler(s, hclog.NewNullLogger(), metrics.NewSet()))
	defer server.Close()
	for _, test := range []struct {
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
		request, err := http.NewRequestWithContext(t.Context(), test.method, server.URL+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer audit-token")
		if test.header != "" {
			request.Header.Set(test.header, test.value)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != test.status || response.Header.Get(client.HeaderFate) != string(client.FateNotRun) {
			t.Errorf("%s %s: got status %d, fate %q, want the status of the test and fate NotRun", test.method, test.path, response.StatusCode, response.Header.Get(client.HeaderFate))
		}
	}
	if len(s.calls)+len(s.jobCalls) > 0 {
		t.Error("an invalid request reached the service, want all refused before")
	}
}

// A client that keeps its connection to a leaving entry would send its next request
// on a connection that is about to close. The entry must close the connection with its
// answer.
func TestLeavingEntryClosesConnections(t *testing.T) {
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
		t.Error("the connection was kept open after the answer, want it closed")
	}
}
