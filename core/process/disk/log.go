package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"verbenahaven.example/core/process/quorum"
)

// segment is one file of the write-ahead log.
type segment struct {
	number uint64
	size   int64
	// lastIndex is the highest index of an entry or reset in the segment that no
	// later record replaces, or that of the preceding segment if it is higher.
	lastIndex uint64
}

func (g segment) name() string {
	return fmt.Sprintf("%s%016d", segmentPrefix, g.number)
}

// segmentHeader is the first record of a segment. It repeats the hard state, so
// that older segments can be removed.
type segmentHeader struct {
	Number    uint64           `cbor:"1,keyasint"`
	Identity  string           `cbor:"2,keyasint"`
	HardState quorum.HardState `cbor:"3,keyasint"`
	LastIndex uint64           `cbor:"4,keyasint"` // highest index of the preceding segment
}

// maxSegmentHeaderBytes is an upper bound of a header record's size.
const maxSegmentHeaderBytes = 512

// logReset is the record that discards all earlier entries because a snapshot
// from the leader was installed.
type logReset struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// syncedPosition is the position up to which the log is known to be synced. The
// file that holds it isn't synced: after a machine crash it may be outdated, but
// never ahead of the log. An invalid record before this position is damage, not
// a torn tail.
type syncedPosition struct {
	Segment uint64 `cbor:"1,keyasint"`
	Offset  int64  `cbor:"2,keyasint"`
}

