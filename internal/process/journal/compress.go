package journal

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// compressThreshold is the size in bytes above which a payload is compressed.
	compressThreshold = 2048
	// maxUnpackedSize is the largest size in bytes that a snapshot may have when it is decompressed, and
	// maxEnvelopeSize that of an envelope, which comes in one record. They keep a corrupt payload from taking all
	// memory.
	maxUnpackedSize = 64 << 20
	maxEnvelopeSize = 8 << 20
)

// gzipMagic is the prefix of every compressed payload. No JSON text begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// pack compresses a payload that is longer than compressThreshold, since every entry of a
// region reads every payload. It returns a shorter payload unchanged.
func pack(payload []byte) ([]byte, error) {
	if len(payload) <= compressThreshold {
		return payload, nil
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(payload); err != nil {
		return nil, fmt.Errorf("journal: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("journal: compress: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack reverses pack. It returns an error for a compressed payload of more than limit bytes.
func unpack(payload []byte, limit int64) ([]byte, error) {
	if !bytes.HasPrefix(payload, gzipMagic) {
		return payload, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("journal: unpack: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("journal: unpack: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, errors.Errorf("journal: unpack: payload has more than %d bytes", limit)
	}
	return data, nil
}
