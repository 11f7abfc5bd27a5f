// Package intake accepts jobs from callers and reports their state. It authorises calls by the
// bundle in force, proposes the submission and cancellation of jobs to the journal of the
// workload, and reads the folded workload state. The HTTP handlers for callers use it. It tells
// a caller that something does not exist only if the bundle and the state are recent, and
// refuses a submitted job only if the job can never run. While the log is unavailable, package
// outage decides which calls wait and when the callers of the others should retry.
package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/outage"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

var (
	// ErrNotReady means that the bundle or the workload state of this process is missing or too
	// old to answer. The call had no effect.
	ErrNotReady = errors.New("intake: not ready")
	// ErrNotStored means that the submission or cancellation was not recorded and never will
	// be.
	ErrNotStored = errors.New("intake: not stored")
	// ErrUnknownFate means that it is unknown whether the submission or cancellation was
	// recorded or still will be.
	ErrUnknownFate = errors.New("intake: fate unknown")
	// ErrUnauthorised means that the token belongs to no organisation.
	ErrUnauthorised = errors.New("intake: unknown token")
	// ErrNoQueue means that the bundle has no queue for the host and path.
	ErrNoQueue = errors.New("intake: no such queue")
	// ErrNoJob means that the caller's organisation has no job with this ID in the queue.
	ErrNoJob = errors.New("intake: no such job")
	// ErrIDTaken means that the job ID is in use by a job of another queue or organisation.
	ErrIDTaken = errors.New("intake: job ID is taken")
)

// Settings limit the age of the bundle and of the workload state that answers are based on.
type Settings struct {
	// MaxAcceptAge is the greatest age of the bundle at which a token is accepted. It bounds how
	// long a removed token still works.
	MaxAcceptAge time.Duration
	// MaxRefuseAge is the greatest age of the bundle and of the workload state at which a caller
	// is told that a queue, token or job does not exist. An older state may lack a new one.
	MaxRefuseAge time.Duration
}

// BundleFreshness reports how recent the bundle in force is.
type BundleFreshness interface {
	// ConfirmedAt returns the latest time on the process's monotonic clock at which the bundle
	// in force was confirmed to be the newest, and false before the first bundle.
	ConfirmedAt() (time.Duration, bool)
}

// Service is the intake of one entry. It is safe for concurrent use. It must be created with
// New.
type Service struct {
	settings  Settings
	journal   *journal.Journal[workload.Record]
	state     *workload.State
	bundles   *bundle.Register
	freshness BundleFreshness
	clock     monotonic.Clock
	logger    hclog.Logger
	metrics   *metrics.Set
	log       logWatch
	// undecided has the submissions that this entry proposed and whose result is not known yet.
	undecided undecided
}

// New returns an intake. state must be the state to which j applies its records.
func New(s Settings, j *journal.Journal[workload.Record], state *workload.State, bundles *bundle.Register,
	freshness BundleFreshness, clock monotonic.Clock, logger hclog.Logger, set *metrics.Set,
) *Service {
	return &Service{
		settings: s, journal: j, state: state, bundles: bundles, freshness: freshness, clock: clock,
		logger: logger.Named("intake"), metrics: set,
	}
}

// Grant is a caller's right to use a queue.
type Grant struct {
	Queue        bundle.Queue
	Organisation bundle.OrganisationName
	// Version is the version of the bundle that the grant is based on.
	Version bundle.Version
}

func (g Grant) priority() outage.Priority { return outage.Priority(g.Queue.Priority) }

// Authorise returns the queue for the host and path, and the organisation that the token
// belongs to; for public queues it checks no token and leaves the organisation empty. Errors
// are ErrNotReady, ErrNoQueue and ErrUnauthorised.
func (s *Service) Authorise(host, path, token string) (Grant, error) {
	g, err := s.authorise(host, path, token)
	return g, s.withDelay(err, g.priority())
}

// AuthoriseOrWait is Authorise for calls that need the log. While the log is unavailable it waits as
// described at retry.
func (s *Service) AuthoriseOrWait(ctx context.Context, host, path, token string) (Grant, error) {
	var g Grant
	err := s.retry(ctx, func() (outage.Priority, error) {
		var err error
		g, err = s.authorise(host, path, token)
		return g.priority(), err
	})
	return g, err
}

