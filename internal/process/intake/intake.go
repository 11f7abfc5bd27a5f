// Package intake takes jobs from callers into the workload and tells them what
// became of them. It says that a job was refused only if it can never run.
package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

var (
	// ErrNotReady tells that this process knows too little to answer; nothing ran.
	ErrNotReady = errors.New("intake: not ready")
	// ErrNotStored tells that the job was not stored and never will be.
	ErrNotStored = errors.New("intake: not stored")
	// ErrUnknownFate tells that the call may have taken effect or may yet do so.
	ErrUnknownFate = errors.New("intake: fate unknown")
	// ErrUnauthorised tells that no organisation has the token.
	ErrUnauthorised = errors.New("intake: unknown token")
	// ErrNoQueue tells that no queue has the host and path.
	ErrNoQueue = errors.New("intake: no such queue")
	// ErrNoJob tells that the queue has no such job.
	ErrNoJob = errors.New("intake: no such job")
	// ErrIDTaken tells that the ID belongs to another queue's or organisation's job.
	ErrIDTaken = errors.New("intake: ID is taken")
)

// Settings bound how old knowledge may be.
type Settings struct {
	// MaxAcceptAge is the greatest age of the bundle with which a token is accepted.
	MaxAcceptAge time.Duration
	// MaxRefuseAge is the greatest age of bundle and state with which a call is answered
	// that something is not there.
	MaxRefuseAge time.Duration
}

// BundleFreshness tells up to which moment of the clock a bundle is known to be the newest;
// false before any is known.
type BundleFreshness interface {
	ConfirmedAt() (time.Duration, bool)
}

// Service is the intake of one entry. It is safe for concurrent use. Use New.
type Service struct {
	settings Settings
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	bundles  *bundle.Register
	proof    BundleFreshness
	clock    steady.Clock
	logger   hclog.Logger
	metrics  *metrics.Set
}

// New returns an intake.
func New(s Settings, j *journal.Journal[workload.Record], state *workload.State, bundles *bundle.Register,
	proof BundleFreshness, clock steady.Clock, logger hclog.Logger, set *metrics.Set,
) *Service {
	return &Service{
		settings: s, journal: j, state: state, bundles: bundles, proof: proof, clock: clock,
		logger: logger.Named("intake"), metrics: set,
	}
}

// Grant is a caller's right to use a queue.
type Grant struct {
	Queue        bundle.Queue
	Organisation bundle.OrganisationName
	Version      bundle.Version
}

// Authorise finds the queue of a call and the organisation of its token.
func (s *Service) Authorise(host, path, token string) (Grant, error) {
	current := s.bundles.Current()
	proven, known := s.proof.ConfirmedAt()
	if current == nil || !known {
		return Grant{}, fmt.Errorf("%w: no bundle is in force", ErrNotReady)
	}
	age := s.clock() - proven
	queue, found := current.Bundle.Queue(host, path)
	if !found {
		return Grant{}, s.refuseIfFresh(age, fmt.Errorf("%w: %s%s in version %d", ErrNoQueue, host, path, current.Version))
	}
	g := Grant{Queue: queue, Version: current.Version}
	if queue.Public {
		return g, nil
	}
	if age > s.settings.MaxAcceptAge {
		return g, fmt.Errorf("%w: the bundle was last confirmed %v ago", ErrNotReady, age)
	}
	o, found := current.Bundle.OrganisationOf(token)
	if !found {
		return g, s.refuseIfFresh(age, ErrUnauthorised)
	}
	g.Organisation = o.Name
	return g, nil
}

// refuseIfFresh returns the refusal if the knowledge behind it is young enough.
func (s *Service) refuseIfFresh(age time.Duration, refusal error) error {
	if age > s.settings.MaxRefuseAge {
		return fmt.Errorf("%w: knowledge is %v old: %w", ErrNotReady, age, refusal)
	}
	return refusal
}

// stateAge returns how old the state may be.
func (s *Service) stateAge() (time.Duration, bool) {
	fresh, known := s.journal.Fresh()
	return s.clock() - fresh, known
}

