package entry

import (
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/membership"
)

// Handlers returns the methods that the entry answers.
func (e *Entry) Handlers() link.Handlers {
	return link.Handlers{
		membership.MethodHeartbeat: link.Handle(e.hearHeartbeat),
		membership.MethodExchange:  link.Handle(e.hearDigest),
		methodState:                link.Handle(e.giveState),
		methodAwait:                link.Handle(e.giveAnswer),
		methodServe:                link.Handle(e.serveForwarded),
		methodJob:                  link.Handle(e.answerJob),
	}
}
