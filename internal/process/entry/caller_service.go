package entry

import (
	"corianderpass/internal/connection/caller"
	"corianderpass/internal/version/bundle"
)

var _ caller.Service = (*Entry)(nil)

// InForce returns the bundle in force, or nil before the first one.
func (e *Entry) InForce() *bundle.InForce { return e.register.Current() }

// RootOperators returns the operators of the settings. They have access while no bundle is
// in force.
func (e *Entry) RootOperators() []bundle.Operator { return e.settings.RootOperators }

// Leaving reports whether the entry is leaving, so that callers should use another one.
func (e *Entry) Leaving() bool { return e.leaving.Load() }
