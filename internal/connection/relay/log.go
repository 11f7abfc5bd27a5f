package relay

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/backlog"
	"corianderpass/pkg/platform"
)

// LogName names a log that peers serve. It is sent with each call.
type LogName string

// Log is a platform.OrderedLog that calls the direct path, or peers while Path is broken. While the log is slow,
// it passes appends to the process that collects them. Create it with NewLog. It is safe for concurrent use.
type Log struct {
	direct platform.BatchLog
	// name is the name under which peers serve the same log.
	name LogName
	path *Path
	// maxCallBytes is the largest size of the payloads in one append; 0 means no limit.
	maxCallBytes int

	mu sync.Mutex
	// collectors, observers and tails have an element for each stream with appends, with an observer, and
	// with an observer and records.
	collectors map[platform.Stream]*collector
	observers  map[platform.Stream]func([]platform.LogRecord)
	tails      map[platform.Stream]*tail
}

// NewLog returns a log that calls direct, or peers while path is broken. It appends at most maxCallBytes in one
// call; 0 means no limit.
func NewLog(direct platform.BatchLog, name LogName, path *Path, maxCallBytes int) *Log {
	return &Log{
		direct: direct, name: name, path: path, maxCallBytes: maxCallBytes,
		collectors: map[platform.Stream]*collector{}, observers: map[platform.Stream]func([]platform.LogRecord){}, tails: map[platform.Stream]*tail{},
	}
}

// KeyedLog is a platform.KeyedLog that calls the direct path, or peers while the path is
// broken. Create it with NewKeyedLog.
type KeyedLog struct {
	*Log
	// keyed is the same log as direct.
	keyed platform.KeyedLog
}

// BatchKeyedLog is a platform.KeyedLog that appends several records in one call.
type BatchKeyedLog interface {
	platform.KeyedLog
	platform.BatchLog
}

// NewKeyedLog returns a keyed log with the arguments of NewLog.
func NewKeyedLog(direct BatchKeyedLog, name LogName, path *Path, maxCallBytes int) *KeyedLog {
	return &KeyedLog{Log: NewLog(direct, name, path, maxCallBytes), keyed: direct}
}

var (
	_ platform.OrderedLog = (*Log)(nil)
	_ platform.KeyedLog   = (*KeyedLog)(nil)
)

// collector returns the collector of the stream.
func (l *Log) collector(stream platform.Stream) *collector {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.collectors[stream]
	if c == nil {
		c = &collector{log: l.direct, stream: stream, path: l.path, observe: l.observerOf(stream), backlog: backlog.Backlog[*pendingAppend]{MaxBytes: l.maxCallBytes}}
		l.collectors[stream] = c
	}
	return c
}

type appendQuery struct {
	Which    LogName
	Stream   platform.Stream
	Payloads [][]byte
	// Replace asks for platform.KeyedLog.Replace, which appends the payloads and
	// removes the keys in one step. Otherwise there is exactly one payload.
	Replace bool           `json:",omitempty"`
	Remove  []platform.Key `json:",omitempty"`
	// Options are those of a single append.
	Options platform.AppendOptions
}

type appendAnswer struct {
	Offset  platform.Offset
	Problem problem `json:",omitempty"`
	// Latency is how long an append takes on the direct path of the peer.
	Latency time.Duration `json:",omitempty"`
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
	// Tail asks for the records from the offset From on that the peer has in memory; Limit and Wait are not
	// used then.
	Tail bool `json:",omitempty"`
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
	return hasNoEffect(err), err
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	return l.AppendWith(ctx, stream, payload, platform.AppendOptions{})
}

// AppendWith implements platform.OrderedLog.
func (l *Log) AppendWith(ctx context.Context, stream platform.Stream, payload []byte, o platform.AppendOptions) (platform.Offset, error) {
	query := appendQuery{Which: l.name, Stream: stream, Payloads: [][]byte{payload}, Options: o}
	if a := l.path.delegate(); a != "" {
		offset, err := l.appendAt(ctx, a, query)
		if !hasNoEffect(err) || errors.Is(err, errRefused) {
			return offset, err
		}
	}
	if !l.path.Broken() {
		offset, err := l.collector(stream).append(ctx, payload, o)
		if !hasNoEffect(err) || errors.Is(err, errRefused) || ctx.Err() != nil {
			return offset, err
		}
	}
	answer, err := callPeers[appendAnswer](ctx, l.path, methodAppend, query, 0)
	if err != nil {
		return 0, err
	}
	return answer.Offset, answer.Problem.err()
}

