package bundle

import (
	"strings"

	"github.com/pkg/errors"
)

// QueueName is the name of a queue of jobs, unique in a bundle.
type QueueName string

// Queue is a queue of jobs for one service. Callers select it by host and path.
type Queue struct {
	Name QueueName
	// Host is the host that callers name in their requests.
	Host string
	// PathPrefix begins and ends with a slash. Of the queues with a matching prefix the
	// one with the longest is selected.
	PathPrefix string
	Service    ServiceName
	// Priority is at least 0. Jobs of priority 0 go first and may preempt others.
	Priority int
	// Attempts is the number of failures of a task at which its job fails; at least 1.
	Attempts int
	// Stretch, a factor, and TargetLatency define when a job is late: after Stretch times
	// the duration of its longest chain of steps, plus TargetLatency.
	Stretch       float64
	TargetLatency Duration
	// Public is true if callers need no token.
	Public bool
	// Permits are the rules for the permits that steps of the queue need to start.
	Permits PermitRules
}

// PermitRules are the rules of a queue for permits, with which an adviser restricts the
// workers on which the steps of a job may run. The zero value means that no permits are
// needed and steps may run on all workers.
type PermitRules struct {
	// Decide is how long the adviser takes to answer a query, plus Each for every worker
	// in the query.
	Decide Duration `json:",omitempty"`
	Each   Duration `json:",omitempty"`
	// Valid is how long a permit is valid; 0 means that none is needed.
	Valid Duration `json:",omitempty"`
}

// Needed reports whether starting a step needs a permit.
func (r PermitRules) Needed() bool { return r.Valid > 0 }

func (q Queue) check() error {
	switch {
	case q.Name == "":
		return errors.New("Name is empty")
	case !strings.HasPrefix(q.PathPrefix, "/") || !strings.HasSuffix(q.PathPrefix, "/"):
		return errors.Errorf("PathPrefix %q must begin and end with a slash", q.PathPrefix)
	case q.Attempts < 1:
		return errors.New("Attempts must be at least 1")
	case q.Permits.Decide < 0 || q.Permits.Each < 0 || q.Permits.Valid < 0:
		return errors.New("Permits: Decide, Each and Valid must not be negative")
	case q.Priority < 0 || q.Stretch < 0 || q.TargetLatency < 0:
		return errors.New("Priority, Stretch and TargetLatency must not be negative")
	}
	return nil
}

// Queue returns the queue of the host with the longest PathPrefix of the path, and whether
// there is one.
func (b *Bundle) Queue(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range b.Queues {
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (!found || len(q.PathPrefix) > len(best.PathPrefix)) {
			best, found = q, true
		}
	}
	return best, found
}
