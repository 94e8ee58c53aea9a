package disk

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"verbenahaven.example/core/process/quorum"
)

// segment is one file of the log.
type segment struct {
	number uint64
	size   int64
	last   uint64 // highest index of an entry or reset in it
}

func (g segment) name() string {
	return fmt.Sprintf("%s%016d", segmentPrefix, g.number)
}

// head is the first record of a segment. With the hard state in each head,
// older segments can go.
type head struct {
	Number   uint64           `cbor:"1,keyasint"`
	Identity string           `cbor:"2,keyasint"`
	Hard     quorum.HardState `cbor:"3,keyasint"`
	Last     uint64           `cbor:"4,keyasint"` // last index of the log before it
}

// maxHead bounds the bytes of a head.
const maxHead = 512

// reset is the record that empties the log after a snapshot was installed.
type reset struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// mark tells up to where the log was synced. It is itself not synced: after a
// crash of the machine it may be old, but it never claims too much. Damage
// before it isn't a torn tail.
type mark struct {
	Number uint64 `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
}

func (s *Store) startSegment(number uint64) error {
	g := segment{number: number}
	f, err := s.files.Create(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	h := head{Number: number, Identity: s.identity.Identity, Hard: s.hard}
	if n := len(s.segments); n > 0 {
		h.Last = s.segments[n-1].last
	}
	b, err := encodeRecord(nil, recordHead, h)
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
	if s.current != nil {
		_ = s.current.Close()
	}
	s.current, g.size = f, int64(len(b))
	s.segments = append(s.segments, g)
	s.markSynced()
	return nil
}

// Write makes persists durable with one sync. After a failure the store
// accepts nothing more: what a failed sync left on the disk is unknown.
func (s *Store) Write(persists []quorum.Persist) error {
	if s.failed != nil {
		return fmt.Errorf("write: %w: %w", ErrFailed, s.failed)
	}
	if err := s.write(persists); err != nil {
		s.failed = err
		return fmt.Errorf("write: %w: %w", ErrFailed, err)
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
		if err := s.encode(p, g); err != nil {
			return err
		}
	}
	if _, err := s.current.Write(s.buffer); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.current.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	g.size += int64(len(s.buffer))
	if g.size >= s.limit {
		return s.startSegment(g.number + 1)
	}
	return nil
}

func (s *Store) encode(p quorum.Persist, g *segment) error {
	var err error
	if p.Snapshot != nil {
		r := reset{Index: p.Snapshot.Meta.Index, Term: p.Snapshot.Meta.Term}
		if s.buffer, err = encodeRecord(s.buffer, recordReset, r); err != nil {
			return err
		}
		g.last = max(g.last, r.Index)
	}
	if p.Hard != nil {
		s.hard = *p.Hard
		if s.buffer, err = encodeRecord(s.buffer, recordHard, p.Hard); err != nil {
			return err
		}
	}
	for i := range p.Entries {
		if s.buffer, err = encodeRecord(s.buffer, recordEntry, &p.Entries[i]); err != nil {
			return err
		}
		g.last = max(g.last, p.Entries[i].Index)
	}
	return nil
}

// Mark notes up to where the log was synced. It is apart from Write so that
// nobody waits for it.
func (s *Store) Mark() { s.markSynced() }

// markSynced is best effort: without the mark, damage right at the end is
// taken for a torn tail.
func (s *Store) markSynced() {
	if s.synced == nil {
		f, err := s.files.Create(s.path(syncedName))
		if err != nil {
			return
		}
		s.synced = f
	}
	g := s.segments[len(s.segments)-1]
	b, err := encodeRecord(nil, recordSynced, mark{Number: g.number, Offset: g.size})
	if err != nil {
		return
	}
	_, _ = s.synced.WriteAt(b, 0)
}

func (s *Store) readMark() mark {
	b, err := s.files.Read(s.path(syncedName))
	if err != nil {
		return mark{}
	}
	m, _, err := decodeRecord[mark](b, recordSynced)
	if err != nil {
		return mark{}
	}
	return m
}

// replay is the state that reading the log builds up.
type replay struct {
	hard    quorum.HardState
	entries []quorum.Entry
}

// loadLog reads all segments and opens the last for writing.
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
	synced := s.readMark()
	if newest := numbers[len(numbers)-1]; synced.Number > newest {
		return fmt.Errorf("segment %d is missing: %w", synced.Number, ErrDamaged)
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
	if err := s.join(r); err != nil {
		return err
	}
	return s.openLast()
}

// join puts snapshot and log together.
func (s *Store) join(r replay) error {
	s.hard = r.hard
	s.stored.Hard = r.hard
	at := s.stored.Snapshot.Index
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].Index
	last := r.entries[len(r.entries)-1].Index
	switch {
	case first > at+1:
		return fmt.Errorf("entries %d to %d are missing: %w", at+1, first-1, ErrDamaged)
	case last <= at:
		return nil
	case first <= at && r.entries[at-first].Term != s.stored.Snapshot.Term:
		// A crash came between snapshot and reset; the entries are void.
		return nil
	}
	s.stored.Entries = slices.Clone(r.entries[at+1-first:])
	return nil
}

// openLast opens the last segment. What was read may not have been synced
// before the crash; it counts from now on.
func (s *Store) openLast() error {
	g := s.segments[len(s.segments)-1]
	f, err := s.files.Append(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.current = f
	if err := f.Sync(); err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	s.markSynced()
	return nil
}

// loadSegment replays one file; only the last may have a torn tail.
func (s *Store) loadSegment(number uint64, newest bool, synced mark, r *replay) error {
	g := segment{number: number}
	b, err := s.files.Read(s.path(g.name()))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	size, err := s.replaySegment(&g, b, r)
	if err != nil && !errors.Is(err, errRecord) {
		return err
	}
	if err != nil {
		before := synced.Number > number || (synced.Number == number && int64(size) < synced.Offset)
		if !newest || before {
			return fmt.Errorf("segment %d at byte %d: %w: %w", number, size, ErrDamaged, err)
		}
		if size == 0 {
			return s.dropTorn(g)
		}
		if err := s.files.Truncate(s.path(g.name()), int64(size)); err != nil {
			return fmt.Errorf("cut torn tail: %w", err)
		}
	}
	g.size = int64(size)
	s.segments = append(s.segments, g)
	return nil
}

// dropTorn removes a last segment whose head was not yet durable.
func (s *Store) dropTorn(g segment) error {
	if len(s.segments) == 0 {
		return fmt.Errorf("segment %d has no head: %w", g.number, ErrDamaged)
	}
	if err := s.files.Remove(s.path(g.name())); err != nil {
		return fmt.Errorf("remove torn segment: %w", err)
	}
	return nil
}

// replaySegment returns how many bytes are whole records.
func (s *Store) replaySegment(g *segment, b []byte, r *replay) (int, error) {
	h, size, err := decodeRecord[head](b, recordHead)
	if err != nil {
		return 0, fmt.Errorf("head: %w", errRecord)
	}
	if h.Number != g.number || h.Identity != s.identity.Identity {
		return 0, fmt.Errorf("segment %d is of another folder: %w", g.number, ErrDamaged)
	}
	r.hard, g.last = h.Hard, h.Last
	for size < len(b) {
		kind, body, n, err := readRecord(b[size:])
		if err != nil {
			return size, err
		}
		if err := r.take(g, kind, body); err != nil {
			return size, err
		}
		size += n
	}
	return size, nil
}

func (r *replay) take(g *segment, kind recordKind, body []byte) error {
	switch kind {
	case recordHard:
		var h quorum.HardState
		if err := cbor.Unmarshal(body, &h); err != nil {
			return fmt.Errorf("hard state: %w: %w", ErrDamaged, err)
		}
		r.hard = h
	case recordReset:
		var v reset
		if err := cbor.Unmarshal(body, &v); err != nil {
			return fmt.Errorf("reset: %w: %w", ErrDamaged, err)
		}
		r.entries, g.last = nil, max(g.last, v.Index)
	case recordEntry:
		var e quorum.Entry
		if err := cbor.Unmarshal(body, &e); err != nil {
			return fmt.Errorf("entry: %w: %w", ErrDamaged, err)
		}
		g.last = max(g.last, e.Index)
		return r.takeEntry(e)
	default:
		return fmt.Errorf("record of kind %d: %w", kind, ErrDamaged)
	}
	return nil
}

func (r *replay) takeEntry(e quorum.Entry) error {
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

// dropSegments removes segments that a durable snapshot covers.
func (s *Store) dropSegments(index uint64) error {
	done := 0
	for done < len(s.segments)-1 && s.segments[done].last <= index {
		if err := s.files.Remove(s.path(s.segments[done].name())); err != nil {
			return fmt.Errorf("drop segment: %w", err)
		}
		// In order: a gap between segments would count as damage.
		if err := s.files.SyncFolder(s.folder); err != nil {
			return fmt.Errorf("drop segment: %w", err)
		}
		done++
	}
	s.segments = s.segments[done:]
	return nil
}
