package disk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

const folder = "/data"

func options(m *memoryFS) disk.Options {
	return disk.Options{FileSystem: m, SegmentBytes: 700, MayBootstrap: true}
}

// storeCall is a call of Write or SaveSnapshot.
type storeCall struct {
	persist *quorum.Persist
	save    *quorum.Snapshot
}

// callSequence returns the calls of a typical folder: appends, an overwritten
// tail, votes, snapshots of the own state and a snapshot installed from the
// leader.
func callSequence() []storeCall {
	hard := func(term uint64, vote string) *quorum.HardState {
		return &quorum.HardState{Group: "g", Term: term, Vote: vote}
	}
	entry := func(index, term uint64) quorum.Entry {
		return quorum.Entry{Index: index, Term: term, Kind: quorum.EntryCommand, Data: []byte(strings.Repeat("x", 40))}
	}
	snapshot := func(index, term uint64) *quorum.Snapshot {
		data := []byte(fmt.Sprintf("state at %d", index))
		return &quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: index, Term: term, Size: int64(len(data))}, Data: data}
	}
	all := []storeCall{
		{persist: &quorum.Persist{Hard: hard(1, "a")}},
		{persist: &quorum.Persist{Entries: []quorum.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}},
		{persist: &quorum.Persist{Hard: hard(2, ""), Entries: []quorum.Entry{entry(3, 2), entry(4, 2)}}},
	}
	for i := uint64(5); i < 20; i++ {
		all = append(all, storeCall{persist: &quorum.Persist{Entries: []quorum.Entry{entry(i, 2)}}})
	}
	all = append(all,
		storeCall{save: snapshot(12, 2)},
		storeCall{persist: &quorum.Persist{Hard: hard(3, "b"), Entries: []quorum.Entry{entry(18, 3)}}},
		storeCall{persist: &quorum.Persist{Snapshot: snapshot(40, 3)}},
		storeCall{persist: &quorum.Persist{Entries: []quorum.Entry{entry(41, 3), entry(42, 3)}}},
	)
	for i := uint64(43); i < 56; i++ {
		all = append(all, storeCall{persist: &quorum.Persist{Entries: []quorum.Entry{entry(i, 3)}}})
	}
	return append(all, storeCall{save: snapshot(50, 3)}, storeCall{persist: &quorum.Persist{Hard: hard(4, "c")}})
}

// expectedStates returns the state of the folder after each record that the
// calls write, and for each call the index of the state at its end.
func expectedStates(all []storeCall) (after []quorum.DurableState, ends []int) {
	current := quorum.DurableState{}
	add := func() {
		s := current
		s.Entries = nil
		for _, e := range current.Entries {
			if e.Index > current.Snapshot.Index {
				s.Entries = append(s.Entries, e)
			}
		}
		after = append(after, s)
	}
	add()
	for _, w := range all {
		if w.save != nil {
			current.Snapshot = w.save.Meta
			add()
			ends = append(ends, len(after)-1)
			continue
		}
		if w.persist.Snapshot != nil {
			current.Snapshot, current.Entries = w.persist.Snapshot.Meta, nil
			add()
		}
		if w.persist.Hard != nil {
			current.Hard = *w.persist.Hard
			add()
		}
		for _, e := range w.persist.Entries {
			for len(current.Entries) > 0 && current.Entries[len(current.Entries)-1].Index >= e.Index {
				current.Entries = current.Entries[: len(current.Entries)-1 : len(current.Entries)-1]
			}
			current.Entries = append(current.Entries, e)
			add()
		}
		ends = append(ends, len(after)-1)
	}
	return after, ends
}

// runCalls runs the calls on a store and returns how many succeeded.
func runCalls(m *memoryFS, all []storeCall) (done int, err error) {
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		return 0, err
	}
	defer cleanup()
	for _, w := range all {
		if w.save != nil {
			err = s.SaveSnapshot(*w.save)
		} else {
			err = s.Write([]quorum.Persist{*w.persist})
			s.RecordSyncedPosition()
		}
		if err != nil {
			return done, err
		}
		done++
	}
	return done, nil
}

// checkRecovery opens a folder after a crash. It returns an error unless the
// state holds all calls that succeeded and matches a state that the calls pass
// through.
func checkRecovery(m *memoryFS, all []storeCall, done int) error {
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		return err
	}
	defer cleanup()
	after, ends := expectedStates(all)
	from := 0
	if done > 0 {
		from = ends[done-1]
	}
	for _, want := range after[from:] {
		if equalState(s.Stored(), want) {
			return nil
		}
	}
	return fmt.Errorf("after %d calls: %+v", done, s.Stored())
}

