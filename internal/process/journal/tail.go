package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

const (
	// readLimit is the most records asked for in one read.
	readLimit = 512
	// retryPause is the pause after a failed call to the log.
	retryPause = 100 * time.Millisecond
)

// tail reads the stream for as long as the context lasts.
func (j *Journal[R]) tail(ctx context.Context) error {
	next := platform.Offset(0)
	for ctx.Err() == nil {
		next = j.tailOnce(ctx, next)
	}
	return nil
}

// tailOnce reads once and returns the offset to read from next, 0 if that must
// be found anew.
func (j *Journal[R]) tailOnce(ctx context.Context, next platform.Offset) platform.Offset {
	if next == 0 {
		found, err := j.begin(ctx)
		if err != nil {
			pause(ctx, retryPause)
			return 0
		}
		next = found
	}
	// A peer's state may have come in between; what is read must follow on it.
	if resume := j.resumeFrom(); resume > 0 {
		next = resume
	}
	sent := j.options.Clock()
	records, err := j.log.Read(ctx, j.stream, next, readLimit, j.options.ReadWait)
	if errors.Is(err, platform.ErrTrimmed) {
		j.forget()
		return 0
	}
	if err != nil {
		pause(ctx, retryPause)
		return next
	}
	j.take(records, sent)
	if len(records) > 0 {
		next = records[len(records)-1].Offset + 1
		j.gatherTime(ctx)
	}
	return next
}

// gatherTime pauses between two reads, unless somebody is in a hurry.
func (j *Journal[R]) gatherTime(ctx context.Context) {
	d := j.options.ReadPause()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-j.hurry:
	}
}

// begin finds where to read from. A stream that was never trimmed is folded
// from its first record; from a trimmed one a snapshot is awaited.
func (j *Journal[R]) begin(ctx context.Context) (platform.Offset, error) {
	if log, keyed := j.log.(platform.KeyedLog); keyed {
		return j.load(ctx, log)
	}
	span, err := j.log.Span(ctx, j.stream)
	if err != nil {
		return 0, errors.WithMessage(err, "journal: find start")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started && span.First <= 1 {
		j.started = true
	}
	if j.started && j.folder.offset+1 >= span.First {
		return j.folder.offset + 1, nil
	}
	j.started = false
	return span.First, nil
}

func (j *Journal[R]) resumeFrom() platform.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started {
		return 0
	}
	return j.folder.offset + 1
}

// forget drops what was gathered on the way to a snapshot.
func (j *Journal[R]) forget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil
	j.assembly = assembly{}
}

// take folds the records that a read brought. Fewer than were asked for mean that
// the end of the stream was reached, no earlier than when the read was sent.
func (j *Journal[R]) take(records []platform.LogRecord, sent time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range records {
		j.takeOne(r)
	}
	if len(records) < readLimit && j.started {
		j.caughtUp = true
		j.fresh = sent
	}
	j.announce()
}

func (j *Journal[R]) takeOne(r platform.LogRecord) {
	j.keep(r)
	e, err := decode[R](r.Payload)
	if err != nil {
		// A foreign payload is void on every replica.
		if j.started && r.Offset == j.folder.offset+1 {
			j.folder.offset = r.Offset
		}
		return
	}
	if e.Chunk != nil {
		j.takeChunk(*e.Chunk)
	}
	if j.started && r.Offset > j.folder.offset+1 {
		// Read before a peer's older state came in: folding it would leave a gap.
		return
	}
	if !j.started {
		j.pending = append(j.pending, r)
		return
	}
	j.foldOne(r.Offset, e)
}

func (j *Journal[R]) foldOne(offset platform.Offset, e envelope[R]) {
	if offset <= j.folder.offset {
		return
	}
	j.lastFolded = time.Now()
	j.quiet = drawQuiet()
	result, fresh := j.folder.fold(offset, e)
	if !fresh || result.writer != j.writer {
		return
	}
	group := j.waiting[result.sequence]
	delete(j.waiting, result.sequence)
	for i, p := range group {
		p.done <- voidOrNil(result.verdicts[i])
	}
}

func voidOrNil(reason error) error {
	if reason == nil {
		return nil
	}
	return &RejectedError{Reason: reason}
}

// takeChunk notes a snapshot that passes by and starts from it if no state is
// known yet.
func (j *Journal[R]) takeChunk(c chunk) {
	whole, complete := j.assembly.add(c)
	if !complete {
		return
	}
	if c.UpTo > j.lastSnapshot {
		j.lastSnapshot = c.UpTo
		j.lastSnapshotSeen = time.Now()
	}
	if j.started {
		return
	}
	if len(j.pending) > 0 && c.UpTo+1 < j.pending[0].Offset {
		// Records between the snapshot and the first kept one are lost.
		return
	}
	data, err := unpack(whole)
	if err != nil {
		return
	}
	if err := j.folder.restore(data); err != nil {
		return
	}
	j.started = true
	for _, r := range j.pending {
		if e, err := decode[R](r.Payload); err == nil {
			j.foldOne(r.Offset, e)
		}
	}
	j.pending = nil
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
