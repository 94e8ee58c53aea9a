package disk_test

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"syscall"

	"verbenahaven.example/core/process/disk"
)

var (
	errCrashed = errors.New("crashed")
	errSync    = errors.New("sync failed")
)

// memoryFS is an in-memory file system that loses unsynced data in a crash and
// injects faults at a chosen operation.
type memoryFS struct {
	files              map[string]*memoryFile // as seen by the running process
	durableFiles       map[string]*memoryFile // files that exist after a crash
	pendingNameChanges []func()               // creations, renames and removals that aren't durable yet

	operations     int
	crashAt        int  // number of the operation at which the machine crashes, 0 for never
	failSyncAt     int  // number of the operation from which on syncs fail, 0 for never
	dropFailedSync bool // what a failed sync didn't write is read, but never written by a later one
	capacityBytes  int  // size of the disk, 0 for unlimited
	fullAt         int  // number of the operation from which on files don't grow, 0 for never
	skipFileSync   bool
	skipFolderSync bool
}

type memoryFile struct {
	data           []byte
	durable        []byte
	unsyncedWrites []memoryWrite // in order
	fs             *memoryFS
}

type memoryWrite struct {
	at   int
	data []byte // nil for a truncation to at bytes
}

func newMemory() *memoryFS {
	return &memoryFS{files: make(map[string]*memoryFile), durableFiles: make(map[string]*memoryFile)}
}

func (m *memoryFS) countOperation() error {
	m.operations++
	if m.crashAt > 0 && m.operations >= m.crashAt {
		return errCrashed
	}
	return nil
}

// crash returns the file system after a restart. Of the unsynced changes a
// random prefix survives; the write after it may be torn.
func (m *memoryFS) crash(r *rand.Rand) *memoryFS {
	for _, change := range m.pendingNameChanges[:r.IntN(len(m.pendingNameChanges)+1)] {
		change()
	}
	next := newMemory()
	for _, name := range sorted(m.durableFiles) {
		f := m.durableFiles[name]
		data := slices.Clone(f.durable)
		n := r.IntN(len(f.unsyncedWrites) + 1)
		for _, w := range f.unsyncedWrites[:n] {
			data = w.apply(data)
		}
		if n < len(f.unsyncedWrites) && f.unsyncedWrites[n].data != nil {
			w := f.unsyncedWrites[n]
			w.data = w.data[:r.IntN(len(w.data)+1)]
			data = w.apply(data)
		}
		kept := &memoryFile{data: data, durable: slices.Clone(data), fs: next}
		next.files[name], next.durableFiles[name] = kept, kept
	}
	return next
}

func sorted(files map[string]*memoryFile) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w memoryWrite) apply(data []byte) []byte {
	if w.data == nil {
		return data[:min(w.at, len(data))]
	}
	for len(data) < w.at+len(w.data) {
		data = append(data, 0)
	}
	copy(data[w.at:], w.data)
	return data
}

func (m *memoryFS) changeNames(change func(files map[string]*memoryFile)) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	change(m.files)
	m.pendingNameChanges = append(m.pendingNameChanges, func() { change(m.durableFiles) })
	return nil
}

func (m *memoryFS) List(folder string) ([]string, error) {
	var names []string
	for name := range m.files {
		if rest, ok := strings.CutPrefix(name, folder+"/"); ok && !strings.Contains(rest, "/") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memoryFS) Lock(string) (func(), error) { return func() {}, nil }

func (m *memoryFS) Read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memoryFS) ReadAt(name string, offset int64, size int) ([]byte, error) {
	b, err := m.Read(name)
	if err != nil {
		return nil, err
	}
	from := min(int(offset), len(b))
	return b[from:min(from+size, len(b))], nil
}

func (m *memoryFS) Create(name string) (disk.File, error) {
	f := &memoryFile{fs: m}
	err := m.changeNames(func(files map[string]*memoryFile) { files[name] = f })
	return f, err
}

func (m *memoryFS) Append(name string) (disk.File, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memoryFS) Truncate(name string, size int64) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.unsyncedWrites = append(f.unsyncedWrites, memoryWrite{at: int(size)})
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	return m.changeNames(func(files map[string]*memoryFile) {
		if f, ok := files[from]; ok {
			files[to] = f
			delete(files, from)
		}
	})
}

func (m *memoryFS) Remove(name string) error {
	return m.changeNames(func(files map[string]*memoryFile) { delete(files, name) })
}

func (m *memoryFS) Size(name string) (int64, error) {
	f, ok := m.files[name]
	if !ok {
		return 0, fs.ErrNotExist
	}
	return int64(len(f.data)), nil
}

func (m *memoryFS) Free(string) (int64, bool) {
	return int64(m.capacityBytes - m.size()), m.capacityBytes > 0
}

func (m *memoryFS) SyncFolder(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	if m.skipFolderSync {
		return nil
	}
	for _, change := range m.pendingNameChanges {
		change()
	}
	m.pendingNameChanges = nil
	return nil
}

func (m *memoryFS) size() int {
	n := 0
	for _, f := range m.files {
		n += len(f.data)
	}
	return n
}

func (f *memoryFile) Write(b []byte) (int, error) { return f.WriteAt(b, int64(len(f.data))) }

func (f *memoryFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.fs.countOperation(); err != nil {
		return 0, err
	}
	if limit := f.fs.capacityBytes; limit > 0 && f.fs.size()+len(b) > limit {
		return 0, syscall.ENOSPC
	}
	var full error
	if end := int(at) + len(b); f.fs.fullAt > 0 && f.fs.operations >= f.fs.fullAt && end > len(f.data) {
		b, full = b[:min(len(b), max(0, len(f.data)-int(at))+len(b)/2)], syscall.ENOSPC // a part fits
	}
	w := memoryWrite{at: int(at), data: append([]byte{}, b...)}
	f.data = w.apply(f.data)
	f.unsyncedWrites = append(f.unsyncedWrites, w)
	return len(b), full
}

func (f *memoryFile) Sync() error {
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	if f.fs.failSyncAt > 0 && f.fs.operations >= f.fs.failSyncAt {
		if f.fs.dropFailedSync {
			f.unsyncedWrites = nil
		}
		return errSync
	}
	if !f.fs.skipFileSync {
		for _, w := range f.unsyncedWrites {
			f.durable = w.apply(f.durable)
		}
		f.unsyncedWrites = nil
	}
	return nil
}

func (f *memoryFile) Close() error { return nil }

// flipBit flips a bit of a durable byte.
func (m *memoryFS) flipBit(name string, at int) {
	f := m.files[name]
	f.data[at] ^= 0x40
	f.durable = slices.Clone(f.data)
}

// namesWithPrefix returns the paths of the files whose names begin with prefix.
func (m *memoryFS) namesWithPrefix(prefix string) []string {
	var found []string
	for _, name := range sorted(m.files) {
		if strings.HasPrefix(path.Base(name), prefix) {
			found = append(found, name)
		}
	}
	return found
}