func equalState(a, b quorum.DurableState) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// crashAtEachOperation runs the calls with a crash at each file operation in
// turn. It returns the number of runs and the recovery errors.
func crashAtEachOperation(t *testing.T, tune func(*memoryFS)) (runs int, faults []error) {
	t.Helper()
	all := callSequence()
	for seed := range uint64(3) {
		for at := 1; ; at++ {
			m := newMemory()
			tune(m)
			m.crashAt = at
			done, err := runCalls(m, all)
			if err == nil {
				break
			}
			r := rand.New(rand.NewPCG(seed, uint64(at)))
			if err := checkRecovery(m.crash(r), all, done); err != nil {
				faults = append(faults, fmt.Errorf("crash at operation %d, seed %d: %w", at, seed, err))
			}
			runs++
		}
	}
	return runs, faults
}

func TestCrashAtEachOperation(t *testing.T) {
	runs, faults := crashAtEachOperation(t, func(*memoryFS) {})
	for _, err := range faults {
		t.Error(err)
	}
	t.Logf("%d crashes", runs)
}

// TestCrashTestDetectsMissingSync checks that the crash test finds lost state
// if a sync does nothing.
func TestCrashTestDetectsMissingSync(t *testing.T) {
	if _, faults := crashAtEachOperation(t, func(m *memoryFS) { m.skipFileSync = true }); len(faults) == 0 {
		t.Error("nothing was lost without syncing files")
	}
	if _, faults := crashAtEachOperation(t, func(m *memoryFS) { m.skipFolderSync = true }); len(faults) == 0 {
		t.Error("nothing was lost without syncing the folder")
	}
}

