package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxPacked bounds what Unpack makes of a message, in bytes.
const maxPacked = 64 << 20

// Pack encodes and compresses a value: lists of alike objects get several times
// smaller.
func Pack(v any) ([]byte, error) {
	raw, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// Unpack decodes what Pack made into the value that v points at.
func Unpack(b []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(b))
	raw, err := io.ReadAll(io.LimitReader(r, maxPacked+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(raw) > maxPacked {
		return fmt.Errorf("decompress: more than %d bytes", maxPacked)
	}
	return Unmarshal(raw, v)
}
