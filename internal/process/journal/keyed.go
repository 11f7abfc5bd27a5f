package journal

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

// trackKey updates keptKeys with a record that was read. A record with an empty payload
// removes its key. The lock must be held.
func (j *Journal[R]) trackKey(r platform.LogRecord) {
	switch {
	case r.Key == "":
	case len(r.Payload) == 0:
		delete(j.keptKeys, r.Key)
	default:
		if j.keptKeys == nil {
			j.keptKeys = map[platform.Key]platform.Offset{}
		}
		j.keptKeys[r.Key] = r.Offset
	}
}

// replaceCovered appends the chunks of a snapshot and removes the kept records that
// it covers.
func (j *Journal[R]) replaceCovered(ctx context.Context, log platform.KeyedLog, chunks []chunk) {
	if len(chunks) == 0 {
		return
	}
	payloads := make([][]byte, 0, len(chunks))
	for i := range chunks {
		payload, err := encode(envelope[R]{Writer: j.writer, Chunk: &chunks[i]})
		if err != nil {
			return
		}
		payloads = append(payloads, payload)
	}
	ctx, cancel := context.WithTimeout(ctx, j.options.AppendTimeout)
	defer cancel()
	// No records are lost if Replace fails or takes effect late, since the snapshot that it
	// appends covers the records that it removes. A failed replacement stays due.
	_ = log.Replace(ctx, j.stream, payloads, j.coveredKeys(chunks[0].UpTo))
}

// coveredKeys returns the kept keys whose record is at the offset or before it.
func (j *Journal[R]) coveredKeys(upTo platform.Offset) []platform.Key {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []platform.Key
	for key, offset := range j.keptKeys {
		if offset <= upTo {
			keys = append(keys, key)
		}
	}
	return keys
}

// loadNewest restores the state from the records that a keyed log keeps and returns
// the offset to continue reading from.
func (j *Journal[R]) loadNewest(ctx context.Context, log platform.KeyedLog) (platform.Offset, error) {
	sentAt := j.options.Clock()
	records, next, err := log.Newest(ctx, j.stream)
	if err != nil {
		return 0, errors.WithMessage(err, "journal: load")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	envelopes, newest := separate[R](records)
	if newest.data != nil && (!j.started || newest.upTo > j.state.offset) {
		data, err := unpack(newest.data, maxUnpackedSize)
		if err != nil {
			return 0, err
		}
		if err := j.state.restore(data); err != nil {
			return 0, fmt.Errorf("journal: load: %w", err)
		}
	}
	j.started = true
	j.keptKeys = map[platform.Key]platform.Offset{}
	for _, r := range records {
		j.trackKey(r)
	}
	if newest.lastChunk >= next {
		// The snapshot was written while Newest collected the records, so that some of the
		// records may be missing. Reading continues with the first offset that the
		// snapshot does not cover.
		next = newest.upTo + 1
	} else {
		for _, e := range envelopes {
			if e.offset < next {
				j.foldEnvelope(e.offset, e.envelope)
			}
		}
		j.state.offset = max(j.state.offset, next-1)
		j.caughtUp, j.completeAsOf = true, max(j.completeAsOf, sentAt)
	}
	j.failCovered()
	j.notifyChanged()
	return j.state.offset + 1, nil
}

// failCovered returns ErrFateUnknown to the proposals whose envelopes are part of the
// restored state: whether their records were rejected can no longer be determined.
func (j *Journal[R]) failCovered() {
	for sequence, group := range j.inFlight {
		if sequence > j.state.writers[j.writer].Sequence {
			continue
		}
		delete(j.inFlight, sequence)
		for _, p := range group {
			p.done <- errors.WithMessage(ErrFateUnknown, "journal: covered by a snapshot")
		}
	}
}

// keptEnvelope is an envelope that a keyed log keeps, with its offset.
type keptEnvelope[R any] struct {
	offset   platform.Offset
	envelope envelope[R]
}

// keptSnapshot is a complete snapshot that a keyed log keeps; the zero value means
// that there is none.
type keptSnapshot struct {
	// data is the packed snapshot.
	data []byte
	// upTo is the last offset that the snapshot covers.
	upTo platform.Offset
	// lastChunk is the offset of the chunk that completed the snapshot.
	lastChunk platform.Offset
}

// separate returns the envelopes with proposals among the kept records, and the
// complete snapshot that covers the most records.
func separate[R any](records []platform.LogRecord) ([]keptEnvelope[R], keptSnapshot) {
	var newest keptSnapshot
	var assembler snapshotAssembler
	var envelopes []keptEnvelope[R]
	for _, r := range records {
		e, err := decode[R](r.Payload)
		if err != nil {
			// Every replica skips a payload that is not an envelope.
			continue
		}
		if e.Chunk == nil {
			envelopes = append(envelopes, keptEnvelope[R]{r.Offset, e})
			continue
		}
		packed, complete := assembler.add(*e.Chunk)
		if complete && (newest.data == nil || e.Chunk.UpTo > newest.upTo) {
			newest = keptSnapshot{data: packed, upTo: e.Chunk.UpTo, lastChunk: r.Offset}
		}
	}
	return envelopes, newest
}
