// Package workload is the replicated state of an installation: its jobs, the workers
// that run their tasks, and the runs that were ordered. Package journal applies the
// records of one stream in order, so that every process has the same state. State is
// deterministic: it does no I/O and takes the time from the stream.
//
// A record is a proposal. It takes effect only if it is valid in the state that precedes
// it in the stream, so that several processes can propose records independently. Entries
// propose the jobs of callers (package intake). The entry that leads also proposes
// placements and stops (package scheduler). Agents propose announcements, reports and the
// ends of runs (package runner).
package workload
