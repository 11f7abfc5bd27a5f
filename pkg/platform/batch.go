package platform

import "context"

// BatchLog is a Log that appends several records in one call.
type BatchLog interface {
	Log
	// AppendAll appends all payloads, each as a record of its own, or none. There is at least one. It
	// returns the records, with consecutive offsets. Errors are those of Append.
	AppendAll(ctx context.Context, stream Stream, payloads [][]byte) ([]LogRecord, error)
}

// Urgency orders the appends that wait for a log: lower values go first.
type Urgency int

// The urgencies.
const (
	// UrgencyDemanded is that of records for whose result a caller waits.
	UrgencyDemanded Urgency = iota
	// UrgencyDecided is that of decisions, on which runs wait.
	UrgencyDecided
	// UrgencyEnded is that of the ends of runs, on which decisions wait.
	UrgencyEnded
	// UrgencyReported is that of reports, of which only the newest counts.
	UrgencyReported
)

// AppendOptions are the properties of an append that matter while it waits. The zero value is that of an
// append for which a caller waits.
type AppendOptions struct {
	Urgency Urgency
	// Key names the writer: while an append waits, a newer one with the same key replaces it, and its
	// fate is reported as unknown. Empty if it replaces none.
	Key string
}

// OrderedLog is a Log that sends waiting appends in the order of their urgency.
type OrderedLog interface {
	Log
	// AppendWith is Append with options.
	AppendWith(ctx context.Context, stream Stream, payload []byte, o AppendOptions) (Offset, error)
}

// AppendWith appends with the options if the log is an OrderedLog, otherwise without.
func AppendWith(ctx context.Context, log Log, stream Stream, payload []byte, o AppendOptions) (Offset, error) {
	if ordered, ok := log.(OrderedLog); ok {
		return ordered.AppendWith(ctx, stream, payload, o)
	}
	return log.Append(ctx, stream, payload)
}