func (s *Service) authorise(host, path, token string) (Grant, error) {
	current := s.bundles.Current()
	confirmedAt, known := s.freshness.ConfirmedAt()
	if current == nil || !known {
		return Grant{}, fmt.Errorf("%w: no bundle is in force", ErrNotReady)
	}
	age := s.clock() - confirmedAt
	queue, found := current.Bundle.Queue(host, path)
	if !found {
		return Grant{}, s.refuseIfFresh(age, fmt.Errorf("%w: %s%s in bundle version %d", ErrNoQueue, host, path, current.Version))
	}
	g := Grant{Queue: queue, Version: current.Version}
	if queue.Public {
		return g, nil
	}
	if age > s.settings.MaxAcceptAge {
		return g, fmt.Errorf("%w: the bundle was last confirmed %v ago", ErrNotReady, age)
	}
	o, found := current.Bundle.OrganisationByToken(token)
	if !found {
		return g, s.refuseIfFresh(age, ErrUnauthorised)
	}
	g.Organisation = o.Name
	return g, nil
}

// refuseIfFresh returns the refusal, or ErrNotReady if the bundle that the refusal is based on is
// older than MaxRefuseAge. age is the age of that bundle.
func (s *Service) refuseIfFresh(age time.Duration, refusal error) error {
	if age > s.settings.MaxRefuseAge {
		return fmt.Errorf("%w: the bundle was last confirmed %v ago: %w", ErrNotReady, age, refusal)
	}
	return refusal
}

// stateAge returns the greatest possible age of the workload state, and false if the journal was
// never read to its end.
func (s *Service) stateAge() (time.Duration, bool) {
	confirmed, known := s.journal.CompleteAsOf()
	return s.clock() - confirmed, known
}

// Ready reports whether this entry can answer callers, and the reason if it cannot.
func (s *Service) Ready() (bool, string) {
	s.observe(nil)
	confirmedAt, known := s.freshness.ConfirmedAt()
	if !known || s.bundles.Current() == nil {
		return false, "no bundle is known"
	}
	if age := s.clock() - confirmedAt; age > s.settings.MaxRefuseAge {
		return false, fmt.Sprintf("the bundle was last confirmed %v ago", age)
	}
	age, known := s.stateAge()
	if !known {
		return false, "the workload state is not known yet"
	}
	if age > s.settings.MaxRefuseAge || s.journal.Down() {
		return false, fmt.Sprintf("the workload state was last confirmed %v ago", age)
	}
	return true, ""
}

// Submit stores a job. It returns nil if the job is stored, by this call or an earlier one.
// Errors are those of spec.Check, ErrIDTaken, ErrNotStored and ErrUnknownFate.
func (s *Service) Submit(ctx context.Context, spec workload.JobSpec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if s.isStored(spec) {
		return nil
	}
	err := s.submit(ctx, spec)
	steps := make([]string, 0, len(spec.Steps))
	for _, step := range spec.Steps {
		steps = append(steps, step.String())
	}
	s.logger.Info("submit", "job", spec.ID, "queue", spec.Queue, "organisation", spec.Organisation, "priority", spec.Priority,
		"attempts", spec.Attempts, "times", spec.Times, "stretch", spec.Stretch, "target_ms", time.Duration(spec.Target).Milliseconds(), "steps", steps, "error", err)
	switch {
	case err == nil || errors.Is(err, workload.ErrJobExists):
		return nil
	case errors.Is(err, workload.ErrJobIDTaken):
		return fmt.Errorf("%w: %w", ErrIDTaken, err)
	}
	return s.fateOf(err, outage.Priority(spec.Priority))
}

// submit proposes the submission until it is stored, rejected or refused, or until its fate remains
// unknown. A call for a job that an earlier call may still have stored is not refused: the refusal would
// say that the job never runs.
func (s *Service) submit(ctx context.Context, spec workload.JobSpec) error {
	for {
		err := s.retry(ctx, func() (outage.Priority, error) {
			if s.isStored(spec) {
				return outage.Priority(spec.Priority), nil
			}
			return outage.Priority(spec.Priority), s.proposeSubmission(ctx, spec)
		})
		if !errors.Is(err, journal.ErrNotAppended) || !s.undecided.has(spec.ID) {
			return err
		}
		changed := s.journal.Changed()
		if s.isStored(spec) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("an earlier submission is undecided: %w", journal.ErrFateUnknown)
		case <-changed:
		}
	}
}

