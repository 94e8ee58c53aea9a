package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"verbenahaven.example/core/process/quorum"
)

// chunkBytes is the size of the checksummed parts of a snapshot's data.
const chunkBytes = 256 << 10

// keepSnapshots is how many snapshots stay: a member that is catching up may
// be in the middle of an older one.
const keepSnapshots = 2

// ErrGone tells that a snapshot was replaced by newer ones.
var ErrGone = errors.New("snapshot is gone")

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, index)
}

// Save makes a snapshot of the member's own state durable and drops what it
// covers.
func (s *Store) Save(v quorum.Snapshot) error {
	if s.failed != nil {
		return fmt.Errorf("save: %w: %w", ErrFailed, s.failed)
	}
	if err := s.writeSnapshot(v); err != nil {
		s.failed = err
		return fmt.Errorf("save: %w: %w", ErrFailed, err)
	}
	if err := s.dropSegments(v.Meta.Index); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

func (s *Store) writeSnapshot(v quorum.Snapshot) error {
	b, err := encodeSnapshot(v)
	if err != nil {
		return err
	}
	if err := s.writeWhole(snapshotName(v.Meta.Index), b); err != nil {
		return err
	}
	return s.dropSnapshots()
}

// encodeSnapshot lays out the meta record, padded so that the place of each
// chunk can be computed, and the chunks.
func encodeSnapshot(v quorum.Snapshot) ([]byte, error) {
	b, err := encodeRecord(nil, recordMeta, v.Meta)
	if err != nil {
		return nil, err
	}
	if len(b) > metaBytes {
		return nil, fmt.Errorf("description of %d bytes: %w", len(b), errRecord)
	}
	b = append(b, make([]byte, metaBytes-len(b))...)
	for chunk := range slices.Chunk(v.Data, chunkBytes) {
		b = appendRecord(b, recordChunk, chunk)
	}
	return b, nil
}

// metaBytes is the room for the description of a snapshot.
const metaBytes = 4096

func (s *Store) dropSnapshots() error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return fmt.Errorf("drop snapshots: %w", err)
	}
	found := snapshots(names)
	for len(found) > keepSnapshots {
		if err := s.files.Remove(s.path(found[0])); err != nil {
			return fmt.Errorf("drop snapshot: %w", err)
		}
		found = found[1:]
	}
	return nil
}

// snapshots returns the names of snapshots, oldest first.
func snapshots(names []string) []string {
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporary) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

// loadSnapshot reads the newest snapshot. It was renamed into place only after
// it was durable, so any fault in it is damage.
func (s *Store) loadSnapshot(names []string) error {
	found := snapshots(names)
	if len(found) == 0 {
		return nil
	}
	name := found[len(found)-1]
	b, err := s.files.Read(s.path(name))
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	meta, _, err := decodeRecord[quorum.Meta](b, recordMeta)
	if err != nil || len(b) < metaBytes {
		return fmt.Errorf("%s: %w", name, ErrDamaged)
	}
	data := make([]byte, 0, meta.Size)
	for rest := b[metaBytes:]; len(rest) > 0; {
		kind, body, size, err := readRecord(rest)
		if err != nil || kind != recordChunk {
			return fmt.Errorf("%s: %w", name, ErrDamaged)
		}
		data = append(data, body...)
		rest = rest[size:]
	}
	if int64(len(data)) != meta.Size {
		return fmt.Errorf("%s: %d bytes for %d: %w", name, len(data), meta.Size, ErrDamaged)
	}
	s.stored.Snapshot, s.data = meta, data
	return nil
}

// Piece returns the part of a snapshot's data that begins at offset, at most
// one chunk. It may be called from any goroutine.
func (s *Store) Piece(meta quorum.Meta, offset int64) ([]byte, error) {
	if offset >= meta.Size {
		return nil, nil
	}
	chunk := offset / chunkBytes
	at := metaBytes + chunk*(headerBytes+chunkBytes)
	b, err := s.files.ReadAt(s.path(snapshotName(meta.Index)), at, headerBytes+chunkBytes)
	if err != nil {
		return nil, fmt.Errorf("piece of %d: %w: %w", meta.Index, ErrGone, err)
	}
	kind, body, _, err := readRecord(b)
	if err != nil || kind != recordChunk {
		return nil, fmt.Errorf("piece of %d at %d: %w", meta.Index, offset, ErrDamaged)
	}
	return body[offset%chunkBytes:], nil
}
