// Package disk stores the durable state of a Raft member in its data folder: the
// identity, a segmented write-ahead log of checksummed records, and snapshots.
//
// A torn tail, left by a crash during a write, is truncated. Damage before the
// tail makes the store refuse the folder: acknowledged entries may be lost.
package disk

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"

	"verbenahaven.example/core/process/quorum"
)

// Errors of a data folder.
var (
	// ErrDamaged reports that durable state is corrupt or missing.
	ErrDamaged = errors.New("data folder is damaged")
	// ErrLocked reports that another process uses the folder.
	ErrLocked = errors.New("data folder is in use")
	// ErrNoRoom reports that the disk has no room for a snapshot. The log isn't
	// affected.
	ErrNoRoom = errors.New("no room on the disk")
	// ErrWriteFailed reports that this or an earlier write or sync failed: nothing
	// more may be acknowledged.
	ErrWriteFailed = errors.New("data folder failed")
)

// File names in a data folder.
const (
	identityName    = "identity"
	lockName        = "lock"
	syncedName      = "synced"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snap-"
	temporarySuffix = ".tmp"
	damagedPrefix   = "damaged-"
)

// identityBytes is the size of a random identity. It is short because each
// heartbeat carries three identities, and long enough to be unique among the
// folders of a few instances.
const identityBytes = 8

// identity is the content of the identity file.
type identity struct {
	Identity     string           `cbor:"1,keyasint"`
	MayBootstrap bool             `cbor:"2,keyasint,omitempty"` // may take part in bootstrapping a group
	Founding     *quorum.Founding `cbor:"3,keyasint,omitempty"` // the founding that it takes part in
}

// Store is an open data folder. Except for ReadChunk, LogBytes, Used and Capacity,
// its methods must be called by one goroutine.
type Store struct {
	files        FileSystem
	folder       string
	identity     identity
	stored       quorum.DurableState
	snapshotData []byte // data of the newest snapshot until TakeSnapshotData
	hardState    quorum.HardState
	failure      error

	diskBytes     int64        // share of the disk that the folder may use, 0 for all of it
	logBytes      atomic.Int64 // size of the segments
	snapshotBytes atomic.Int64 // size of the snapshot files
	asideBytes    atomic.Int64 // size of the damaged state that was set aside
	coveredIndex  uint64       // the log up to here is covered by a durable snapshot

	segmentBytes int64 // size at which a new segment is started
	segments     []segment
	currentFile  File
	syncedFile   File
	buffer       []byte
}

// Options configures a store.
type Options struct {
	FileSystem   FileSystem
	SegmentBytes int64 // size in bytes at which a new segment is started, 0 for the default
	DiskBytes    int64 // share of the disk that the folder may use, 0 for all of it
	MayBootstrap bool  // a new folder may take part in bootstrapping a group
	// Founding is what a new folder takes part in as that of the founder of this name, nil
	// for none.
	Founding *quorum.Founding
	Name     string
}

// A segment is removed as a whole, so its size is a small part of a small disk.
const (
	defaultSegmentBytes = 16 << 20
	minSegmentBytes     = 64 << 10
	segmentsPerDisk     = 64
)

