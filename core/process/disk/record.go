package disk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// recordKind tells what a record holds.
type recordKind byte

const (
	recordHead  recordKind = iota + 1 // first in a segment
	recordHard                        // hard state
	recordEntry                       // one entry; replaces all from its index on
	recordReset                       // the log goes on after a snapshot
	recordMeta                        // first in a snapshot file
	recordChunk                       // data of a snapshot
	recordIdentity
	recordSynced
)

// A record is its length (4 bytes), the checksum of all that follows and of
// the length (8 bytes), its kind (1 byte) and its body.
const (
	lengthBytes   = 4
	checksumBytes = 8
	headerBytes   = lengthBytes + checksumBytes + 1
	maxRecord     = 256 << 20
)

// errRecord tells that no whole, undamaged record stands at a place.
var errRecord = errors.New("no valid record")

func appendRecord(b []byte, kind recordKind, body []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, make([]byte, checksumBytes)...)
	b = append(b, byte(kind))
	b = append(b, body...)
	binary.BigEndian.PutUint64(b[start+lengthBytes:], checksum(b[start:]))
	return b
}

// checksum covers a record but for the checksum itself.
func checksum(record []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(record[:lengthBytes])
	_, _ = d.Write(record[lengthBytes+checksumBytes:])
	return d.Sum64()
}

func encodeRecord(b []byte, kind recordKind, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return b, fmt.Errorf("encode record: %w", err)
	}
	return appendRecord(b, kind, body), nil
}

// readRecord returns the first record of b and its length with header.
func readRecord(b []byte) (kind recordKind, body []byte, size int, err error) {
	if len(b) < headerBytes {
		return 0, nil, 0, errRecord
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxRecord || headerBytes+int(n) > len(b) {
		return 0, nil, 0, errRecord
	}
	size = headerBytes + int(n)
	kind = recordKind(b[headerBytes-1])
	if kind == 0 || checksum(b[:size]) != binary.BigEndian.Uint64(b[lengthBytes:]) {
		return 0, nil, 0, errRecord
	}
	return kind, b[headerBytes:size], size, nil
}

func decodeRecord[T any](b []byte, want recordKind) (T, int, error) {
	var v T
	kind, body, size, err := readRecord(b)
	if err != nil {
		return v, 0, err
	}
	if kind != want {
		return v, 0, fmt.Errorf("kind %d for %d: %w", kind, want, errRecord)
	}
	if err := cbor.Unmarshal(body, &v); err != nil {
		return v, 0, fmt.Errorf("decode record: %w", err)
	}
	return v, size, nil
}
