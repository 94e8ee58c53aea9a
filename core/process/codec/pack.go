package codec

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxUnpackedBytes limits the size of a message that Unpack decompresses.
const maxUnpackedBytes = 64 << 20

// Pack encodes and compresses a value: lists of similar objects become several
// times smaller.
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

// Unpack decompresses the output of Pack and decodes it into the value that v
// points to.
func Unpack(b []byte, v any) error {
	r := flate.NewReader(bytes.NewReader(b))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return fmt.Errorf("decompress: %w", err)
	}
	if len(raw) > maxUnpackedBytes {
		return fmt.Errorf("decompress: more than %d bytes", maxUnpackedBytes)
	}
	return Unmarshal(raw, v)
}
