package entry

import (
	"corianderpass/internal/connection/caller"
	"corianderpass/internal/version/bundle"
)

var _ caller.Service = (*Entry)(nil)

// InForce returns the bundle in force, nil before the first.
func (e *Entry) InForce() *bundle.InForce { return e.register.Current() }

// RootOperators returns the operators that may read while no bundle is in force.
func (e *Entry) RootOperators() []bundle.Operator { return e.settings.RootOperators }

// Leaving tells whether callers should turn to another entry.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