func (s *Store) startSegment(number uint64) error {
	g := segment{number: number}
	f, err := s.files.Create(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	h := segmentHeader{Number: number, Identity: s.identity.Identity, HardState: s.hardState}
	if n := len(s.segments); n > 0 {
		h.LastIndex = s.segments[n-1].lastIndex
	}
	g.lastIndex = h.LastIndex
	b, err := encodeRecord(nil, recordSegmentHeader, h)
	if err != nil {
		_ = f.Close()
		return err
	}
	if _, err := f.Write(b); err != nil {
		_ = f.Close()
		return fmt.Errorf("start segment: %w", err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return fmt.Errorf("start segment: %w", err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		_ = f.Close()
		return fmt.Errorf("start segment: %w", err)
	}
	if s.currentFile != nil {
		_ = s.currentFile.Close()
	}
	s.currentFile, g.size = f, int64(len(b))
	s.logBytes.Add(g.size)
	s.segments = append(s.segments, g)
	s.writeSyncedPosition()
	return nil
}

// Write makes all persists durable with one fsync. After a failure the store
// rejects every write: it is unknown what a failed fsync left on the disk.
func (s *Store) Write(persists []quorum.Persist) error {
	if s.failure != nil {
		return fmt.Errorf("write: %w: %w", ErrWriteFailed, s.failure)
	}
	if err := s.write(persists); err != nil {
		s.failure = err
		return fmt.Errorf("write: %w: %w", ErrWriteFailed, err)
	}
	return nil
}

func (s *Store) write(persists []quorum.Persist) error {
	g := &s.segments[len(s.segments)-1]
	s.buffer = s.buffer[:0]
	for _, p := range persists {
		if p.Snapshot != nil {
			if err := s.writeSnapshot(*p.Snapshot); err != nil {
				return err
			}
		}
		if err := s.encodePersist(p); err != nil {
			return err
		}
	}
	err := s.retryWithRoom(func() error {
		_, err := s.currentFile.WriteAt(s.buffer, g.size)
		return err //nolint:wrapcheck // wrapped below
	})
	if err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.currentFile.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	g.size += int64(len(s.buffer))
	s.logBytes.Add(int64(len(s.buffer)))
	for _, p := range persists {
		if p.Snapshot != nil {
			s.endLogAt(g, p.Snapshot.Meta.Index)
		}
		for i := range p.Entries {
			s.endLogAt(g, p.Entries[i].Index)
		}
	}
	if g.size >= s.segmentBytes {
		if err := s.rotate(g.number + 1); err != nil {
			return err
		}
	}
	return s.dropReplaced(persists)
}

// endLogAt records that the log ends with a durable record of the given index in segment g,
// the newest one. Records of higher indexes count no longer.
func (s *Store) endLogAt(g *segment, index uint64) {
	if index < g.lastIndex {
		for i := range s.segments {
			s.segments[i].lastIndex = min(s.segments[i].lastIndex, index)
		}
	}
	g.lastIndex = index
}

// rotate starts a new segment. If the disk is full, the current one is continued.
func (s *Store) rotate(number uint64) error {
	err := s.startSegment(number)
	if !IsFull(err) {
		return err
	}
	// A torn segment must not come back after a crash: no damage is tolerated in
	// those before the newest.
	if err := s.files.Remove(s.path(segment{number: number}.name())); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove torn segment: %w", err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return fmt.Errorf("remove torn segment: %w", err)
	}
	return nil
}

// dropReplaced drops the segments that an installed snapshot replaced. The record
// that discards their entries is durable.
func (s *Store) dropReplaced(persists []quorum.Persist) error {
	for _, p := range persists {
		if p.Snapshot != nil {
			s.coveredIndex = max(s.coveredIndex, p.Snapshot.Meta.Index)
			if err := s.dropSegments(s.coveredIndex); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Store) encodePersist(p quorum.Persist) error {
	var err error
	if p.Snapshot != nil {
		r := logReset{Index: p.Snapshot.Meta.Index, Term: p.Snapshot.Meta.Term}
		if s.buffer, err = encodeRecord(s.buffer, recordReset, r); err != nil {
			return err
		}
	}
	if p.Hard != nil {
		s.hardState = *p.Hard
		if s.buffer, err = encodeRecord(s.buffer, recordHardState, p.Hard); err != nil {
			return err
		}
	}
	for i := range p.Entries {
		if s.buffer, err = encodeRecord(s.buffer, recordEntry, &p.Entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// RecordSyncedPosition records up to where the log is synced. It is separate from
// Write, so that acknowledgements don't wait for it.
func (s *Store) RecordSyncedPosition() { s.writeSyncedPosition() }

// writeSyncedPosition is best effort: if it fails, damage after the last
// recorded position is taken for a torn tail.
func (s *Store) writeSyncedPosition() {
	if s.syncedFile == nil {
		f, err := s.files.Create(s.path(syncedName))
		if err != nil {
			return
		}
		s.syncedFile = f
	}
	g := s.segments[len(s.segments)-1]
	b, err := encodeRecord(nil, recordSyncedPosition, syncedPosition{Segment: g.number, Offset: g.size})
	if err != nil {
		return
	}
	_, _ = s.syncedFile.WriteAt(b, 0)
}

func (s *Store) readSyncedPosition() syncedPosition {
	b, err := s.files.Read(s.path(syncedName))
	if err != nil {
		return syncedPosition{}
	}
	p, _, err := decodeRecord[syncedPosition](b, recordSyncedPosition)
	if err != nil {
		return syncedPosition{}
	}
	return p
}

// replay is the state rebuilt by reading the log.
type replay struct {
	hardState quorum.HardState
	entries   []quorum.Entry
}

// loadLog replays all segments and opens the last one for writing.
func (s *Store) loadLog(names []string) error {
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &n); err != nil {
			return fmt.Errorf("segment %s: %w", name, ErrDamaged)
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	if len(numbers) == 0 {
		return fmt.Errorf("no segment: %w", ErrDamaged)
	}
	synced := s.readSyncedPosition()
	if newest := numbers[len(numbers)-1]; synced.Segment > newest {
		return fmt.Errorf("segment %d is missing: %w", synced.Segment, ErrDamaged)
	}
	var r replay
	for i, n := range numbers {
		if n != numbers[0]+uint64(i) {
			return fmt.Errorf("segment %d is missing: %w", numbers[0]+uint64(i), ErrDamaged)
		}
		if err := s.loadSegment(n, i == len(numbers)-1, synced, &r); err != nil {
			return err
		}
	}
	if err := s.mergeLog(r); err != nil {
		return err
	}
	return s.openLastSegment(synced)
}

// mergeLog combines the snapshot with the entries that follow it in the log.
func (s *Store) mergeLog(r replay) error {
	s.hardState = r.hardState
	s.stored.Hard = r.hardState
	snapshotIndex := s.stored.Snapshot.Index
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].Index
	last := r.entries[len(r.entries)-1].Index
	switch {
	case first > snapshotIndex+1:
		return fmt.Errorf("entries %d to %d are missing: %w", snapshotIndex+1, first-1, ErrDamaged)
	case last <= snapshotIndex:
		return nil
	case first <= snapshotIndex && r.entries[snapshotIndex-first].Term != s.stored.Snapshot.Term:
		// The process crashed after installing the snapshot and before
		// writing the reset record: the entries conflict with the snapshot.
		return nil
	}
	s.stored.Entries = slices.Clone(r.entries[snapshotIndex+1-first:])
	return nil
}

// openLastSegment opens the last segment. It writes and syncs what was read after the
// synced position: the records may not have been synced before the crash, but are relied on
// from now on. After a sync that failed, another one wouldn't write them.
func (s *Store) openLastSegment(synced syncedPosition) error {
	g := s.segments[len(s.segments)-1]
	from := int64(0)
	if synced.Segment == g.number {
		from = synced.Offset
	}
	tail, err := s.files.ReadAt(s.path(g.name()), from, int(g.size-from))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	f, err := s.files.Append(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.currentFile = f
	if _, err := f.WriteAt(tail, from); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.writeSyncedPosition()
	return nil
}

// loadSegment replays one segment. Only the newest may have a torn tail, which
// is truncated.
func (s *Store) loadSegment(number uint64, newest bool, synced syncedPosition, r *replay) error {
	g := segment{number: number}
	b, err := s.files.Read(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	size, err := s.replaySegment(&g, b, r)
	if err != nil && !errors.Is(err, errInvalidRecord) {
		return err
	}
	behind := synced.Segment == number && int64(size) < synced.Offset
	if behind || err != nil && !newest {
		return fmt.Errorf("segment %d at byte %d: %w", number, size, errors.Join(ErrDamaged, err))
	}
	if err != nil {
		if size == 0 {
			return s.removeTornSegment(g)
		}
		if err := s.files.Truncate(s.path(g.name()), int64(size)); err != nil {
			return fmt.Errorf("truncate torn tail: %w", err)
		}
	}
	g.size = int64(size)
	s.logBytes.Add(g.size)
	s.segments = append(s.segments, g)
	return nil
}

// removeTornSegment removes a newest segment whose header wasn't durable before
// the crash.
func (s *Store) removeTornSegment(g segment) error {
	if len(s.segments) == 0 {
		return fmt.Errorf("segment %d has no valid header: %w", g.number, ErrDamaged)
	}
	if err := s.files.Remove(s.path(g.name())); err != nil {
		return fmt.Errorf("remove torn segment: %w", err)
	}
	return nil
}

// replaySegment applies the records of a segment and returns the size of those
// that are valid.
func (s *Store) replaySegment(g *segment, b []byte, r *replay) (int, error) {
	h, size, err := decodeRecord[segmentHeader](b, recordSegmentHeader)
	if err != nil {
		return 0, fmt.Errorf("segment header: %w", errInvalidRecord)
	}
	if h.Number != g.number || h.Identity != s.identity.Identity {
		return 0, fmt.Errorf("segment %d has the number or identity of another: %w", g.number, ErrDamaged)
	}
	r.hardState, g.lastIndex = h.HardState, h.LastIndex
	for size < len(b) {
		kind, body, n, err := readRecord(b[size:])
		if err != nil {
			return size, err
		}
		index, err := r.applyRecord(kind, body)
		if err != nil {
			return size, err
		}
		if index > 0 {
			s.endLogAt(g, index)
		}
		size += n
	}
	return size, nil
}

// applyRecord returns the index with which the log ends after the record, 0 if it doesn't
// change that.
func (r *replay) applyRecord(kind recordKind, body []byte) (uint64, error) {
	switch kind {
	case recordHardState:
		var h quorum.HardState
		if err := cbor.Unmarshal(body, &h); err != nil {
			return 0, fmt.Errorf("hard state: %w: %w", ErrDamaged, err)
		}
		r.hardState = h
		return 0, nil
	case recordReset:
		var v logReset
		if err := cbor.Unmarshal(body, &v); err != nil {
			return 0, fmt.Errorf("reset: %w: %w", ErrDamaged, err)
		}
		r.entries = nil
		return v.Index, nil
	case recordEntry:
		var e quorum.Entry
		if err := cbor.Unmarshal(body, &e); err != nil {
			return 0, fmt.Errorf("entry: %w: %w", ErrDamaged, err)
		}
		return e.Index, r.appendEntry(e)
	default:
		return 0, fmt.Errorf("unknown record kind %d: %w", kind, ErrDamaged)
	}
}

func (r *replay) appendEntry(e quorum.Entry) error {
	if len(r.entries) == 0 || e.Index < r.entries[0].Index {
		r.entries = append(r.entries[:0], e)
		return nil
	}
	keep := e.Index - r.entries[0].Index
	if keep > uint64(len(r.entries)) {
		return fmt.Errorf("entry %d after %d: %w", e.Index, r.entries[len(r.entries)-1].Index, ErrDamaged)
	}
	r.entries = append(r.entries[:keep], e)
	return nil
}

// dropSegments removes the segments whose entries a durable snapshot up to index
// covers.
func (s *Store) dropSegments(index uint64) error {
	removed := 0
	for removed < len(s.segments)-1 && s.segments[removed].lastIndex <= index {
		if err := s.files.Remove(s.path(s.segments[removed].name())); err != nil {
			return fmt.Errorf("drop segment: %w", err)
		}
		// Sync after each removal, so that they become durable in order: a
		// gap between segments would be taken for damage.
		if err := s.files.SyncFolder(s.folder); err != nil {
			return fmt.Errorf("drop segment: %w", err)
		}
		s.logBytes.Add(-s.segments[removed].size)
		removed++
	}
	s.segments = s.segments[removed:]
	return nil
}
