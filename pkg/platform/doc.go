// Package platform declares the narrow interfaces through which the scheduler
// uses the platform: an append-only log service and workers that run tasks
// under leases. It holds no implementation. Everything declared here follows
// from what the platform gives; nothing may be added for the convenience of
// one implementation.
package platform
