package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 512
	// retryPause is the pause after a failed call to the log.
	retryPause = 100 * time.Millisecond
)

// tailLoop reads and folds the stream until the context ends.
func (j *Journal[R]) tailLoop(ctx context.Context) error {
	next := platform.Offset(0)
	for ctx.Err() == nil {
		next = j.readOnce(ctx, next)
	}
	return nil
}

// readOnce reads from the offset next and folds the records. If next is 0, findStart
// determines the offset. The result is the offset for the next call, or 0 if findStart
// must determine it again.
func (j *Journal[R]) readOnce(ctx context.Context, next platform.Offset) platform.Offset {
	if next == 0 {
		found, err := j.findStart(ctx)
		if err != nil {
			sleep(ctx, retryPause)
			return 0
		}
		next = found
	}
	// Seed may have replaced the state since the last read, so the next record to read is
	// the one that follows the current state.
	if resume := j.nextOffset(); resume > 0 {
		next = resume
	}
	sentAt := j.options.Clock()
	records, err := j.log.Read(ctx, j.stream, next, readLimit, j.options.ReadWait)
	if errors.Is(err, platform.ErrTrimmed) {
		j.dropPending()
		return 0
	}
	if err != nil {
		j.readsFail = true
		sleep(ctx, retryPause)
		return next
	}
	j.foldRecords(records, sentAt)
	j.probeAfterFailedReads()
	if len(records) > 0 {
		next = records[len(records)-1].Offset + 1
		j.pauseReads(ctx)
	}
	return next
}

// probeAfterFailedReads makes writeLoop probe the log at the first successful read after a failed
// one, rather than at its next check. While reads succeed and appends fail, the checks are enough.
func (j *Journal[R]) probeAfterFailedReads() {
	if !j.readsFail {
		return
	}
	j.readsFail = false
	signal(j.probeNow)
}

// pauseReads waits for Options.ReadPause unless ReadNow ends the wait.
func (j *Journal[R]) pauseReads(ctx context.Context) {
	d := j.options.ReadPause()
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-j.readNow:
	}
}

// findStart returns the offset to read from. A stream that was never trimmed is
// folded from its first record. If the log has trimmed records that the state lacks,
// the stream is read from its first remaining record until a snapshot is found.
func (j *Journal[R]) findStart(ctx context.Context) (platform.Offset, error) {
	if log, keyed := j.log.(platform.KeyedLog); keyed {
		return j.loadNewest(ctx, log)
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
	if j.started && j.state.offset+1 >= span.First {
		return j.state.offset + 1, nil
	}
	j.started = false
	return span.First, nil
}

// nextOffset returns the offset that follows the state, or 0 if there is no state.
func (j *Journal[R]) nextOffset() platform.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started {
		return 0
	}
	return j.state.offset + 1
}

// dropPending drops the pending records and the chunks of incomplete snapshots.
func (j *Journal[R]) dropPending() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pending = nil
	j.assembler = snapshotAssembler{}
}

// foldRecords folds the records of a read that was sent at the clock reading sentAt.
// Fewer records than readLimit mean that the read reached the end of the stream, so
// that the state includes all records that were appended before sentAt.
func (j *Journal[R]) foldRecords(records []platform.LogRecord, sentAt time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range records {
		j.foldRecord(r)
	}
	if len(records) < readLimit && j.started {
		j.caughtUp = true
		j.completeAsOf = sentAt
	}
	j.notifyChanged()
}

// catchUpLoop asks for the records of another process after each ReadNow, until the context ends.
func (j *Journal[R]) catchUpLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-j.catchUpNow:
		}
		next := j.nextOffset()
		if j.options.CatchUp == nil || next == 0 {
			continue
		}
		if records, err := j.options.CatchUp(ctx, next); err == nil {
			// After an error the records are read from the log.
			j.Accept(records)
		}
	}
}

// Accept folds records that a process is known to have appended, if they follow the state, without waiting until
// they are read. It does not show that the state is complete. Other records are ignored: they are read later.
func (j *Journal[R]) Accept(records []platform.LogRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range records {
		if j.started && r.Offset == j.state.offset+1 {
			j.foldRecord(r)
		}
	}
	j.notifyChanged()
}

// foldRecord processes one record that was read or accepted. The lock must be held.
func (j *Journal[R]) foldRecord(r platform.LogRecord) {
	j.trackKey(r)
	e, err := decode[R](r.Payload)
	if err != nil {
		// Every replica skips a payload that is not an envelope.
		if j.started && r.Offset == j.state.offset+1 {
			j.state.offset = r.Offset
		}
		return
	}
	if e.Chunk != nil {
		j.addChunk(*e.Chunk)
	}
	if j.started && r.Offset > j.state.offset+1 {
		// Seed replaced the state while the read was in progress, and the records between
		// the new state and this record have not been read.
		return
	}
	if !j.started {
		j.pending = append(j.pending, r)
		return
	}
	j.foldEnvelope(r.Offset, e)
}

// foldEnvelope folds an envelope that is not folded yet and, if this writer built it,
// sends the results to its proposals. The lock must be held.
func (j *Journal[R]) foldEnvelope(offset platform.Offset, e envelope[R]) {
	if offset <= j.state.offset {
		return
	}
	j.lastFolded = time.Now()
	j.quietLimit = randomQuietLimit()
	result, isNew := j.state.fold(offset, e)
	if !isNew || result.writer != j.writer {
		return
	}
	group := j.inFlight[result.sequence]
	delete(j.inFlight, result.sequence)
	for i, p := range group {
		p.done <- rejectedOrNil(result.errs[i])
	}
}

func rejectedOrNil(reason error) error {
	if reason == nil {
		return nil
	}
	return &RejectedError{Reason: reason}
}

// addChunk collects a chunk of a snapshot. When the snapshot is complete, addChunk updates
// lastSnapshot and, if there is no state yet, restores the snapshot and folds the pending
// records.
func (j *Journal[R]) addChunk(c chunk) {
	packed, complete := j.assembler.add(c)
	if !complete {
		return
	}
	if c.UpTo > j.lastSnapshot {
		j.lastSnapshot = c.UpTo
		j.lastSnapshotReadAt = time.Now()
	}
	if j.started {
		return
	}
	if len(j.pending) > 0 && c.UpTo+1 < j.pending[0].Offset {
		// The records between the snapshot and the first pending one are missing.
		return
	}
	data, err := unpack(packed, maxUnpackedSize)
	if err != nil {
		return
	}
	if err := j.state.restore(data); err != nil {
		return
	}
	j.started = true
	j.failCovered()
	for _, r := range j.pending {
		if e, err := decode[R](r.Payload); err == nil {
			j.foldEnvelope(r.Offset, e)
		}
	}
	j.pending = nil
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
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
