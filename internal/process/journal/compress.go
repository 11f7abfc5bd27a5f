package journal

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

const (
	// compressAbove is the payload size in bytes from which compression pays.
	compressAbove = 2048
	// maxPayload bounds a payload when it is unpacked.
	maxPayload = 64 << 20
)

// gzipMagic begins every compressed payload; JSON never begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// pack compresses a payload if that pays. Every entry of a region reads every
// payload, so the bytes saved count many times.
func pack(payload []byte) ([]byte, error) {
	if len(payload) <= compressAbove {
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

// unpack returns the payload as it was before pack.
func unpack(payload []byte) ([]byte, error) {
	if !bytes.HasPrefix(payload, gzipMagic) {
		return payload, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fmt.Errorf("journal: unpack: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxPayload))
	if err != nil {
		return nil, fmt.Errorf("journal: unpack: %w", err)
	}
	return data, nil
}
