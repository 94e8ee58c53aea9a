package disk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

const folder = "/data"

func options(m *memory) disk.Options {
	return disk.Options{Files: m, Segment: 700, Found: true}
}

// work is one call of a store.
type work struct {
	persist *quorum.Persist
	save    *quorum.Snapshot
}

// script is a life of a folder: appends, an overwritten tail, votes, own
// snapshots, and a snapshot taken over from the leader.
func script() []work {
	hard := func(term uint64, vote string) *quorum.HardState {
		return &quorum.HardState{Group: "g", Term: term, Vote: vote}
	}
	entry := func(index, term uint64) quorum.Entry {
		return quorum.Entry{Index: index, Term: term, Kind: quorum.EntryCommand, Data: []byte(strings.Repeat("x", 40))}
	}
	snapshot := func(index, term uint64) *quorum.Snapshot {
		data := []byte(fmt.Sprintf("state at %d", index))
		return &quorum.Snapshot{Meta: quorum.Meta{Index: index, Term: term, Size: int64(len(data))}, Data: data}
	}
	all := []work{
		{persist: &quorum.Persist{Hard: hard(1, "a")}},
		{persist: &quorum.Persist{Entries: []quorum.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}},
		{persist: &quorum.Persist{Hard: hard(2, ""), Entries: []quorum.Entry{entry(3, 2), entry(4, 2)}}},
	}
	for i := uint64(5); i < 20; i++ {
		all = append(all, work{persist: &quorum.Persist{Entries: []quorum.Entry{entry(i, 2)}}})
	}
	all = append(all,
		work{save: snapshot(12, 2)},
		work{persist: &quorum.Persist{Hard: hard(3, "b"), Entries: []quorum.Entry{entry(18, 3)}}},
		work{persist: &quorum.Persist{Snapshot: snapshot(40, 3)}},
		work{persist: &quorum.Persist{Entries: []quorum.Entry{entry(41, 3), entry(42, 3)}}},
	)
	for i := uint64(43); i < 56; i++ {
		all = append(all, work{persist: &quorum.Persist{Entries: []quorum.Entry{entry(i, 3)}}})
	}
	return append(all, work{save: snapshot(50, 3)}, work{persist: &quorum.Persist{Hard: hard(4, "c")}})
}

// states returns what the folder may hold after each record of the script,
// and at which of them each call ends.
func states(all []work) (after []quorum.Stored, ends []int) {
	now := quorum.Stored{}
	add := func() {
		s := now
		s.Entries = nil
		for _, e := range now.Entries {
			if e.Index > now.Snapshot.Index {
				s.Entries = append(s.Entries, e)
			}
		}
		after = append(after, s)
	}
	add()
	for _, w := range all {
		if w.save != nil {
			now.Snapshot = w.save.Meta
			add()
			ends = append(ends, len(after)-1)
			continue
		}
		if w.persist.Snapshot != nil {
			now.Snapshot, now.Entries = w.persist.Snapshot.Meta, nil
			add()
		}
		if w.persist.Hard != nil {
			now.Hard = *w.persist.Hard
			add()
		}
		for _, e := range w.persist.Entries {
			for len(now.Entries) > 0 && now.Entries[len(now.Entries)-1].Index >= e.Index {
				now.Entries = now.Entries[: len(now.Entries)-1 : len(now.Entries)-1]
			}
			now.Entries = append(now.Entries, e)
			add()
		}
		ends = append(ends, len(after)-1)
	}
	return after, ends
}

// play runs the script and returns how many calls succeeded.
func play(m *memory, all []work) (done int, err error) {
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		return 0, err
	}
	defer cleanup()
	for _, w := range all {
		if w.save != nil {
			err = s.Save(*w.save)
		} else {
			err = s.Write([]quorum.Persist{*w.persist})
			s.Mark()
		}
		if err != nil {
			return done, err
		}
		done++
	}
	return done, nil
}

// lost opens a folder after a crash; it returns what is missing of the calls
// that had succeeded.
func lost(m *memory, all []work, done int) error {
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		return err
	}
	defer cleanup()
	after, ends := states(all)
	from := 0
	if done > 0 {
		from = ends[done-1]
	}
	for _, want := range after[from:] {
		if same(s.Stored(), want) {
			return nil
		}
	}
	return fmt.Errorf("after %d calls: %+v", done, s.Stored())
}

func same(a, b quorum.Stored) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// crashes runs the script with a crash at each operation in turn and counts
// the folders that lost something.
func crashes(t *testing.T, tune func(*memory)) (runs int, faults []error) {
	t.Helper()
	all := script()
	for seed := range uint64(3) {
		for at := 1; ; at++ {
			m := newMemory()
			tune(m)
			m.crashAt = at
			done, err := play(m, all)
			if err == nil {
				break
			}
			r := rand.New(rand.NewPCG(seed, uint64(at)))
			if err := lost(m.crash(r), all, done); err != nil {
				faults = append(faults, fmt.Errorf("crash at operation %d, seed %d: %w", at, seed, err))
			}
			runs++
		}
	}
	return runs, faults
}

func TestCrashAtEachOperation(t *testing.T) {
	runs, faults := crashes(t, func(*memory) {})
	for _, err := range faults {
		t.Error(err)
	}
	t.Logf("%d crashes", runs)
}

