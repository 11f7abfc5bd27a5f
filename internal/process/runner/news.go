package runner

import (
	"context"

	"corianderpass/internal/connection/link"
)

// MethodNews tells an agent that the stream has something for it. It is only a hint,
// so that agents need not read each record at once: one that is lost costs a pause.
const MethodNews link.Method = "Runner.News"

// News is what is said and answered; the stream has the rest.
type News struct{}

// Table returns the methods that the agent answers.
func (r *Runner) Table() link.Handlers {
	return link.Handlers{
		MethodNews: link.Handle(func(context.Context, News) (News, error) {
			r.journal.Hurry()
			return News{}, nil
		}),
	}
}
