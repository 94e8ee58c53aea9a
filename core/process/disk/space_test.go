package disk_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

// openAfter opens a folder in which the calls were made.
func openAfter(t *testing.T, m *memoryFS, all []storeCall) *disk.Store {
	t.Helper()
	if _, err := runCalls(m, all); err != nil {
		t.Fatal(err)
	}
	s, cleanup, err := disk.Open(folder, options(m))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return s
}

func TestCrashAtEachOperationOnSmallestDisk(t *testing.T) {
	capacity := 4096
	for err := errors.New("too small"); err != nil; capacity += 64 {
		m := newMemory()
		m.capacityBytes = capacity
		_, err = runCalls(m, callSequence())
	}
	runs, faults := crashAtEachOperation(t, func(m *memoryFS) { m.capacityBytes = capacity })
	for _, err := range faults {
		t.Error(err)
	}
	t.Logf("%d crashes on %d bytes", runs, capacity)
}

func TestFullDiskFreesOlderSnapshotAndDamagedState(t *testing.T) {
	all := callSequence()
	m := newMemory()
	m.files[folder+"/damaged-1"] = &memoryFile{fs: m}
	m.files[folder+"/damaged-1/log-1"] = &memoryFile{data: make([]byte, 300), fs: m}
	s := openAfter(t, m, all)
	m.capacityBytes = m.size()
	persist := quorum.Persist{Hard: &quorum.HardState{Group: "g", Term: 5}}
	if err := s.Write([]quorum.Persist{persist}); err != nil {
		t.Fatal(err)
	}
	if left := m.namesWithPrefix("snap-"); len(left) != 1 {
		t.Errorf("snapshots left: %v", left)
	}
	if m.files[folder+"/damaged-1/log-1"] != nil {
		t.Error("damaged state was kept on a full disk")
	}
	all = append(all, storeCall{persist: &persist})
	if err := checkRecovery(m.crash(rand.New(rand.NewPCG(1, 1))), all, len(all)); err != nil {
		t.Error(err)
	}
}

func TestSnapshotWithoutRoomLeavesLogUsable(t *testing.T) {
	all := callSequence()[:18]
	m := newMemory()
	s := openAfter(t, m, all)
	m.capacityBytes = m.size() + 2000
	save := callSequence()[18]
	if err := s.SaveSnapshot(*save.save); !errors.Is(err, disk.ErrNoRoom) {
		t.Fatalf("got %v", err)
	}
	persist := storeCall{persist: &quorum.Persist{Hard: &quorum.HardState{Group: "g", Term: 3}}}
	if err := s.Write([]quorum.Persist{*persist.persist}); err != nil {
		t.Fatalf("write after a snapshot without room: %v", err)
	}
	m.capacityBytes = 0
	if err := s.SaveSnapshot(*save.save); err != nil {
		t.Fatalf("snapshot with room again: %v", err)
	}
	all = append(all, persist, save)
	if err := checkRecovery(m.crash(rand.New(rand.NewPCG(1, 2))), all, len(all)); err != nil {
		t.Error(err)
	}
}

// TestFullDiskContinuesSegment lets records fit, but not the header of the segment
// that comes next.
func TestFullDiskContinuesSegment(t *testing.T) {
	for seed := range uint64(20) {
		m := newMemory()
		s, cleanup, err := disk.Open(folder, options(m))
		if err != nil {
			t.Fatal(err)
		}
		all := make([]storeCall, 0, 14)
		for i := range uint64(14) {
			e := quorum.Entry{Index: i + 1, Term: 1, Kind: quorum.EntryCommand, Data: make([]byte, 100)}
			all = append(all, storeCall{persist: &quorum.Persist{Entries: []quorum.Entry{e}}})
			m.capacityBytes = m.size() + 160
			if err := s.Write([]quorum.Persist{*all[i].persist}); err != nil {
				t.Fatal(err)
			}
			s.RecordSyncedPosition()
		}
		cleanup()
		if len(m.namesWithPrefix("log-")) != 1 {
			t.Fatal("a segment was started")
		}
		m.capacityBytes = 0
		if err := checkRecovery(m.crash(rand.New(rand.NewPCG(1, seed))), all, len(all)); err != nil {
			t.Error(err)
		}
	}
}

// A disk that is full from some operation on, and has room again, must leave a folder that is
// neither damaged nor behind what was acknowledged.
func TestFolderIsIntactOnceFullDiskHasRoom(t *testing.T) {
	all := callSequence()
	for at := 1; ; at++ {
		m := newMemory()
		m.fullAt = at
		done, err := runCalls(m, all)
		if m.operations < at {
			return
		}
		if err != nil && !disk.IsFull(err) {
			t.Errorf("full from operation %d on: %v", at, err)
		}
		m.fullAt = 0
		if err := checkRecovery(m, all, done); err != nil {
			t.Errorf("full from operation %d on: %v", at, err)
		}
	}
}