// fateOf returns the error for callers whose proposal was not accepted.
func (s *Service) fateOf(err error, p outage.Priority) error {
	if errors.Is(err, journal.ErrNotAppended) {
		return s.withDelay(fmt.Errorf("%w: %w", ErrNotStored, err), p)
	}
	return fmt.Errorf("%w: %w", ErrUnknownFate, err)
}

// isStored reports whether the state already has a job with the same ID, queue and organisation.
func (s *Service) isStored(spec workload.JobSpec) bool {
	return s.has(spec.ID, spec.Queue, spec.Organisation)
}

// has reports whether the state has the job.
func (s *Service) has(id workload.JobID, q bundle.QueueName, o bundle.OrganisationName) bool {
	found := false
	s.journal.View(func(time.Time) {
		j := s.state.Job(id)
		found = j != nil && j.Queue == q && j.Organisation == o
	})
	return found
}

// Cancel ends a job. It returns nil if the job has ended, by this call or earlier, and ErrNoJob if there is none. The
// cancellation is recorded in both cases: a submission of the job that any entry still has in progress starts nothing.
// Other errors are ErrNotReady, ErrNotStored and ErrUnknownFate.
func (s *Service) Cancel(ctx context.Context, g Grant, id workload.JobID) error {
	started := s.clock()
	err := s.retry(ctx, func() (outage.Priority, error) {
		if _, err := s.status(g, id); err != nil && !errors.Is(err, ErrNoJob) {
			return g.priority(), err
		}
		return g.priority(), s.proposeCancellation(ctx, g, id)
	})
	known := s.has(id, g.Queue.Name, g.Organisation)
	s.logger.Info("cancel", "job", id, "queue", g.Queue.Name, "organisation", g.Organisation, "known", known, "ms", (s.clock() - started).Milliseconds(), "error", err)
	switch {
	case err == nil && !known, errors.Is(err, workload.ErrUnknownJob):
		return fmt.Errorf("%w: %s", ErrNoJob, id)
	case err == nil || errors.Is(err, workload.ErrJobEnded):
		return nil
	case errors.Is(err, ErrNotReady):
		return err
	}
	return s.fateOf(err, g.priority())
}

// Status is the part of a job's state that its caller sees.
type Status struct {
	Outcome workload.Outcome
	// Started is true once a run of any task of the job was ordered.
	Started bool
}

// Status returns the state of a job. Errors are ErrNotReady and ErrNoJob; the outcome of a job
// that has ended is returned however old the state is.
func (s *Service) Status(g Grant, id workload.JobID) (Status, error) {
	status, err := s.status(g, id)
	return status, s.withDelay(err, g.priority())
}

func (s *Service) status(g Grant, id workload.JobID) (Status, error) {
	var status Status
	known := false
	s.journal.View(func(time.Time) {
		if j := s.state.Job(id); j != nil && j.Queue == g.Queue.Name && j.Organisation == g.Organisation {
			status, known = Status{Outcome: j.Outcome, Started: j.Begun}, true
		}
	})
	if known && status.Outcome != workload.OutcomeOpen {
		return status, nil
	}
	age, caughtUp := s.stateAge()
	switch {
	case !caughtUp:
		return status, fmt.Errorf("%w: the workload state is not known yet", ErrNotReady)
	case age > s.settings.MaxRefuseAge:
		return status, fmt.Errorf("%w: the workload state was last confirmed %v ago", ErrNotReady, age)
	case !known:
		return status, fmt.Errorf("%w: %s", ErrNoJob, id)
	}
	return status, nil
}

// Pending returns the number of the queue's open jobs that have not started.
func (s *Service) Pending(q bundle.QueueName) int {
	n := 0
	s.journal.View(func(time.Time) {
		for _, j := range s.state.OpenJobs() {
			if j.Queue == q && !j.Begun {
				n++
			}
		}
	})
	return n
}
