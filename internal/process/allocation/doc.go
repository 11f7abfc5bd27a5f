// Package allocation decides which waiting tasks and gangs start on which workers, and which
// runs are stopped: on draining or slow workers, and to free capacity for more important
// units. It owns the decision and History, the observations that decisions are based on; it
// does no I/O. It relies on the folded workload state, the bundle in force and the known
// permits, and never changes them. The scheduler of the leading entry calls Decide and
// proposes the result as records; the simulation calls Decide as well.
package allocation
