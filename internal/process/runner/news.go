package runner

import (
	"context"

	"corianderpass/internal/connection/link"
)

// MethodNotify tells an agent that the stream has something for it. It is only a hint,
// so that agents need not read each record at once: one that is lost costs a pause.
const MethodNotify link.Method = "Runner.News"

// Notification is what is said and answered; the stream has the rest.
type Notification struct{}

// Table returns the methods that the agent answers.
func (r *Runner) Table() link.Handlers {
	return link.Handlers{
		MethodNotify: link.Handle(func(context.Context, Notification) (Notification, error) {
			r.journal.Hurry()
			return Notification{}, nil
		}),
	}
}
