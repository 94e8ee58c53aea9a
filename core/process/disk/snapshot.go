package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"verbenahaven.example/core/process/quorum"
)

// chunkBytes is the size of a chunk of a snapshot's data. Each chunk has a
// checksum.
const chunkBytes = 256 << 10

// maxSnapshots is the number of snapshots that are kept: a member that is
// catching up may still be receiving the older one.
const maxSnapshots = 2

// ErrSnapshotGone reports that a snapshot can't be read, usually because it was
// removed after newer ones were saved.
var ErrSnapshotGone = errors.New("snapshot is gone")

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, index)
}

// SaveSnapshot makes a snapshot of the member's own state durable and removes
// the log segments that it covers. After ErrNoRoom the store can still be used.
func (s *Store) SaveSnapshot(v quorum.Snapshot) error {
	if s.failure != nil {
		return fmt.Errorf("save: %w: %w", ErrWriteFailed, s.failure)
	}
	if err := s.writeSnapshot(v); err != nil {
		if IsFull(err) {
			// Nothing durable has changed.
			return fmt.Errorf("save: %w: %w: %w", ErrNoRoom, ErrWriteFailed, err)
		}
		s.failure = err
		return fmt.Errorf("save: %w: %w", ErrWriteFailed, err)
	}
	s.coveredIndex = max(s.coveredIndex, v.Meta.Index)
	// The newest segment is never dropped. One that was continued because the disk was full
	// may be the whole log, and a log at its limit isn't written to.
	if g := s.segments[len(s.segments)-1]; g.size >= s.segmentBytes {
		if err := s.rotate(g.number + 1); err != nil {
			s.failure = err
			return fmt.Errorf("save: %w: %w", ErrWriteFailed, err)
		}
	}
	if err := s.dropSegments(v.Meta.Index); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

func (s *Store) writeSnapshot(v quorum.Snapshot) error {
	meta, err := encodeMeta(v.Meta)
	if err != nil {
		return err
	}
	size := snapshotFileBytes(len(v.Data))
	if c := s.Capacity(); c > 0 && s.Used()+size > c {
		if _, err := s.free(); err != nil {
			return err
		}
	}
	err = s.retryWithRoom(func() error {
		return s.writeAtomically(snapshotName(v.Meta.Index), func(f File) error { return writeChunks(f, meta, v.Data) })
	})
	if err != nil {
		return err
	}
	return s.dropSnapshots(maxSnapshots)
}

// snapshotFileBytes returns the size of the file of a snapshot with the given
// bytes of data.
func snapshotFileBytes(data int) int64 {
	chunks := (data + chunkBytes - 1) / chunkBytes
	return int64(snapshotMetaBytes + chunks*headerBytes + data)
}

// encodeMeta returns the metadata record of a snapshot, padded to a fixed size so
// that the offset of each chunk can be computed.
func encodeMeta(m quorum.SnapshotMeta) ([]byte, error) {
	b, err := encodeRecord(nil, recordSnapshotMeta, m)
	if err != nil {
		return nil, err
	}
	if len(b) > snapshotMetaBytes {
		return nil, fmt.Errorf("snapshot metadata of %d bytes is too large: %w", len(b), errInvalidRecord)
	}
	return append(b, make([]byte, snapshotMetaBytes-len(b))...), nil
}

// writeChunks writes the content of a snapshot file: the metadata and the data in
// chunks.
func writeChunks(f File, meta, data []byte) error {
	if _, err := f.Write(meta); err != nil {
		return fmt.Errorf("write metadata: %w", err)
	}
	var b []byte
	for chunk := range slices.Chunk(data, chunkBytes) {
		b = appendRecord(b[:0], recordSnapshotChunk, chunk)
		if _, err := f.Write(b); err != nil {
			return fmt.Errorf("write chunk: %w", err)
		}
	}
	return nil
}

// snapshotMetaBytes is the space reserved for the metadata record of a snapshot
// file.
const snapshotMetaBytes = 4096

// dropSnapshots removes all but the newest snapshots.
func (s *Store) dropSnapshots(keep int) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return fmt.Errorf("drop snapshots: %w", err)
	}
	found := snapshotNames(names)
	for len(found) > keep {
		if err := s.files.Remove(s.path(found[0])); err != nil {
			return fmt.Errorf("drop snapshot: %w", err)
		}
		found = found[1:]
	}
	return s.measureSnapshots(found)
}

// snapshotNames returns the names of the snapshot files, oldest first.
func snapshotNames(names []string) []string {
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

// loadSnapshot reads the newest snapshot. A snapshot file is renamed into place
// only once it is durable, so an invalid one is damage, not a torn write.
func (s *Store) loadSnapshot(names []string) error {
	found := snapshotNames(names)
	if len(found) == 0 {
		return nil
	}
	name := found[len(found)-1]
	b, err := s.files.Read(s.path(name))
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	meta, _, err := decodeRecord[quorum.SnapshotMeta](b, recordSnapshotMeta)
	if err != nil || len(b) < snapshotMetaBytes {
		return fmt.Errorf("%s: %w", name, ErrDamaged)
	}
	data := make([]byte, 0, meta.Size)
	for rest := b[snapshotMetaBytes:]; len(rest) > 0; {
		kind, body, size, err := readRecord(rest)
		if err != nil || kind != recordSnapshotChunk {
			return fmt.Errorf("%s: %w", name, ErrDamaged)
		}
		data = append(data, body...)
		rest = rest[size:]
	}
	if int64(len(data)) != meta.Size {
		return fmt.Errorf("%s: %d bytes for %d: %w", name, len(data), meta.Size, ErrDamaged)
	}
	s.stored.Snapshot, s.snapshotData, s.coveredIndex = meta, data, meta.Index
	return nil
}

// ReadChunk returns a snapshot's data from offset to the end of the chunk that
// contains it. It may be called from any goroutine.
func (s *Store) ReadChunk(meta quorum.SnapshotMeta, offset int64) ([]byte, error) {
	if offset >= meta.Size {
		return nil, nil
	}
	chunk := offset / chunkBytes
	at := snapshotMetaBytes + chunk*(headerBytes+chunkBytes)
	b, err := s.files.ReadAt(s.path(snapshotName(meta.Index)), at, headerBytes+chunkBytes)
	if err != nil {
		return nil, fmt.Errorf("read chunk of snapshot %d: %w: %w", meta.Index, ErrSnapshotGone, err)
	}
	kind, body, _, err := readRecord(b)
	if err != nil || kind != recordSnapshotChunk {
		return nil, fmt.Errorf("read chunk of snapshot %d at offset %d: %w", meta.Index, offset, ErrDamaged)
	}
	return body[offset%chunkBytes:], nil
}
