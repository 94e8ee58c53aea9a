package disk

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
)

// IsFull reports whether an error means that a disk, or a process's share of it,
// is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// LogBytes returns the size of the log on the disk.
func (s *Store) LogBytes() int64 { return s.logBytes.Load() }

// Used returns the size of the log, the snapshots and the damaged state that was
// set aside.
func (s *Store) Used() int64 {
	return s.logBytes.Load() + s.snapshotBytes.Load() + s.asideBytes.Load()
}

// Capacity returns how many bytes the folder may hold: its share of the disk, or
// less if other files leave less free. It returns 0 if neither is known.
func (s *Store) Capacity() int64 {
	free, known := s.files.Free(s.folder)
	switch left := s.Used() + free; {
	case !known:
		return s.diskBytes
	case s.diskBytes <= 0 || left < s.diskBytes:
		return left
	default:
		return s.diskBytes
	}
}

// retryWithRoom calls write. If the disk is full, it removes what isn't needed and
// calls write once more.
func (s *Store) retryWithRoom(write func() error) error {
	err := write()
	if !IsFull(err) {
		return err
	}
	if freed, freeErr := s.free(); freeErr != nil || freed == 0 {
		return errors.Join(err, freeErr)
	}
	return write()
}

// free removes what a recovery doesn't need: older snapshots, the log that the
// newest snapshot covers, and damaged state that was set aside. It returns how
// many bytes that were.
func (s *Store) free() (int64, error) {
	before := s.Used()
	if err := s.dropSnapshots(1); err != nil {
		return 0, err
	}
	if err := s.dropSegments(s.coveredIndex); err != nil {
		return 0, err
	}
	if err := s.dropSetAside(); err != nil {
		return 0, err
	}
	return before - s.Used(), nil
}

// setAside returns the paths of the damaged files that were set aside, followed by
// those of their folders.
func (s *Store) setAside(names []string) (files, folders []string, err error) {
	for _, name := range names {
		if !strings.HasPrefix(name, damagedPrefix) {
			continue
		}
		inside, err := s.files.List(s.path(name))
		if err != nil {
			return nil, nil, fmt.Errorf("list damaged state: %w", err)
		}
		for _, file := range inside {
			files = append(files, filepath.Join(s.path(name), file))
		}
		folders = append(folders, s.path(name))
	}
	return files, folders, nil
}

func (s *Store) dropSetAside() error {
	if s.asideBytes.Load() == 0 {
		return nil
	}
	names, err := s.files.List(s.folder)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	files, folders, err := s.setAside(names)
	if err != nil {
		return err
	}
	for _, path := range append(files, folders...) {
		if err := s.files.Remove(path); err != nil {
			return fmt.Errorf("drop damaged state: %w", err)
		}
	}
	s.asideBytes.Store(0)
	return nil
}

// measure takes the sizes of the snapshots and of what was set aside.
func (s *Store) measure(names []string) error {
	files, _, err := s.setAside(names)
	if err != nil {
		return err
	}
	size, err := s.totalSize(files)
	if err != nil {
		return err
	}
	s.asideBytes.Store(size)
	return s.measureSnapshots(snapshotNames(names))
}

func (s *Store) measureSnapshots(names []string) error {
	paths := make([]string, len(names))
	for i, name := range names {
		paths[i] = s.path(name)
	}
	size, err := s.totalSize(paths)
	if err != nil {
		return err
	}
	s.snapshotBytes.Store(size)
	return nil
}

func (s *Store) totalSize(paths []string) (int64, error) {
	var total int64
	for _, path := range paths {
		n, err := s.files.Size(path)
		if err != nil {
			return 0, fmt.Errorf("measure: %w", err)
		}
		total += n
	}
	return total, nil
}
