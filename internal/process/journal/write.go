package journal

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

const (
	// groupLimit is the most proposals in one append.
	groupLimit = 256
	// throttlePatience is how long an append is tried again while the log refuses
	// it for its rate, before the proposals are told that it is down.
	throttlePatience = 400 * time.Millisecond
	// quietTime is how long a stream may go without an envelope. Each writer draws
	// a time from the half of it up to the whole, so that mostly one of them appends.
	quietTime = 30 * time.Second
)

// write appends proposals, one group at a time, for as long as the context
// lasts. Only one append is in flight, so that sequences reach the log in order.
func (j *Journal[R]) write(ctx context.Context) error {
	check := time.NewTicker(j.options.CheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-j.queue:
			j.appendGroup(ctx, j.gather(ctx, p))
		case <-check.C:
			j.probeIfDown(ctx)
			j.keepTime(ctx)
			j.snapshotIfDue(ctx)
		}
	}
}

// gather waits for company for the first proposal.
func (j *Journal[R]) gather(ctx context.Context, first *proposal[R]) []*proposal[R] {
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

func (j *Journal[R]) appendGroup(ctx context.Context, group []*proposal[R]) {
	records := make([]R, 0, len(group))
	for _, p := range group {
		records = append(records, p.record)
	}
	sequence := j.reserve(group)
	e := envelope[R]{Writer: j.writer, Sequence: sequence, Records: records}
	if err := j.push(ctx, e); err != nil {
		j.giveUp(sequence, err)
		return
	}
	// The verdict comes with the next read.
	j.ReadNow()
}

// reserve takes the next sequence and notes who waits for it.
func (j *Journal[R]) reserve(group []*proposal[R]) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	if len(group) > 0 {
		j.waiting[j.sequence] = group
	}
	return j.sequence
}

// giveUp tells a group that it will never be in the log.
func (j *Journal[R]) giveUp(sequence uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	group := j.waiting[sequence]
	delete(j.waiting, sequence)
	for _, p := range group {
		p.done <- err
	}
}

// push appends the envelope until it is in the log. It returns ErrNotAppended
// only if no try can have taken effect; a try of unknown fate is repeated, since
// the same sequence is folded once.
func (j *Journal[R]) push(ctx context.Context, e envelope[R]) error {
	uncertain := false
	began := j.options.Clock()
	for {
		if j.seen(e.Sequence) {
			j.setDown(false)
			return nil
		}
		err := j.try(ctx, e)
		throttled := errors.Is(err, platform.ErrThrottled)
		brief := throttled && j.options.Clock()-began < throttlePatience
		j.setDown(err != nil && !brief)
		if err == nil {
			return nil
		}
		refused := errors.Is(err, platform.ErrLogDown)
		uncertain = uncertain || !refused && !throttled
		if !brief && !uncertain {
			return errors.WithMessage(ErrNotAppended, "journal: append refused")
		}
		if ctx.Err() != nil {
			return ErrFateUnknown
		}
		pause(ctx, retryPause)
	}
}

func (j *Journal[R]) try(ctx context.Context, e envelope[R]) error {
	e.Time = time.Now().UnixMilli()
	payload, err := encode(e)
	if err != nil {
		return err
	}
	return j.await(e.Sequence, j.appendAside(ctx, payload))
}

// appendAside appends in its own goroutine, which ends within AppendTimeout.
func (j *Journal[R]) appendAside(ctx context.Context, payload []byte) <-chan error {
	answered := make(chan error, 1)
	j.appends.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, j.options.AppendTimeout)
		defer cancel()
		_, err := j.log.Append(ctx, j.stream, payload)
		answered <- err
	})
	return answered
}

// await returns the answer of an append, or nil as soon as its envelope was read
// back: an answer that is lost need not be waited for.
func (j *Journal[R]) await(sequence uint64, answered <-chan error) error {
	for {
		changed := j.Changed()
		if j.seen(sequence) {
			return nil
		}
		select {
		case err := <-answered:
			return err
		case <-changed:
		}
	}
}

// seen tells whether the tail has folded the sequence already.
func (j *Journal[R]) seen(sequence uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.folder.writers[j.writer].Sequence >= sequence
}

func (j *Journal[R]) setDown(down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.down = down
}

// probeIfDown finds out whether the log takes appends again. While it is down
// proposals are refused without a try, so nothing else would notice.
func (j *Journal[R]) probeIfDown(ctx context.Context) {
	if j.Down() {
		_ = j.push(ctx, envelope[R]{Writer: j.writer, Sequence: j.reserve(nil)})
	}
}

// keepTime appends an empty envelope to a quiet stream. As one envelope moves the
// stream's time by a bounded step, a stream without records would fall behind.
func (j *Journal[R]) keepTime(ctx context.Context) {
	if j.timeIsDue() {
		_ = j.push(ctx, envelope[R]{Writer: j.writer, Sequence: j.reserve(nil)})
	}
}

func (j *Journal[R]) timeIsDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.caughtUp || j.down || j.folder.offset == 0 {
		return false
	}
	behind := time.Since(time.UnixMilli(j.folder.time)) > maxTimeStep
	return behind || time.Since(j.lastFolded) >= j.quiet
}

// drawQuiet draws how long the stream may be quiet this time.
func drawQuiet() time.Duration { return quietTime/2 + rand.N(quietTime/2) }

// snapshotIfDue appends a snapshot when the last one is old. Rival writers cost
// only space: their chunks describe prefixes of the same stream.
func (j *Journal[R]) snapshotIfDue(ctx context.Context) {
	if !j.options.MaySnapshot() {
		return
	}
	chunks := j.dueChunks()
	if log, keyed := j.log.(platform.KeyedLog); keyed {
		j.replace(ctx, log, chunks)
		return
	}
	for i := range chunks {
		e := envelope[R]{Writer: j.writer, Sequence: j.reserve(nil), Chunk: &chunks[i]}
		if err := j.push(ctx, e); err != nil {
			return
		}
	}
}

func (j *Journal[R]) dueChunks() []chunk {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.caughtUp || !j.snapshotDue() {
		return nil
	}
	data, err := j.folder.marshal()
	if err != nil {
		return nil
	}
	packed, err := pack(data)
	if err != nil {
		return nil
	}
	return split(j.folder.offset, packed)
}

func (j *Journal[R]) snapshotDue() bool {
	if j.kept != nil {
		return uint64(len(j.kept)) >= j.options.SnapshotEvery
	}
	fresh := uint64(j.folder.offset - min(j.folder.offset, j.lastSnapshot))
	if fresh >= j.options.SnapshotEvery {
		return true
	}
	return j.folder.offset > 0 && time.Since(j.lastSnapshotSeen) >= j.spread(j.options.SnapshotAge)
}

// spread shortens a time by up to a fifth, differently for each writer of a
// stream, so that mostly one of them does what is due.
func (j *Journal[R]) spread(d time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.writer))
	share := float64(h.Sum32()) / math.MaxUint32
	return d - time.Duration(share*float64(d)/5)
}