// appendAt appends at the process that collects appends. While that one cannot append, this process does not
// pass appends to it for peerRetryDelay.
func (l *Log) appendAt(ctx context.Context, a link.Address, query appendQuery) (platform.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout+timeoutFactor*l.path.appendLatency())
	defer cancel()
	answer, err := link.Call[appendAnswer](callCtx, l.path.pool, a, methodAppend, query)
	if err == nil {
		l.path.setLatency(answer.Latency)
		if answer.Problem == problemLogDown {
			l.path.stopDelegating(a, answer.Problem.err())
		}
		return answer.Offset, answer.Problem.err()
	}
	if ctx.Err() == nil {
		l.path.stopDelegating(a, err)
	}
	fate := platform.ErrAnswerLost
	if errors.Is(err, link.ErrNotSent) {
		fate = platform.ErrLogDown
	}
	return 0, fmt.Errorf("relay: call %s at the collecting process: %w: %w", methodAppend, fate, err)
}

// Replace implements platform.KeyedLog.
func (l *KeyedLog) Replace(ctx context.Context, stream platform.Stream, payloads [][]byte, remove []platform.Key) error {
	usePeers, err := callDirect(l.path, func() error { return l.keyed.Replace(ctx, stream, payloads, remove) })
	if !usePeers {
		return err
	}
	answer, err := callPeers[appendAnswer](ctx, l.path, methodAppend, appendQuery{Which: l.name, Stream: stream, Payloads: payloads, Replace: true, Remove: remove}, 0)
	if err != nil {
		return err
	}
	return answer.Problem.err()
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	var records []platform.LogRecord
	usePeers, err := callDirect(l.path, func() (err error) {
		records, err = l.direct.Read(ctx, stream, from, limit, wait)
		return err
	})
	if usePeers {
		var answer readAnswer
		answer, err = l.readFromPeers(ctx, readQuery{Stream: stream, From: from, Limit: limit, Wait: wait})
		records = answer.Records
	}
	if err == nil {
		l.keep(stream, records)
	}
	return records, err
}

// Span implements platform.Log.
func (l *Log) Span(ctx context.Context, stream platform.Stream) (platform.Span, error) {
	var span platform.Span
	usePeers, err := callDirect(l.path, func() (err error) {
		span, err = l.direct.Span(ctx, stream)
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
	usePeers, err := callDirect(l.path, func() (err error) {
		records, next, err = l.keyed.Newest(ctx, stream)
		return err
	})
	if !usePeers {
		return records, next, err
	}
	answer, err := l.readFromPeers(ctx, readQuery{Stream: stream, Newest: true})
	return answer.Records, answer.Next, err
}

func (l *Log) readFromPeers(ctx context.Context, q readQuery) (readAnswer, error) {
	q.Which = l.name
	answer, err := callPeers[readAnswer](ctx, l.path, methodRead, q, q.Wait)
	if err != nil {
		return answer, err
	}
	return answer, answer.Problem.err()
}

// Handlers returns the handlers with which a process serves the calls of its peers on its
// own direct path, for the logs. While that path is broken, they answer at once that the
// log is down.
func Handlers(path *Path, logs ...*Log) link.Handlers {
	byName := map[LogName]*Log{}
	for _, l := range logs {
		byName[l.name] = l
	}
	handlers := SlowHandlers(path)
	maps.Copy(handlers, link.Handlers{
		methodAppend: link.Handle(func(ctx context.Context, q appendQuery) (appendAnswer, error) {
			if path.Broken() {
				return appendAnswer{Problem: problemLogDown}, nil
			}
			return serveAppend(ctx, byName[q.Which], q), nil
		}),
		methodRead: link.Handle(func(ctx context.Context, q readQuery) (readAnswer, error) {
			if path.Broken() {
				return readAnswer{Problem: problemLogDown}, nil
			}
			l := byName[q.Which]
			if l != nil && q.Tail {
				return readAnswer{Records: l.tailFrom(q.Stream, q.From)}, nil
			}
			if l != nil {
				return serveRead(ctx, l.direct, q), nil
			}
			return readAnswer{Problem: problemOther}, nil
		}),
	})
	return handlers
}

func serveAppend(ctx context.Context, l *Log, q appendQuery) appendAnswer {
	switch {
	case l == nil || !q.Replace && len(q.Payloads) != 1:
		return appendAnswer{Problem: problemOther}
	case q.Replace:
		keyed, ok := l.direct.(platform.KeyedLog)
		if !ok {
			return appendAnswer{Problem: problemOther}
		}
		return appendAnswer{Problem: problemOf(keyed.Replace(ctx, q.Stream, q.Payloads, q.Remove))}
	}
	ctx, cancel := context.WithTimeout(ctx, maxServeTime)
	defer cancel()
	offset, err := l.collector(q.Stream).append(ctx, q.Payloads[0], q.Options)
	return appendAnswer{Offset: offset, Problem: problemOf(err), Latency: l.path.appendLatency()}
}

func serveRead(ctx context.Context, log platform.Log, q readQuery) readAnswer {
	var a readAnswer
	var err error
	switch {
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