func TestFullDiskAndFailingSync(t *testing.T) {
	all := callSequence()
	for name, tune := range map[string]func(m *memoryFS, n int){
		"full":  func(m *memoryFS, n int) { m.capacityBytes = 300 * n },
		"fsync": func(m *memoryFS, n int) { m.failSyncAt = 5 + 7*n },
	} {
		t.Run(name, func(t *testing.T) {
			for n := 1; n < 12; n++ {
				m := newMemory()
				tune(m, n)
				done, err := runCalls(m, all)
				if err == nil {
					break
				}
				if done > 0 && !errors.Is(err, disk.ErrWriteFailed) {
					t.Fatalf("got %v, want ErrWriteFailed", err)
				}
				m.capacityBytes, m.failSyncAt = 0, 0
				if err := checkRecovery(m.crash(rand.New(rand.NewPCG(1, uint64(n)))), all, done); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// What was read after a failed sync counted as durable, although the operating system had
// given up writing it.
func TestRecordsReadAfterFailedSyncAreDurable(t *testing.T) {
	all := callSequence()
	for at := 1; ; at++ {
		m := newMemory()
		m.failSyncAt, m.dropFailedSync = at, true
		if _, err := runCalls(m, all); err == nil {
			return
		}
		m.failSyncAt = 0
		var read [2]quorum.DurableState
		for i := range read {
			s, cleanup, err := disk.Open(folder, options(m))
			if err != nil {
				t.Fatalf("syncs fail from operation %d on: %v", at, err)
			}
			read[i] = s.Stored()
			cleanup()
			m = m.crash(rand.New(rand.NewPCG(1, uint64(at))))
		}
		if !equalState(read[0], read[1]) {
			t.Errorf("syncs fail from operation %d on: %+v, after a crash %+v", at, read[0], read[1])
		}
	}
}

func TestWriteFailureIsFinal(t *testing.T) {
	m := newMemory()
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	persist := []quorum.Persist{{Hard: &quorum.HardState{Term: 1}}}
	m.failSyncAt = m.operations + 1
	if err := s.Write(persist); !errors.Is(err, disk.ErrWriteFailed) {
		t.Fatalf("got %v", err)
	}
	m.failSyncAt = 0
	if err := s.Write(persist); !errors.Is(err, disk.ErrWriteFailed) {
		t.Fatalf("a write after a failed sync: got %v", err)
	}
}

// TestOpenRejectsCorruptByte flips a bit in each byte of the newest log segment,
// the newest snapshot and the identity.
func TestOpenRejectsCorruptByte(t *testing.T) {
	for _, prefix := range []string{"log-", "snap-", "identity"} {
		t.Run(prefix, func(t *testing.T) {
			m := newMemory()
			if _, err := runCalls(m, callSequence()); err != nil {
				t.Fatal(err)
			}
			names := m.namesWithPrefix(prefix)
			name := names[len(names)-1]
			count := 0
			for at := range m.files[name].data {
				if prefix == "snap-" && inMetaPadding(m.files[name].data, at) {
					continue
				}
				m.flipBit(name, at)
				if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
					t.Fatalf("byte %d of %s: got %v", at, name, err)
				}
				m.flipBit(name, at)
				count++
			}
			t.Logf("%d bytes", count)
		})
	}
}

// inMetaPadding reports whether the byte at an offset of a snapshot file lies in
// the padding after the metadata record.
func inMetaPadding(b []byte, at int) bool {
	const header, reserved = 13, 4096
	size := header + int(b[2])<<8 + int(b[3])
	return at >= size && at < reserved
}

func TestOpenRejectsMissingSegment(t *testing.T) {
	m := newMemory()
	if _, err := runCalls(m, callSequence()[:15]); err != nil {
		t.Fatal(err)
	}
	names := m.namesWithPrefix("log-")
	delete(m.files, names[1])
	if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
		t.Fatalf("got %v", err)
	}
}

func TestOpenTruncatesTornTail(t *testing.T) {
	m := newMemory()
	all := callSequence()[:5]
	if _, err := runCalls(m, all); err != nil {
		t.Fatal(err)
	}
	names := m.namesWithPrefix("log-")
	f := m.files[names[len(names)-1]]
	f.data = append(f.data, 0, 0, 0, 9, 1, 2, 3)
	if err := checkRecovery(m, all, len(all)); err != nil {
		t.Fatal(err)
	}
}

// A log that ended with a whole record counted as complete, although more had been synced.
func TestOpenRejectsLogCutBeforeSyncedPosition(t *testing.T) {
	all := callSequence()[:5]
	m, shorter := newMemory(), newMemory()
	if _, err := runCalls(m, all); err != nil {
		t.Fatal(err)
	}
	if _, err := runCalls(shorter, all[:4]); err != nil {
		t.Fatal(err)
	}
	name := m.namesWithPrefix("log-")[0]
	m.files[name].data = m.files[name].data[:len(shorter.files[name].data)]
	if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
		t.Errorf("got %v", err)
	}
}

func TestOpenIgnoresRecordCutAtAnyByte(t *testing.T) {
	all := callSequence()[:5]
	before, after := newMemory(), newMemory()
	if _, err := runCalls(before, all[:4]); err != nil {
		t.Fatal(err)
	}
	if _, err := runCalls(after, all); err != nil {
		t.Fatal(err)
	}
	names := before.namesWithPrefix("log-")
	name := names[len(names)-1]
	start, whole := len(before.files[name].data), after.files[name].data
	if len(whole) < start+40 {
		t.Fatalf("the call wrote %d bytes", len(whole)-start)
	}
	for n := range len(whole) - start {
		m := newMemory()
		if _, err := runCalls(m, all[:4]); err != nil {
			t.Fatal(err)
		}
		f := m.files[name]
		f.data = append(f.data, whole[start:start+n]...)
		if err := checkRecovery(m, all, 4); err != nil {
			t.Errorf("%d bytes of the record: %v", n, err)
		}
	}
}

func TestOpenRejectsSnapshotCutAtAnyByte(t *testing.T) {
	m := newMemory()
	if _, err := runCalls(m, callSequence()); err != nil {
		t.Fatal(err)
	}
	names := m.namesWithPrefix("snap-")
	f := m.files[names[len(names)-1]]
	whole := f.data
	for n := range whole {
		f.data = slices.Clone(whole[:n])
		if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
			t.Fatalf("cut after %d of %d bytes: %v", n, len(whole), err)
		}
	}
}

func TestSetAside(t *testing.T) {
	base := t.TempDir()
	s, cleanup, err := disk.Open(base, disk.Options{MayBootstrap: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := disk.Open(base, disk.Options{}); !errors.Is(err, disk.ErrLocked) {
		t.Fatalf("second open: got %v", err)
	}
	old := s.Identity()
	cleanup()
	if err := os.WriteFile(filepath.Join(base, "identity"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := disk.Open(base, disk.Options{}); !errors.Is(err, disk.ErrDamaged) {
		t.Fatalf("damaged identity: got %v", err)
	}
	if err := disk.SetAside(disk.System(), base, "1"); err != nil {
		t.Fatal(err)
	}
	s, cleanup, err = disk.Open(base, disk.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	if s.Identity() == old || s.MayBootstrap() {
		t.Fatal("the new folder has the identity of the old one or may bootstrap a group")
	}
}

func ExampleOpen() {
	base, _ := os.MkdirTemp("", "disk")
	defer os.RemoveAll(base)
	s, cleanup, err := disk.Open(base, disk.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = s.Write([]quorum.Persist{{Hard: &quorum.HardState{Term: 3}}})
	cleanup()
	s, cleanup, _ = disk.Open(base, disk.Options{})
	defer cleanup()
	fmt.Println(err, s.Stored().Hard.Term)
	// Output: <nil> 3
}

// FuzzLog opens a folder with arbitrary bytes as its log: Open must either load
// them or return ErrDamaged.
func FuzzLog(f *testing.F) {
	m := newMemory()
	if _, err := runCalls(m, callSequence()[:4]); err != nil {
		f.Fatal(err)
	}
	log := m.namesWithPrefix("log-")[0]
	f.Add(m.files[log].data)
	identity := m.files[folder+"/identity"].data
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMemory()
		for name, data := range map[string][]byte{"identity": identity, path.Base(log): b} {
			m.files[folder+"/"+name] = &memoryFile{data: data, durable: data, fs: m}
		}
		_, cleanup, err := disk.Open(folder, options(m))
		if err == nil {
			cleanup()
		} else if !errors.Is(err, disk.ErrDamaged) {
			t.Fatal(err)
		}
	})
}

func TestProbeDetectsFullDisk(t *testing.T) {
	m := newMemory()
	if _, err := m.List("f"); err != nil {
		t.Fatal(err)
	}
	if err := disk.Probe(m, "f"); err != nil {
		t.Fatalf("with free space: %v", err)
	}
	m.capacityBytes = m.size() + 100
	if err := disk.Probe(m, "f"); err == nil {
		t.Fatal("the probe of a full disk succeeded")
	}
	if names, _ := m.List("f"); len(names) != 0 {
		t.Fatalf("the probe left %v", names)
	}
}

// A founder's folder stays one under later settings, and none that stands for a damaged
// folder is one.
func TestFoundingIsThatOfFirstSettings(t *testing.T) {
	first, later := quorum.NewFounding([]string{"c", "a", "b"}), quorum.NewFounding([]string{"a", "b", "d"})
	m := newMemory()
	for _, o := range []disk.Options{{Founding: first}, {Founding: later}, {}} {
		o.FileSystem, o.Name = m, "a"
		s, cleanup, err := disk.Open(folder, o)
		if err != nil {
			t.Fatal(err)
		}
		if s.Identity() != first.Identity("a") || !reflect.DeepEqual(s.Founding(), first) || s.MayBootstrap() {
			t.Fatalf("identity %s, founding %+v, may bootstrap %t", s.Identity(), s.Founding(), s.MayBootstrap())
		}
		cleanup()
		m = m.crash(rand.New(rand.NewPCG(1, 1)))
	}
	base := t.TempDir()
	if err := disk.SetAside(disk.System(), base, "1"); err != nil {
		t.Fatal(err)
	}
	s, cleanup, err := disk.Open(base, disk.Options{MayBootstrap: true, Founding: first, Name: "a"})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	if s.Identity() == first.Identity("a") || s.Founding() != nil || s.MayBootstrap() {
		t.Fatalf("after a damaged folder: identity %s, founding %+v, may bootstrap %t", s.Identity(), s.Founding(), s.MayBootstrap())
	}
}

// Segments whose entries a later leader had replaced were kept until the log had grown to the
// same index again, which a log at its limit never does.
func TestReplacedEntriesKeepNoSegments(t *testing.T) {
	entries := func(from, to, term uint64) []quorum.Persist {
		var p quorum.Persist
		for i := from; i <= to; i++ {
			p.Entries = append(p.Entries, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: make([]byte, 100)})
		}
		return []quorum.Persist{p}
	}
	for _, reopens := range []bool{false, true} {
		m := newMemory()
		s, cleanup, err := disk.Open(folder, options(m))
		if err != nil {
			t.Fatal(err)
		}
		for _, persists := range [][]quorum.Persist{entries(1, 10, 1), entries(11, 60, 1), entries(11, 15, 2), entries(16, 20, 2)} {
			if err := s.Write(persists); err != nil {
				t.Fatal(err)
			}
		}
		if reopens {
			cleanup()
			if s, cleanup, err = disk.Open(folder, options(m)); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.SaveSnapshot(quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: 20, Term: 2}}); err != nil {
			t.Fatal(err)
		}
		if n := s.LogBytes(); n > 2*700 {
			t.Errorf("reopened %t: a log of %d bytes whose entries are all in the snapshot", reopens, n)
		}
		cleanup()
	}
}
