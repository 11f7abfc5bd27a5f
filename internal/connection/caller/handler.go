package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/negroni/v3"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 8 << 20
	// maxRequestID is the maximum length of a caller's request ID in bytes.
	maxRequestID = 128
)

// handler serves the API.
type handler struct {
	service Service
	logger  hclog.Logger
	metrics *metrics.Set
	tokens  tokenIndex
}

// NewHandler returns the handler of the whole API. It adds its metrics to the set.
func NewHandler(s Service, logger hclog.Logger, set *metrics.Set) http.Handler {
	h := &handler{service: s, logger: logger, metrics: set}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests/{service}", h.postRequest)
	mux.HandleFunc("POST /v1/jobs", handleOrganisation(h, h.submitJob))
	mux.HandleFunc("GET /v1/jobs", handleOrganisation(h, h.listJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", handleOrganisation(h, h.readJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", handleOrganisation(h, h.cancelJob))
	mux.HandleFunc("POST /v1/bundle/drafts", handleSigned(h, s.DraftBundle))
	mux.HandleFunc("POST /v1/bundle/approvals", handleSigned(h, s.ApproveBundle))
	mux.HandleFunc("POST /v1/bundle/rolls", handleSigned(h, s.RollBundle))
	mux.HandleFunc("GET /v1/bundle", handleOperatorRead(h, func(context.Context) any { return s.Bundle() }))
	mux.HandleFunc("GET /v1/status", handleOperatorRead(h, func(ctx context.Context) any { return s.Status(ctx) }))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &client.Error{Code: client.CodeNotFound, Fate: client.FateNotRun, Message: "no such path: " + r.Method + " " + r.URL.Path})
	})
	n := negroni.New(negroni.NewRecovery(), negroni.HandlerFunc(h.closeWhenLeaving))
	n.UseHandler(mux)
	return n
}

// closeWhenLeaving has each connection closed after its answer while the process is
// leaving, so that no caller sends a request on one that is about to close.
func (h *handler) closeWhenLeaving(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if h.service.Leaving() {
		w.Header().Set("Connection", "close")
	}
	next(w, r)
}

