package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/pkg/platform"
)

// LogName names a log that peers serve. It is sent with each call.
type LogName string

// Log is a platform.Log that calls Direct, or peers while Path is broken.
type Log struct {
	Direct platform.Log
	// Name is the name under which peers serve the same log.
	Name LogName
	Path *Path
}

// KeyedLog is a platform.KeyedLog that calls Keyed, or peers while the path is
// broken. Create it with NewKeyedLog.
type KeyedLog struct {
	Log
	// Keyed is the same log as Direct.
	Keyed platform.KeyedLog
}

// NewKeyedLog returns a keyed log that calls direct, or peers while path is broken.
func NewKeyedLog(direct platform.KeyedLog, name LogName, path *Path) *KeyedLog {
	return &KeyedLog{Log: Log{Direct: direct, Name: name, Path: path}, Keyed: direct}
}

var (
	_ platform.Log      = (*Log)(nil)
	_ platform.KeyedLog = (*KeyedLog)(nil)
)

type appendQuery struct {
	Which    LogName
	Stream   platform.Stream
	Payloads [][]byte
	// Replace asks for platform.KeyedLog.Replace, which appends the payloads and
	// removes the keys in one step. Otherwise there is exactly one payload.
	Replace bool           `json:",omitempty"`
	Remove  []platform.Key `json:",omitempty"`
}

type appendAnswer struct {
	Offset  platform.Offset
	Problem problem `json:",omitempty"`
}

type readQuery struct {
	Which  LogName
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	Wait   time.Duration
	// Newest asks for the newest record of each key, Span for the span of the stream;
	// the other fields but Which and Stream are not used then.
	Newest bool `json:",omitempty"`
	Span   bool `json:",omitempty"`
}

type readAnswer struct {
	Records []platform.LogRecord
	Next    platform.Offset
	Span    platform.Span
	Problem problem `json:",omitempty"`
}

// callDirect makes the call on the direct path unless that is broken. It reports
// whether to call peers instead: if the path is broken, or if the call failed and
// certainly had no effect. A call that may have taken effect is not repeated at a peer;
// its error is returned.
func callDirect(p *Path, call func() error) (bool, error) {
	if p.Broken() {
		return true, nil
	}
	err := call()
	p.recordResult(err)
	noEffect := errors.Is(err, platform.ErrLogDown) || errors.Is(err, platform.ErrThrottled)
	return noEffect, err
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	var offset platform.Offset
	usePeers, err := callDirect(l.Path, func() (err error) {
		offset, err = l.Direct.Append(ctx, stream, payload)
		return err
	})
	if !usePeers {
		return offset, err
	}
	answer, err := callPeers[appendAnswer](ctx, l.Path, methodAppend, appendQuery{Which: l.Name, Stream: stream, Payloads: [][]byte{payload}}, 0)
	if err != nil {
		return 0, err
	}
	return answer.Offset, answer.Problem.err()
}

// Replace implements platform.KeyedLog.
func (l *KeyedLog) Replace(ctx context.Context, stream platform.Stream, payloads [][]byte, remove []platform.Key) error {
	usePeers, err := callDirect(l.Path, func() error { return l.Keyed.Replace(ctx, stream, payloads, remove) })
	if !usePeers {
		return err
	}
	answer, err := callPeers[appendAnswer](ctx, l.Path, methodAppend, appendQuery{Which: l.Name, Stream: stream, Payloads: payloads, Replace: true, Remove: remove}, 0)
	if err != nil {
		return err
	}
	return answer.Problem.err()
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	var records []platform.LogRecord
	usePeers, err := callDirect(l.Path, func() (err error) {
		records, err = l.Direct.Read(ctx, stream, from, limit, wait)
		return err
	})
	if !usePeers {
		return records, err
	}
	answer, err := l.readFromPeers(ctx, readQuery{Stream: stream, From: from, Limit: limit, Wait: wait})
	return answer.Records, err
}

// Span implements platform.Log.
func (l *Log) Span(ctx context.Context, stream platform.Stream) (platform.Span, error) {
	var span platform.Span
	usePeers, err := callDirect(l.Path, func() (err error) {
		span, err = l.Direct.Span(ctx, stream)
		return err
	})
	if !usePeers {
		return span, err
	}
	answer, err := l.readFromPeers(ctx, readQuery{Stream: stream, Span: true})
	return answer.Span, err
}

// Newest implements platform.KeyedLog.
func (l *KeyedLog) Newest(ctx context.Context, stream platform.Stream) ([]platform.LogRecord, platform.Offset, error) {
	var records []platform.LogRecord
	var next platform.Offset
	usePeers, err := callDirect(l.Path, func() (err error) {
		records, next, err = l.Keyed.Newest(ctx, stream)
		return err
	})
	if !usePeers {
		return records, next, err
	}
	answer, err := l.readFromPeers(ctx, readQuery{Stream: stream, Newest: true})
	return answer.Records, answer.Next, err
}

func (l *Log) readFromPeers(ctx context.Context, q readQuery) (readAnswer, error) {
	q.Which = l.Name
	answer, err := callPeers[readAnswer](ctx, l.Path, methodRead, q, q.Wait)
	if err != nil {
		return answer, err
	}
	return answer, answer.Problem.err()
}

// Handlers returns the handlers with which a process serves the calls of its peers
// over its own direct path, for the logs by name. While that path is broken, they
// answer at once that the log is down.
func Handlers(logs map[LogName]platform.Log, path *Path) link.Handlers {
	return link.Handlers{
		methodAppend: link.Handle(func(ctx context.Context, q appendQuery) (appendAnswer, error) {
			if path.Broken() {
				return appendAnswer{Problem: problemLogDown}, nil
			}
			return serveAppend(ctx, logs[q.Which], q), nil
		}),
		methodRead: link.Handle(func(ctx context.Context, q readQuery) (readAnswer, error) {
			if path.Broken() {
				return readAnswer{Problem: problemLogDown}, nil
			}
			return serveRead(ctx, logs[q.Which], q), nil
		}),
	}
}

func serveAppend(ctx context.Context, log platform.Log, q appendQuery) appendAnswer {
	switch {
	case log == nil || !q.Replace && len(q.Payloads) != 1:
		return appendAnswer{Problem: problemOther}
	case q.Replace:
		keyed, ok := log.(platform.KeyedLog)
		if !ok {
			return appendAnswer{Problem: problemOther}
		}
		return appendAnswer{Problem: problemOf(keyed.Replace(ctx, q.Stream, q.Payloads, q.Remove))}
	}
	offset, err := log.Append(ctx, q.Stream, q.Payloads[0])
	return appendAnswer{Offset: offset, Problem: problemOf(err)}
}

func serveRead(ctx context.Context, log platform.Log, q readQuery) readAnswer {
	var a readAnswer
	var err error
	switch {
	case log == nil:
		return readAnswer{Problem: problemOther}
	case q.Newest:
		keyed, ok := log.(platform.KeyedLog)
		if !ok {
			return readAnswer{Problem: problemOther}
		}
		a.Records, a.Next, err = keyed.Newest(ctx, q.Stream)
	case q.Span:
		a.Span, err = log.Span(ctx, q.Stream)
	default:
		a.Records, err = log.Read(ctx, q.Stream, q.From, q.Limit, q.Wait)
	}
	a.Problem = problemOf(err)
	return a
}