// TestSyncIsNeeded shows that the crash test notices a sync that does nothing.
func TestSyncIsNeeded(t *testing.T) {
	if _, faults := crashes(t, func(m *memory) { m.liar = true }); len(faults) == 0 {
		t.Error("nothing was lost without syncing files")
	}
	if _, faults := crashes(t, func(m *memory) { m.nameLiar = true }); len(faults) == 0 {
		t.Error("nothing was lost without syncing the folder")
	}
}

func TestFullDiskAndFailingSync(t *testing.T) {
	all := script()
	for name, tune := range map[string]func(m *memory, n int){
		"full":  func(m *memory, n int) { m.room = 300 * n },
		"fsync": func(m *memory, n int) { m.syncFault = 5 + 7*n },
	} {
		t.Run(name, func(t *testing.T) {
			for n := 1; n < 12; n++ {
				m := newMemory()
				tune(m, n)
				done, err := play(m, all)
				if err == nil {
					break
				}
				if done > 0 && !errors.Is(err, disk.ErrFailed) {
					t.Fatalf("untyped failure: %v", err)
				}
				m.room, m.syncFault = 0, 0
				if err := lost(m.crash(rand.New(rand.NewPCG(1, uint64(n)))), all, done); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func TestFailureIsFinal(t *testing.T) {
	m := newMemory()
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	persist := []quorum.Persist{{Hard: &quorum.HardState{Term: 1}}}
	m.syncFault = m.operations + 1
	if err := s.Write(persist); !errors.Is(err, disk.ErrFailed) {
		t.Fatalf("got %v", err)
	}
	m.syncFault = 0
	if err := s.Write(persist); !errors.Is(err, disk.ErrFailed) {
		t.Fatalf("a write after a failed sync: got %v", err)
	}
}

// TestDamageIsRefused flips each byte that a promise rests on.
func TestDamageIsRefused(t *testing.T) {
	for _, prefix := range []string{"log-", "snap-", "identity"} {
		t.Run(prefix, func(t *testing.T) {
			m := newMemory()
			if _, err := play(m, script()); err != nil {
				t.Fatal(err)
			}
			names := m.find(prefix)
			name := names[len(names)-1]
			count := 0
			for at := range m.files[name].data {
				if prefix == "snap-" && padding(m.files[name].data, at) {
					continue
				}
				m.flip(name, at)
				if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
					t.Fatalf("byte %d of %s: got %v", at, name, err)
				}
				m.flip(name, at)
				count++
			}
			t.Logf("%d bytes", count)
		})
	}
}

// padding tells whether a byte of a snapshot lies in the room that its
// description leaves.
func padding(b []byte, at int) bool {
	const header, room = 13, 4096
	size := header + int(b[2])<<8 + int(b[3])
	return at >= size && at < room
}

func TestMissingSegmentIsRefused(t *testing.T) {
	m := newMemory()
	if _, err := play(m, script()[:15]); err != nil {
		t.Fatal(err)
	}
	names := m.find("log-")
	delete(m.files, names[1])
	if _, _, err := disk.Open(folder, options(m)); !errors.Is(err, disk.ErrDamaged) {
		t.Fatalf("got %v", err)
	}
}

func TestTornTailIsCut(t *testing.T) {
	m := newMemory()
	all := script()[:5]
	if _, err := play(m, all); err != nil {
		t.Fatal(err)
	}
	names := m.find("log-")
	f := m.files[names[len(names)-1]]
	f.data = append(f.data, 0, 0, 0, 9, 1, 2, 3)
	if err := lost(m, all, len(all)); err != nil {
		t.Fatal(err)
	}
}

func TestSetAside(t *testing.T) {
	base := t.TempDir()
	s, cleanup, err := disk.Open(base, disk.Options{Found: true})
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
	if s.Identity() == old || s.Found() {
		t.Fatal("the new folder speaks for the old one")
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

// FuzzLog gives the store any bytes as its log: it loads them or refuses.
func FuzzLog(f *testing.F) {
	m := newMemory()
	if _, err := play(m, script()[:4]); err != nil {
		f.Fatal(err)
	}
	log := m.find("log-")[0]
	f.Add(m.files[log].data)
	identity := m.files[folder+"/identity"].data
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMemory()
		for name, data := range map[string][]byte{"identity": identity, path.Base(log): b} {
			m.files[folder+"/"+name] = &memoryFile{data: data, durable: data, owner: m}
		}
		_, cleanup, err := disk.Open(folder, options(m))
		if err == nil {
			cleanup()
		} else if !errors.Is(err, disk.ErrDamaged) {
			t.Fatal(err)
		}
	})
}

func TestProbeTellsWhetherAFolderTakesWrites(t *testing.T) {
	m := newMemory()
	if _, err := m.List("f"); err != nil {
		t.Fatal(err)
	}
	if err := disk.Probe(m, "f"); err != nil {
		t.Fatalf("with room: %v", err)
	}
	m.room = m.size() + 100
	if err := disk.Probe(m, "f"); err == nil {
		t.Fatal("a full disk takes writes")
	}
	if names, _ := m.List("f"); len(names) != 0 {
		t.Fatalf("the probe left %v", names)
	}
}