// Open opens a data folder or creates one. The returned function closes it.
func Open(folder string, o Options) (*Store, func(), error) {
	s := &Store{files: o.FileSystem, folder: folder, diskBytes: o.DiskBytes, segmentBytes: cmp.Or(o.SegmentBytes, defaultSegmentBytes)}
	if s.files == nil {
		s.files = System()
	}
	if _, err := s.files.List(folder); err != nil {
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	unlock, err := s.files.Lock(s.path(lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	if err := s.load(o); err != nil {
		s.close()
		unlock()
		return nil, nil, fmt.Errorf("load %s: %w", folder, err)
	}
	if c := s.Capacity(); c > 0 && o.SegmentBytes <= 0 {
		s.segmentBytes = min(defaultSegmentBytes, max(c/segmentsPerDisk, minSegmentBytes))
	}
	return s, func() {
		s.close()
		unlock()
	}, nil
}

// Identity returns the folder's identity. It was drawn at random when the folder was
// created, unless that is a founder's.
func (s *Store) Identity() string { return s.identity.Identity }

// MayBootstrap reports whether the folder may take part in bootstrapping a group.
func (s *Store) MayBootstrap() bool { return s.identity.MayBootstrap }

// Founding returns the founding that the folder takes part in, nil for none.
func (s *Store) Founding() *quorum.Founding { return s.identity.Founding }

// Stored returns the durable state as it was when the folder was opened.
func (s *Store) Stored() quorum.DurableState { return s.stored }

// TakeSnapshotData returns the data of the newest snapshot and releases the
// store's reference to it.
func (s *Store) TakeSnapshotData() []byte {
	data := s.snapshotData
	s.snapshotData = nil
	return data
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

func (s *Store) close() {
	if s.currentFile != nil {
		_ = s.currentFile.Close()
	}
	if s.syncedFile != nil {
		_ = s.syncedFile.Close()
	}
}

func (s *Store) load(o Options) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove temporary file: %w", err)
			}
		}
	}
	if err := s.measure(names); err != nil {
		return err
	}
	if !slices.Contains(names, identityName) {
		return s.create(names, o)
	}
	b, err := s.files.Read(s.path(identityName))
	if err != nil {
		return fmt.Errorf("read identity: %w", err)
	}
	s.identity, _, err = decodeRecord[identity](b, recordIdentity)
	if err != nil {
		return fmt.Errorf("identity: %w: %w", ErrDamaged, err)
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	return s.loadLog(names)
}

// create initializes a new folder. The identity is written last: a folder with
// state but without an identity has lost it and is damaged.
func (s *Store) create(names []string, o Options) error {
	lostState := false
	for _, name := range names {
		lostState = lostState || strings.HasPrefix(name, damagedPrefix)
		if strings.HasPrefix(name, snapshotPrefix) {
			return fmt.Errorf("%s without an identity: %w", name, ErrDamaged)
		}
		if strings.HasPrefix(name, segmentPrefix) {
			if err := s.checkUninitialized(name); err != nil {
				return err
			}
		}
	}
	if err := s.drawIdentity(o, lostState); err != nil {
		return err
	}
	if err := s.startSegment(1); err != nil {
		return err
	}
	b, err := encodeRecord(nil, recordIdentity, s.identity)
	if err != nil {
		return err
	}
	return s.writeAtomically(identityName, func(f File) error {
		_, err := f.Write(b)
		return err //nolint:wrapcheck // writeAtomically wraps it
	})
}

// drawIdentity sets the identity of a new folder. One that stands for a folder which was
// set aside takes no part in the start of a group.
func (s *Store) drawIdentity(o Options, lostState bool) error {
	if o.Founding != nil && !lostState {
		s.identity = identity{Identity: o.Founding.Identity(o.Name), Founding: o.Founding}
		return nil
	}
	var random [identityBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("generate identity: %w", err)
	}
	s.identity = identity{Identity: hex.EncodeToString(random[:]), MayBootstrap: o.MayBootstrap && !lostState}
	return nil
}

// checkUninitialized returns an error unless the segment holds nothing but a
// header, or less: a crash before the identity was written leaves such a
// segment, while any other belongs to a folder that lost its identity.
func (s *Store) checkUninitialized(name string) error {
	b, err := s.files.Read(s.path(name))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	_, size, err := decodeRecord[segmentHeader](b, recordSegmentHeader)
	if (err == nil && size == len(b)) || (err != nil && len(b) < maxSegmentHeaderBytes) {
		return nil
	}
	return fmt.Errorf("%s without an identity: %w", name, ErrDamaged)
}

// writeAtomically writes a file so that after a crash it is either complete or
// absent.
func (s *Store) writeAtomically(name string, write func(File) error) error {
	path := s.path(name)
	f, err := s.files.Create(path + temporarySuffix)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close()
		_ = s.files.Remove(path + temporarySuffix) // Open removes it too
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	if err := s.files.Rename(path+temporarySuffix, path); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// probeName is the name of the file that Probe writes. Its suffix makes Open
// remove one that a crash left behind.
const probeName = "probe" + temporarySuffix

// probeBytes is the size of a page: a full disk may still accept a few bytes.
const probeBytes = 4096

// Probe returns an error if a folder can't be written to.
func Probe(files FileSystem, folder string) error {
	path := filepath.Join(folder, probeName)
	f, err := files.Create(path)
	if err != nil {
		return fmt.Errorf("probe folder: %w", err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close(), files.Remove(path)); err != nil {
		return fmt.Errorf("probe folder: %w", err)
	}
	return nil
}

// SetAside moves the content of a damaged folder into a subfolder, so that the
// instance can rejoin as a new member. The folder must be opened without
// Options.MayBootstrap then: a member that lost state must not take part in
// bootstrapping a group.
func SetAside(files FileSystem, folder, stamp string) error {
	names, err := files.List(folder)
	if err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	target := filepath.Join(folder, damagedPrefix+stamp)
	if _, err := files.List(target); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	for _, name := range names {
		if name == lockName || strings.HasPrefix(name, damagedPrefix) {
			continue
		}
		if err := files.Rename(filepath.Join(folder, name), filepath.Join(target, name)); err != nil {
			return fmt.Errorf("set aside: %w", err)
		}
	}
	if err := files.SyncFolder(folder); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	return nil
}
