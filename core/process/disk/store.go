// Package disk keeps the durable state of a member in its data folder: the
// identity, a segmented log of checksummed records, and snapshots.
//
// A torn tail, left by a crash while writing, is cut. Damage before the tail
// makes the store refuse the folder: what it promised may be lost.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"verbenahaven.example/core/process/quorum"
)

// Failures of a data folder.
var (
	// ErrDamaged tells that durable state was damaged or is missing.
	ErrDamaged = errors.New("data folder is damaged")
	// ErrLocked tells that another process uses the folder.
	ErrLocked = errors.New("data folder is in use")
	// ErrFailed tells that an earlier write or sync failed: nothing may be
	// promised any more.
	ErrFailed = errors.New("data folder failed")
)

// Names in a data folder.
const (
	identityName   = "identity"
	lockName       = "lock"
	syncedName     = "synced"
	segmentPrefix  = "log-"
	snapshotPrefix = "snap-"
	temporary      = ".tmp"
	asidePrefix    = "damaged-"
)

// identityBytes are enough for the folders of a few instances, and each
// heartbeat carries three identities.
const identityBytes = 8

// identity is the content of the identity file.
type identity struct {
	Identity string `cbor:"1,keyasint"`
	Found    bool   `cbor:"2,keyasint,omitempty"` // may take part in founding a group
}

// Store is an open data folder. Its methods are called by one goroutine, but
// for Piece.
type Store struct {
	files    FileSystem
	folder   string
	identity identity
	stored   quorum.Stored
	data     []byte // of the newest snapshot, until taken
	hard     quorum.HardState
	failed   error

	limit    int64 // bytes after which a segment is closed
	segments []segment
	current  File
	synced   File
	buffer   []byte
}

// Options of a store.
type Options struct {
	Files   FileSystem
	Segment int64 // bytes of a segment, 0 for the default
	Found   bool  // a new folder may take part in founding a group
}

const defaultSegment = 16 << 20

// Open opens or makes a data folder. The clean-up closes it.
func Open(folder string, o Options) (*Store, func(), error) {
	s := &Store{files: o.Files, folder: folder, limit: o.Segment}
	if s.files == nil {
		s.files = System()
	}
	if s.limit <= 0 {
		s.limit = defaultSegment
	}
	if _, err := s.files.List(folder); err != nil {
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	unlock, err := s.files.Lock(s.path(lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("open data folder: %w", err)
	}
	if err := s.load(o.Found); err != nil {
		s.close()
		unlock()
		return nil, nil, fmt.Errorf("load %s: %w", folder, err)
	}
	return s, func() {
		s.close()
		unlock()
	}, nil
}

// Identity returns the random identity of the folder.
func (s *Store) Identity() string { return s.identity.Identity }

// Found tells whether the folder may take part in founding a group.
func (s *Store) Found() bool { return s.identity.Found }

// Stored returns what the folder held when it was opened.
func (s *Store) Stored() quorum.Stored { return s.stored }

// TakeData returns the data of the newest snapshot and forgets it.
func (s *Store) TakeData() []byte {
	data := s.data
	s.data = nil
	return data
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

func (s *Store) close() {
	if s.current != nil {
		_ = s.current.Close()
	}
	if s.synced != nil {
		_ = s.synced.Close()
	}
}

func (s *Store) load(found bool) error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return fmt.Errorf("remove rest: %w", err)
			}
		}
	}
	if !slices.Contains(names, identityName) {
		return s.create(names, found)
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

// create makes a new folder. The identity is written last: a folder without
// one that holds state lost it.
func (s *Store) create(names []string, found bool) error {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			return fmt.Errorf("%s without an identity: %w", name, ErrDamaged)
		}
		if strings.HasPrefix(name, segmentPrefix) {
			if err := s.checkUnused(name); err != nil {
				return err
			}
		}
	}
	var random [identityBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("draw identity: %w", err)
	}
	s.identity = identity{Identity: hex.EncodeToString(random[:]), Found: found}
	if err := s.startSegment(1); err != nil {
		return err
	}
	b, err := encodeRecord(nil, recordIdentity, s.identity)
	if err != nil {
		return err
	}
	return s.writeWhole(identityName, b)
}

// checkUnused tells a first segment that a crash left before the identity was
// written from one that lost its identity.
func (s *Store) checkUnused(name string) error {
	b, err := s.files.Read(s.path(name))
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	_, size, err := decodeRecord[head](b, recordHead)
	if (err == nil && size == len(b)) || (err != nil && len(b) < maxHead) {
		return nil
	}
	return fmt.Errorf("%s without an identity: %w", name, ErrDamaged)
}

// writeWhole writes a file so that it is there whole or not at all.
func (s *Store) writeWhole(name string, b []byte) error {
	path := s.path(name)
	f, err := s.files.Create(path + temporary)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if _, err := f.Write(b); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", name, err)
	}
	if err := s.files.Rename(path+temporary, path); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := s.files.SyncFolder(s.folder); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// probeName is the file that tells whether a folder takes writes.
const probeName = "probe" + temporary

// probeSize is a page: a full disk may still take a few bytes.
const probeSize = 4096

// Probe tells whether a folder takes writes.
func Probe(files FileSystem, folder string) error {
	path := filepath.Join(folder, probeName)
	f, err := files.Create(path)
	if err != nil {
		return fmt.Errorf("probe folder: %w", err)
	}
	_, err = f.Write(make([]byte, probeSize))
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close(), files.Remove(path)); err != nil {
		return fmt.Errorf("probe folder: %w", err)
	}
	return nil
}

// SetAside moves a refused folder's content into a subfolder, so that the
// instance can come back as a new member. A folder that lost state must not
// take part in founding a group.
func SetAside(files FileSystem, folder, stamp string) error {
	names, err := files.List(folder)
	if err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	aside := filepath.Join(folder, asidePrefix+stamp)
	if _, err := files.List(aside); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	for _, name := range names {
		if name == lockName || strings.HasPrefix(name, asidePrefix) {
			continue
		}
		if err := files.Rename(filepath.Join(folder, name), filepath.Join(aside, name)); err != nil {
			return fmt.Errorf("set aside: %w", err)
		}
	}
	if err := files.SyncFolder(folder); err != nil {
		return fmt.Errorf("set aside: %w", err)
	}
	return nil
}
