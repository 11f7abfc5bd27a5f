package journal

import (
	"crypto/sha256"
	"encoding/hex"

	"corianderpass/pkg/platform"
)

// chunkSize is the maximum number of snapshot bytes in one log record. The encoding of a
// record adds a third to them, and logs accept records of up to 256 KB.
const chunkSize = 128 << 10

// maxOpenSnapshots is the maximum number of incomplete snapshots whose chunks are kept.
const maxOpenSnapshots = 8

// maxChunks is the maximum number of chunks of a snapshot, whose packed size unpack limits.
const maxChunks = maxUnpackedSize / chunkSize

// splitSnapshot splits a packed snapshot that covers the stream up to the offset into
// chunks.
func splitSnapshot(upTo platform.Offset, data []byte) []chunk {
	sum := sha256.Sum256(data)
	digest := hex.EncodeToString(sum[:])
	count := max(1, (len(data)+chunkSize-1)/chunkSize)
	chunks := make([]chunk, 0, count)
	for i := range count {
		piece := data[i*chunkSize : min(len(data), (i+1)*chunkSize)]
		chunks = append(chunks, chunk{UpTo: upTo, Index: i, Count: count, Digest: digest, Data: piece})
	}
	return chunks
}

// snapshotAssembler collects the chunks of the snapshots in a stream. The zero value
// is ready to use.
type snapshotAssembler struct {
	// pieces has the chunks of each incomplete snapshot, by the snapshot's digest and
	// then by index; a missing one is nil.
	pieces map[string][][]byte
}

// add stores a chunk. If the chunk completes its snapshot, add returns the packed snapshot
// and whether its digest is correct, otherwise nil and false. The chunk may come from another writer.
func (a *snapshotAssembler) add(c chunk) ([]byte, bool) {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return nil, false
	}
	if a.pieces == nil {
		a.pieces = map[string][][]byte{}
	}
	pieces := a.pieces[c.Digest]
	if len(pieces) != c.Count {
		if len(a.pieces) >= maxOpenSnapshots {
			// So many snapshots are incomplete only if their writers ended between two
			// chunks. The missing chunks will not follow.
			clear(a.pieces)
		}
		pieces = make([][]byte, c.Count)
		a.pieces[c.Digest] = pieces
	}
	pieces[c.Index] = c.Data
	var packed []byte
	for _, piece := range pieces {
		if piece == nil {
			return nil, false
		}
		packed = append(packed, piece...)
	}
	delete(a.pieces, c.Digest)
	sum := sha256.Sum256(packed)
	return packed, hex.EncodeToString(sum[:]) == c.Digest
}
