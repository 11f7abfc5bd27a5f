// Package platform declares the interfaces through which the scheduler uses the platform: an
// append-only log service (Log, KeyedLog) and workers that run tasks under leases (Workers). It
// contains no implementation and relies on no other package of the scheduler. The processes call
// these interfaces; adapters and simulated platforms implement them.
//
// Everything declared here follows from what the platform provides. Nothing may be added for the
// convenience of one implementation.
package platform
