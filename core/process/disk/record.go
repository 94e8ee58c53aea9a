package disk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// recordKind is the type of a record's body.
type recordKind byte

const (
	recordSegmentHeader recordKind = iota + 1 // first record of a segment
	recordHardState                           // hard state; replaces the earlier one
	recordEntry                               // one log entry; replaces all entries from its index on
	recordReset                               // all earlier entries are replaced by a snapshot
	recordSnapshotMeta                        // first record of a snapshot file
	recordSnapshotChunk                       // part of a snapshot's data
	recordIdentity
	recordSyncedPosition
)

// A record consists of the body's length (4 bytes), a checksum of everything
// but itself (8 bytes), the kind (1 byte) and the body.
const (
	lengthBytes   = 4
	checksumBytes = 8
	headerBytes   = lengthBytes + checksumBytes + 1
	maxBodyBytes  = 256 << 20
)

// errInvalidRecord reports that the data doesn't begin with a complete, intact
// record.
var errInvalidRecord = errors.New("no valid record")

func appendRecord(b []byte, kind recordKind, body []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = append(b, make([]byte, checksumBytes)...)
	b = append(b, byte(kind))
	b = append(b, body...)
	binary.BigEndian.PutUint64(b[start+lengthBytes:], checksum(b[start:]))
	return b
}

// checksum returns the checksum of a record without its checksum field.
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

// readRecord returns the first record of b. The size includes the header.
func readRecord(b []byte) (kind recordKind, body []byte, size int, err error) {
	if len(b) < headerBytes {
		return 0, nil, 0, errInvalidRecord
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxBodyBytes || headerBytes+int(n) > len(b) {
		return 0, nil, 0, errInvalidRecord
	}
	size = headerBytes + int(n)
	kind = recordKind(b[headerBytes-1])
	if kind == 0 || checksum(b[:size]) != binary.BigEndian.Uint64(b[lengthBytes:]) {
		return 0, nil, 0, errInvalidRecord
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
		return v, 0, fmt.Errorf("record kind %d, want %d: %w", kind, want, errInvalidRecord)
	}
	if err := cbor.Unmarshal(body, &v); err != nil {
		return v, 0, fmt.Errorf("decode record: %w", err)
	}
	return v, size, nil
}
