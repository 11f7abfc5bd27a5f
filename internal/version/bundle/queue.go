package bundle

import (
	"strings"

	"github.com/pkg/errors"
)

// QueueName names a queue of jobs.
type QueueName string

// Queue takes jobs for one service. Callers reach it by host and path.
type Queue struct {
	Name QueueName
	// Host is what callers name in their requests.
	Host string
	// PathPrefix begins and ends with a slash. The longest one that fits a path wins.
	PathPrefix string
	Service    ServiceName
	// Priority 0 comes first and may preempt others.
	Priority int
	// Attempts is how often a task of a job may fail; at least 1.
	Attempts int
	// Stretch and TargetLatency tell when a job is late: Stretch times its longest
	// chain of work, and TargetLatency more.
	Stretch       float64
	TargetLatency Duration
	// Public queues need no token.
	Public bool
	// Permits are the rules of a queue whose steps may run on some workers only.
	Permits PermitRules
}

// PermitRules are those of a queue for whose steps an adviser says on which workers
// they may run. The zero value means that they may run on all.
type PermitRules struct {
	// Decide and Each are how long an answer takes, in all and for each worker asked for.
	Decide Duration `json:",omitempty"`
	Each   Duration `json:",omitempty"`
	// Valid is how long a permit holds; 0 means that none is needed.
	Valid Duration `json:",omitempty"`
}

// Needed tells whether starts need a permit.
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
		return errors.New("Permits must not be negative")
	case q.Priority < 0 || q.Stretch < 0 || q.TargetLatency < 0:
		return errors.New("Priority, Stretch and TargetLatency must not be negative")
	}
	return nil
}

// Queue returns the queue of the host with the longest prefix of the path.
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
