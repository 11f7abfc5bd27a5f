package journal

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

const (
	// groupLimit is the maximum number of proposals in one append.
	groupLimit = 256
	// throttleRetryTime is how long a throttled append is retried before the log
	// counts as down.
	throttleRetryTime = 400 * time.Millisecond
	// maxQuietTime is the longest time without an envelope after which a writer appends an
	// empty one. Each writer waits a random time between half of maxQuietTime and all of
	// it, so that in most cases only one writer appends.
	maxQuietTime = 30 * time.Second
)

// writeLoop appends proposals and does the periodic work until the context ends. Only
// one envelope is appended at a time, so that sequences reach the log in order.
func (j *Journal[R]) writeLoop(ctx context.Context) error {
	ticker := time.NewTicker(j.options.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-j.queue:
			j.appendGroup(ctx, j.collectGroup(ctx, p))
		case <-j.probeNow:
			j.probeIfDown(ctx)
		case <-ticker.C:
			j.probeIfDown(ctx)
			j.advanceTimeIfDue(ctx)
			j.snapshotIfDue(ctx)
		}
	}
}

// collectGroup returns the first proposal with those that arrive within
// Options.Linger, up to groupLimit.
func (j *Journal[R]) collectGroup(ctx context.Context, first *proposal[R]) []*proposal[R] {
	group := []*proposal[R]{first}
	linger := time.NewTimer(j.options.Linger)
	defer linger.Stop()
	for len(group) < groupLimit {
		select {
		case p := <-j.queue:
			group = append(group, p)
		case <-linger.C:
			return group
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// appendGroup appends the proposals of the group that were not withdrawn.
func (j *Journal[R]) appendGroup(ctx context.Context, group []*proposal[R]) {
	group = slices.DeleteFunc(group, func(p *proposal[R]) bool { return !p.claim() })
	if len(group) == 0 {
		return
	}
	records := make([]R, 0, len(group))
	for _, p := range group {
		records = append(records, p.record)
	}
	sequence := j.assignSequence(group)
	e := envelope[R]{Writer: j.writer, Sequence: sequence, Records: records}
	if err := j.appendEnvelope(ctx, e); err != nil {
		j.failGroup(sequence, err)
		return
	}
	// The state machine determines the result when the envelope has been read back, so the
	// reader must not pause now.
	j.ReadNow()
}

// assignSequence returns the next sequence and registers the group, if any, that waits for
// the result of the envelope with that sequence.
func (j *Journal[R]) assignSequence(group []*proposal[R]) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	if len(group) > 0 {
		j.inFlight[j.sequence] = group
	}
	return j.sequence
}

// failGroup returns the error to all proposals of a group.
func (j *Journal[R]) failGroup(sequence uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	group := j.inFlight[sequence]
	delete(j.inFlight, sequence)
	for _, p := range group {
		p.done <- err
	}
}

// appendEnvelope retries the append until the envelope is in the log. It returns
// ErrNotAppended only if no attempt can have taken effect. An attempt of unknown fate
// is repeated, which is safe because a sequence is folded only once.
func (j *Journal[R]) appendEnvelope(ctx context.Context, e envelope[R]) error {
	mayBeAppended := false
	start := j.options.Clock()
	for {
		if j.hasFolded(e.Sequence) {
			j.setDownReason(nil)
			return nil
		}
		err := j.tryAppend(ctx, e)
		if errors.Is(err, errNotEncoded) {
			return fmt.Errorf("%w: %w", ErrNotAppended, err)
		}
		throttled := errors.Is(err, platform.ErrThrottled)
		retryThrottled := throttled && j.options.Clock()-start < throttleRetryTime
		// A throttled append that is repeated shows neither that the log accepts appends nor that it
		// does not.
		if !retryThrottled {
			j.setDownReason(err)
		}
		if err == nil {
			return nil
		}
		refused := errors.Is(err, platform.ErrLogDown)
		mayBeAppended = mayBeAppended || !refused && !throttled
		if !retryThrottled && !mayBeAppended {
			return fmt.Errorf("journal: log refused the append: %w: %w", ErrNotAppended, err)
		}
		if ctx.Err() != nil {
			return ErrFateUnknown
		}
		sleep(ctx, retryPause)
	}
}

func (j *Journal[R]) tryAppend(ctx context.Context, e envelope[R]) error {
	e.Time = time.Now().UnixMilli()
	payload, err := encode(e)
	if err != nil {
		return err
	}
	return j.awaitAppend(e.Sequence, j.appendAsync(ctx, payload, j.appendOptions(e)))
}

// Ranked is implemented by records that do not all have the highest urgency.
type Ranked interface {
	// Urgency returns the urgency of the record while it waits for the log.
	Urgency() platform.Urgency
}

// appendOptions returns the options of the append of an envelope. It has the highest urgency of its records.
// While it waits, it may be replaced by a repetition: a writer never has two envelopes of unknown fate.
func (j *Journal[R]) appendOptions(e envelope[R]) platform.AppendOptions {
	o := platform.AppendOptions{Urgency: platform.UrgencyReported, Key: string(j.writer)}
	for _, r := range e.Records {
		urgency := platform.UrgencyDemanded
		if ranked, ok := any(r).(Ranked); ok {
			urgency = ranked.Urgency()
		}
		o.Urgency = min(o.Urgency, urgency)
	}
	return o
}

// appendAsync appends in a goroutine of its own, which ends within
// Options.AppendTimeout, and returns the channel for the result.
func (j *Journal[R]) appendAsync(ctx context.Context, payload []byte, o platform.AppendOptions) <-chan error {
	result := make(chan error, 1)
	j.appends.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, j.options.AppendTimeout)
		defer cancel()
		_, err := platform.AppendWith(ctx, j.log, j.stream, payload, o)
		result <- err
	})
	return result
}

