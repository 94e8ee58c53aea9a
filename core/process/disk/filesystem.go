package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FileSystem is the part of a file system that a store uses. Tests replace it to
// inject faults.
type FileSystem interface {
	// List returns the sorted names in a folder, which it creates if it is
	// missing.
	List(folder string) ([]string, error)
	// Lock takes an exclusive lock on a file, without waiting, and returns the
	// function that releases it. It returns ErrLocked if the lock is held.
	Lock(path string) (func(), error)
	Read(path string) ([]byte, error)
	ReadAt(path string, offset int64, size int) ([]byte, error)
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// Size returns the size of a file in bytes.
	Size(path string) (int64, error)
	// Free returns the bytes that may still be written in a folder, and false if
	// that is unknown.
	Free(folder string) (int64, bool)
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder(folder string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	io.WriterAt
	io.Closer
	// Sync makes everything written so far durable.
	Sync() error
}

// System returns the file system of the operating system.
func System() FileSystem {
	return osFileSystem{}
}

type osFileSystem struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

func (osFileSystem) List(folder string) ([]string, error) {
	if err := MakeFolder(folder); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fmt.Errorf("list folder: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (osFileSystem) Lock(path string) (func(), error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("lock %s: %w: %w", path, ErrLocked, err)
	}
	return func() { _ = f.Close() }, nil
}

func (osFileSystem) Read(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return b, nil
}

func (osFileSystem) ReadAt(path string, offset int64, size int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	defer func() { _ = f.Close() }()
	b := make([]byte, size)
	n, err := f.ReadAt(b, offset)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return b[:n], nil
}

func (osFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("create file: %w", err)
	}
	return osFile{f}, nil
}

func (osFileSystem) Append(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	if _, err := f.Seek(0, io.SeekEnd); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("seek end: %w", err)
	}
	return osFile{f}, nil
}

func (osFileSystem) Truncate(path string, size int64) error {
	if err := os.Truncate(path, size); err != nil {
		return fmt.Errorf("truncate file: %w", err)
	}
	return nil
}

func (osFileSystem) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return nil
}

func (osFileSystem) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

func (osFileSystem) Size(path string) (int64, error) {
	i, err := os.Stat(path)
	if err != nil {
		return 0, fmt.Errorf("stat file: %w", err)
	}
	return i.Size(), nil
}

func (osFileSystem) Free(folder string) (int64, bool) {
	var s unix.Statfs_t
	if err := unix.Statfs(folder, &s); err != nil || s.Blocks == 0 {
		return 0, false
	}
	return int64(s.Bavail) * s.Bsize, true
}

func (osFileSystem) SyncFolder(folder string) error {
	f, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

type osFile struct{ *os.File }

// Sync uses fdatasync: it flushes data and length, but not the timestamps.
func (f osFile) Sync() error {
	if err := unix.Fdatasync(int(f.Fd())); err != nil {
		return fmt.Errorf("sync file: %w", err)
	}
	return nil
}