// Ready tells whether callers are served well here, and the reason if not.
func (s *Service) Ready() (bool, string) {
	proven, known := s.proof.ConfirmedAt()
	if !known || s.bundles.Current() == nil {
		return false, "no bundle is known"
	}
	if age := s.clock() - proven; age > s.settings.MaxRefuseAge {
		return false, fmt.Sprintf("the bundle was last confirmed %v ago", age)
	}
	age, known := s.stateAge()
	if !known {
		return false, "the workload is not known"
	}
	if age > s.settings.MaxRefuseAge || s.journal.Down() {
		return false, fmt.Sprintf("the workload was last confirmed %v ago", age)
	}
	return true, ""
}

// Submit stores a job. It returns nil if the job is stored, whether by this call
// or an earlier one.
func (s *Service) Submit(ctx context.Context, spec workload.JobSpec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if s.has(spec) {
		return nil
	}
	err := s.propose(ctx, workload.Record{Submit: &workload.Submit{Spec: spec}})
	steps := make([]string, 0, len(spec.Steps))
	for _, step := range spec.Steps {
		steps = append(steps, step.String())
	}
	s.logger.Info("submit", "job", spec.ID, "queue", spec.Queue, "organisation", spec.Organisation, "priority", spec.Priority,
		"attempts", spec.Attempts, "times", spec.Times, "steps", steps, "error", err)
	switch {
	case err == nil || errors.Is(err, workload.ErrJobExists):
		return nil
	case errors.Is(err, workload.ErrJobIDTaken):
		return fmt.Errorf("%w: %w", ErrIDTaken, err)
	case errors.Is(err, journal.ErrNotAppended):
		return fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownFate, err)
}

const (
	// downPatience is how long a call waits for a log that is down: most outages
	// of one process's way are over or bypassed by then.
	downPatience = time.Second
	// downPause is the time between two tries.
	downPause = 100 * time.Millisecond
)

// propose proposes a record, and again for a while if the log surely did not take it.
func (s *Service) propose(ctx context.Context, r workload.Record) error {
	begun := s.clock()
	for {
		err := s.journal.Propose(ctx, r)
		if !errors.Is(err, journal.ErrNotAppended) || s.clock()-begun > downPatience {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(downPause):
		}
	}
}

// has tells whether the same job is stored already.
func (s *Service) has(spec workload.JobSpec) bool {
	has := false
	s.journal.Look(func(time.Time) {
		j := s.state.Job(spec.ID)
		has = j != nil && j.Queue == spec.Queue && j.Organisation == spec.Organisation
	})
	return has
}

// Cancel ends a job. It returns nil if the job has ended, whether by this call or not.
func (s *Service) Cancel(ctx context.Context, g Grant, id workload.JobID) error {
	if _, err := s.Status(g, id); err != nil {
		return err
	}
	err := s.propose(ctx, workload.Record{Cancel: &workload.Cancel{Job: id}})
	switch {
	case err == nil || errors.Is(err, workload.ErrJobEnded):
		return nil
	case errors.Is(err, workload.ErrUnknownJob):
		return fmt.Errorf("%w: %s", ErrNoJob, id)
	case errors.Is(err, journal.ErrNotAppended):
		return fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownFate, err)
}

// Status is what a caller sees of a job.
type Status struct {
	Outcome workload.Outcome
	// Started is true once a run of any task was ordered.
	Started bool
}

// Status returns the state of a job.
func (s *Service) Status(g Grant, id workload.JobID) (Status, error) {
	var found Status
	known := false
	s.journal.Look(func(time.Time) {
		if j := s.state.Job(id); j != nil && j.Queue == g.Queue.Name && j.Organisation == g.Organisation {
			found, known = Status{Outcome: j.Outcome, Started: j.Begun}, true
		}
	})
	if known && found.Outcome != workload.OutcomeOpen {
		return found, nil
	}
	age, read := s.stateAge()
	switch {
	case !read:
		return found, fmt.Errorf("%w: the workload is not known yet", ErrNotReady)
	case age > s.settings.MaxRefuseAge:
		return found, fmt.Errorf("%w: the workload is %v old", ErrNotReady, age)
	case !known:
		return found, fmt.Errorf("%w: %s", ErrNoJob, id)
	}
	return found, nil
}

// Pending returns the number of the queue's jobs of which nothing was started.
func (s *Service) Pending(q bundle.QueueName) int {
	n := 0
	s.journal.Look(func(time.Time) {
		for _, j := range s.state.OpenJobs() {
			if j.Queue == q && !j.Begun {
				n++
			}
		}
	})
	return n
}