// postRequest handles a request to a service.
func (h *handler) postRequest(w http.ResponseWriter, r *http.Request) {
	o, err := h.organisation(r)
	if err != nil {
		writeError(w, err)
		return
	}
	c, err := readCall(w, r, o)
	if err != nil {
		writeError(w, err)
		return
	}
	startedAt := time.Now()
	answer, err := h.service.Serve(r.Context(), c)
	h.observe(c, startedAt, err)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(client.HeaderFate, string(client.FateRan))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func readCall(w http.ResponseWriter, r *http.Request, o bundle.Organisation) (Call, error) {
	c := Call{Organisation: o, Service: bundle.ServiceName(r.PathValue("service")), RequestID: r.Header.Get(client.HeaderRequestID)}
	if len(c.RequestID) > maxRequestID {
		return c, invalid(fmt.Sprintf("%s has more than %d bytes", client.HeaderRequestID, maxRequestID))
	}
	if text := r.Header.Get(client.HeaderRepeatable); text != "" {
		repeatable, err := strconv.ParseBool(text)
		if err != nil {
			return c, invalid(client.HeaderRepeatable + " is neither true nor false")
		}
		c.Repeatable = repeatable
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return c, &client.Error{Code: client.CodeTooLarge, Fate: client.FateNotRun, Message: fmt.Sprintf("the body has more than %d bytes", maxBody)}
	}
	if err != nil {
		return c, invalid("could not read the body: " + err.Error())
	}
	c.Body = body
	return c, nil
}

func invalid(message string) *client.Error {
	return &client.Error{Code: client.CodeInvalid, Fate: client.FateNotRun, Message: message}
}

// unknownService is the label of services that the bundle does not contain. Callers choose the
// name in the path, so each of them as a label would let them add any number of series.
const unknownService = "unknown"

func (h *handler) serviceLabel(name bundle.ServiceName) string {
	if current := h.service.InForce(); current != nil {
		if _, known := current.Bundle.Service(name); known {
			return string(name)
		}
	}
	return unknownService
}

// observe records the latency of a request by organisation, service and outcome. The
// outcome of an answer is the fate Ran, that of an error its fate, a slash and its code.
func (h *handler) observe(c Call, startedAt time.Time, err error) {
	outcome := string(client.FateRan)
	if e := client.AsError(err); e != nil {
		outcome = string(e.Fate) + "/" + string(e.Code)
	}
	labels := fmt.Sprintf(`{organisation=%q,service=%q,outcome=%q}`, c.Organisation.Name, h.serviceLabel(c.Service), outcome)
	h.metrics.GetOrCreateHistogram("corianderpass_request_seconds" + labels).Update(time.Since(startedAt).Seconds())
}

// handleOrganisation returns a handler for calls that need the token of an
// organisation.
func handleOrganisation(h *handler, f func(r *http.Request, o bundle.Organisation) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := h.organisation(r)
		if err != nil {
			writeError(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		answer, err := f(r, o)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// handleSigned returns a handler for the steps of a bundle's release (draft, approval,
// roll). Their bodies carry their own signatures, which f checks.
func handleSigned[Q any](h *handler, f func(context.Context, Q) (client.BundleStatus, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var query Q
		if err := decode(http.MaxBytesReader(w, r.Body, maxBody), &query); err != nil {
			writeError(w, err)
			return
		}
		answer, err := f(r.Context(), query)
		if err != nil {
			h.logger.Warn("bundle step refused", "path", r.URL.Path, "error", err)
			writeError(w, err)
			return
		}
		h.logger.Info("bundle step recorded", "path", r.URL.Path, "version", answer.Version)
		writeJSON(w, http.StatusOK, answer)
	}
}

// handleOperatorRead returns a handler for reads that need the signature of an
// operator.
func handleOperatorRead(h *handler, f func(context.Context) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.checkOperator(r); err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, f(r.Context()))
	}
}

func (h *handler) submitJob(r *http.Request, o bundle.Organisation) (any, error) {
	var j client.Job
	if err := decode(r.Body, &j); err != nil {
		return nil, err
	}
	return h.service.SubmitJob(r.Context(), o, j)
}

func (h *handler) listJobs(r *http.Request, o bundle.Organisation) (any, error) {
	return h.service.Jobs(r.Context(), o)
}

func (h *handler) readJob(r *http.Request, o bundle.Organisation) (any, error) {
	return h.service.Job(r.Context(), o, r.PathValue("id"))
}

func (h *handler) cancelJob(r *http.Request, o bundle.Organisation) (any, error) {
	return h.service.CancelJob(r.Context(), o, r.PathValue("id"))
}

// decode decodes a JSON body. It returns an error with CodeInvalid if the body is not
// valid JSON or has an unknown field.
func decode(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid("could not decode the body: " + err.Error())
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// statusByCode has the HTTP status of each code. Any other code gets 500.
var statusByCode = map[client.Code]int{
	client.CodeInvalid:       http.StatusBadRequest,
	client.CodeUnauthorised:  http.StatusUnauthorized,
	client.CodeNotFound:      http.StatusNotFound,
	client.CodeConflict:      http.StatusConflict,
	client.CodeRaced:         http.StatusConflict,
	client.CodeNeverFits:     http.StatusUnprocessableEntity,
	client.CodeOverloaded:    http.StatusTooManyRequests,
	client.CodeNoMinion:      http.StatusServiceUnavailable,
	client.CodeLogDown:       http.StatusServiceUnavailable,
	client.CodeNotReady:      http.StatusServiceUnavailable,
	client.CodeLeaving:       http.StatusServiceUnavailable,
	client.CodeUnknownFate:   http.StatusBadGateway,
	client.CodeDeadline:      http.StatusGatewayTimeout,
	client.CodeTooLarge:      http.StatusRequestEntityTooLarge,
	client.CodeAnswerTooLong: http.StatusBadGateway,
}

// writeError writes the error as JSON, with its HTTP status and its fate and code in
// headers. Retry-After is rounded up to whole seconds.
func writeError(w http.ResponseWriter, err error) {
	typed := client.AsError(err)
	if typed == nil {
		typed = &client.Error{Code: client.CodeInternal, Fate: client.FateUnknown, Message: err.Error()}
	}
	status, found := statusByCode[typed.Code]
	if !found {
		status = http.StatusInternalServerError
	}
	if typed.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	w.Header().Set(client.HeaderFate, string(typed.Fate))
	w.Header().Set(client.HeaderError, string(typed.Code))
	writeJSON(w, status, typed)
}
