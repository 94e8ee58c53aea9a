package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FileSystem is what a store needs of the operating system. Tests put faults
// behind it.
type FileSystem interface {
	// List returns the names in a folder, sorted; it makes a missing folder.
	List(folder string) ([]string, error)
	// Lock keeps other processes out of a folder until the clean-up.
	Lock(path string) (func(), error)
	Read(path string) ([]byte, error)
	ReadAt(path string, offset int64, size int) ([]byte, error)
	Create(path string) (File, error)
	// Append opens an existing file to write at its end.
	Append(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
}

// File is an open file.
type File interface {
	io.Writer
	io.WriterAt
	io.Closer
	// Sync makes all that was written durable.
	Sync() error
}

// System returns the file system of the machine.
func System() FileSystem {
	return system{}
}

type system struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

func (system) List(folder string) ([]string, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
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

func (system) Lock(path string) (func(), error) {
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

func (system) Read(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return b, nil
}

func (system) ReadAt(path string, offset int64, size int) ([]byte, error) {
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

func (system) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("create file: %w", err)
	}
	return file{f}, nil
}

func (system) Append(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open file: %w", err)
	}
	if _, err := f.Seek(0, io.SeekEnd); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("seek end: %w", err)
	}
	return file{f}, nil
}

func (system) Truncate(path string, size int64) error {
	if err := os.Truncate(path, size); err != nil {
		return fmt.Errorf("truncate file: %w", err)
	}
	return nil
}

func (system) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return nil
}

func (system) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

func (system) SyncFolder(folder string) error {
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

type file struct{ *os.File }

// Sync flushes data and length; times needn't be durable.
func (f file) Sync() error {
	if err := unix.Fdatasync(int(f.Fd())); err != nil {
		return fmt.Errorf("sync file: %w", err)
	}
	return nil
}
