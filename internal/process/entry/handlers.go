package entry

import (
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/membership"
)

// Handlers returns the handlers of the methods that agents and other entries call.
func (e *Entry) Handlers() link.Handlers {
	return link.Handlers{
		membership.MethodHeartbeat: link.Handle(e.handleHeartbeat),
		membership.MethodExchange:  link.Handle(e.handleExchange),
		methodState:                link.Handle(e.handleState),
		methodAwait:                link.Handle(e.handleAwait),
		methodServe:                link.Handle(e.handleServe),
		methodJob:                  link.Handle(e.handleJob),
	}
}
