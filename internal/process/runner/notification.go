package runner

import (
	"context"

	"corianderpass/internal/connection/link"
)

// MethodNotify is the method with which the leader notifies an agent that the log has new
// records for it. An agent also reads the log at intervals, so that a lost notification
// only delays the next read.
const MethodNotify link.Method = "Runner.News"

// Notification is the request and the reply of MethodNotify. It is empty: the agent
// reads the records from the log.
type Notification struct{}

// Handlers returns the handlers of the methods that the runner serves.
func (r *Runner) Handlers() link.Handlers {
	return link.Handlers{
		MethodNotify: link.Handle(func(context.Context, Notification) (Notification, error) {
			r.journal.ReadNow()
			return Notification{}, nil
		}),
	}
}