// awaitAppend returns the result of an append, or nil as soon as its envelope has been
// read back: if the answer to the append is lost, there is no need to wait for its timeout.
func (j *Journal[R]) awaitAppend(sequence uint64, result <-chan error) error {
	for {
		changed := j.Changed()
		if j.hasFolded(sequence) {
			return nil
		}
		select {
		case err := <-result:
			return err
		case <-changed:
		}
	}
}

// hasFolded reports whether this writer's envelope of that sequence has been read
// back and folded.
func (j *Journal[R]) hasFolded(sequence uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.writers[j.writer].Sequence >= sequence
}

func (j *Journal[R]) setDownReason(reason error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.downReason = reason
}

// probeIfDown appends an empty envelope if the log is down, to find out whether it
// accepts appends again. Propose fails without an append while the log is down, so
// nothing else would detect its recovery.
func (j *Journal[R]) probeIfDown(ctx context.Context) {
	if j.Down() {
		_ = j.appendEnvelope(ctx, envelope[R]{Writer: j.writer, Sequence: j.assignSequence(nil)})
	}
}

// advanceTimeIfDue appends an empty envelope if the stream is quiet or its time is behind.
// One envelope advances the stream's time by at most maxTimeStep, so that after a long
// quiet period the time would stay behind for many envelopes.
func (j *Journal[R]) advanceTimeIfDue(ctx context.Context) {
	if j.timeAdvanceDue() {
		_ = j.appendEnvelope(ctx, envelope[R]{Writer: j.writer, Sequence: j.assignSequence(nil)})
	}
}

// timeAdvanceDue reports whether advanceTimeIfDue must append an envelope.
func (j *Journal[R]) timeAdvanceDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.caughtUp || j.downReason != nil || j.state.offset == 0 {
		return false
	}
	behind := time.Since(time.UnixMilli(j.state.time)) > maxTimeStep
	return behind || time.Since(j.lastFolded) >= j.quietLimit
}

// randomQuietLimit returns a random time from maxQuietTime/2 to maxQuietTime.
func randomQuietLimit() time.Duration { return maxQuietTime/2 + rand.N(maxQuietTime/2) }

// snapshotIfDue appends a snapshot if one is due. Snapshots by several writers only
// take more space: all of them describe prefixes of the same stream.
func (j *Journal[R]) snapshotIfDue(ctx context.Context) {
	if !j.options.MaySnapshot() {
		return
	}
	chunks := j.dueSnapshotChunks()
	if log, keyed := j.log.(platform.KeyedLog); keyed {
		j.replaceCovered(ctx, log, chunks)
		return
	}
	for i := range chunks {
		e := envelope[R]{Writer: j.writer, Sequence: j.assignSequence(nil), Chunk: &chunks[i]}
		if err := j.appendEnvelope(ctx, e); err != nil {
			return
		}
	}
}

// dueSnapshotChunks returns the chunks of a snapshot of the state if one is due, or nil.
func (j *Journal[R]) dueSnapshotChunks() []chunk {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.caughtUp || !j.snapshotDue() {
		return nil
	}
	data, err := j.state.marshal()
	if err != nil {
		return nil
	}
	packed, err := pack(data)
	if err != nil {
		return nil
	}
	return splitSnapshot(j.state.offset, packed)
}

func (j *Journal[R]) snapshotDue() bool {
	if j.keptKeys != nil {
		return uint64(len(j.keptKeys)) >= j.options.SnapshotEvery
	}
	sinceSnapshot := uint64(j.state.offset - min(j.state.offset, j.lastSnapshot))
	if sinceSnapshot >= j.options.SnapshotEvery {
		return true
	}
	return j.state.offset > 0 && time.Since(j.lastSnapshotReadAt) >= j.jitter(j.options.SnapshotAge)
}

// jitter shortens a time by up to a fifth, by an amount that depends on the writer,
// so that in most cases only one writer of a stream writes the snapshot that is due.
func (j *Journal[R]) jitter(d time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.writer))
	fraction := float64(h.Sum32()) / math.MaxUint32
	return d - time.Duration(fraction*float64(d)/5)
}
