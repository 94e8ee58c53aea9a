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

// memory is a file system that loses what wasn't synced when it crashes, and
// brings faults about at a chosen operation.
type memory struct {
	files map[string]*memoryFile // as the process sees them
	saved map[string]*memoryFile // names that are durable
	names []func()               // changes of names that aren't durable yet

	operations int
	crashAt    int // operation at which the machine crashes, 0 for never
	syncFault  int // operation at which a sync fails, 0 for never
	room       int // bytes that fit, 0 for no limit
	liar       bool
	nameLiar   bool
}

type memoryFile struct {
	data    []byte
	durable []byte
	writes  []memoryWrite // not synced
	owner   *memory
}

type memoryWrite struct {
	at   int
	data []byte // nil for a cut at at
}

func newMemory() *memory {
	return &memory{files: make(map[string]*memoryFile), saved: make(map[string]*memoryFile)}
}

func (m *memory) operate() error {
	m.operations++
	if m.crashAt > 0 && m.operations >= m.crashAt {
		return errCrashed
	}
	return nil
}

// crash returns what the machine finds after it restarts: of what wasn't
// synced, a random part from the start.
func (m *memory) crash(r *rand.Rand) *memory {
	for _, change := range m.names[:r.IntN(len(m.names)+1)] {
		change()
	}
	next := newMemory()
	for _, name := range sorted(m.saved) {
		f := m.saved[name]
		data := slices.Clone(f.durable)
		n := r.IntN(len(f.writes) + 1)
		for _, w := range f.writes[:n] {
			data = w.apply(data)
		}
		if n < len(f.writes) && f.writes[n].data != nil {
			w := f.writes[n]
			w.data = w.data[:r.IntN(len(w.data)+1)]
			data = w.apply(data)
		}
		kept := &memoryFile{data: data, durable: slices.Clone(data), owner: next}
		next.files[name], next.saved[name] = kept, kept
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

func (m *memory) rename(change func(files map[string]*memoryFile)) error {
	if err := m.operate(); err != nil {
		return err
	}
	change(m.files)
	m.names = append(m.names, func() { change(m.saved) })
	return nil
}

func (m *memory) List(folder string) ([]string, error) {
	var names []string
	for name := range m.files {
		if rest, ok := strings.CutPrefix(name, folder+"/"); ok && !strings.Contains(rest, "/") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Lock(string) (func(), error) { return func() {}, nil }

func (m *memory) Read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memory) ReadAt(name string, offset int64, size int) ([]byte, error) {
	b, err := m.Read(name)
	if err != nil {
		return nil, err
	}
	from := min(int(offset), len(b))
	return b[from:min(from+size, len(b))], nil
}

func (m *memory) Create(name string) (disk.File, error) {
	f := &memoryFile{owner: m}
	err := m.rename(func(files map[string]*memoryFile) { files[name] = f })
	return f, err
}

func (m *memory) Append(name string) (disk.File, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return f, nil
}

func (m *memory) Truncate(name string, size int64) error {
	if err := m.operate(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.writes = append(f.writes, memoryWrite{at: int(size)})
	return nil
}

func (m *memory) Rename(from, to string) error {
	return m.rename(func(files map[string]*memoryFile) {
		if f, ok := files[from]; ok {
			files[to] = f
			delete(files, from)
		}
	})
}

func (m *memory) Remove(name string) error {
	return m.rename(func(files map[string]*memoryFile) { delete(files, name) })
}

func (m *memory) SyncFolder(string) error {
	if err := m.operate(); err != nil {
		return err
	}
	if m.nameLiar {
		return nil
	}
	for _, change := range m.names {
		change()
	}
	m.names = nil
	return nil
}

func (m *memory) size() int {
	n := 0
	for _, f := range m.files {
		n += len(f.data)
	}
	return n
}

func (f *memoryFile) Write(b []byte) (int, error) { return f.WriteAt(b, int64(len(f.data))) }

func (f *memoryFile) WriteAt(b []byte, at int64) (int, error) {
	if err := f.owner.operate(); err != nil {
		return 0, err
	}
	if room := f.owner.room; room > 0 && f.owner.size()+len(b) > room {
		return 0, syscall.ENOSPC
	}
	w := memoryWrite{at: int(at), data: append([]byte{}, b...)}
	f.data = w.apply(f.data)
	f.writes = append(f.writes, w)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if err := f.owner.operate(); err != nil {
		return err
	}
	if f.owner.syncFault > 0 && f.owner.operations >= f.owner.syncFault {
		return errSync
	}
	if !f.owner.liar {
		f.durable, f.writes = slices.Clone(f.data), nil
	}
	return nil
}

func (f *memoryFile) Close() error { return nil }

// flip damages a byte that was durable.
func (m *memory) flip(name string, at int) {
	f := m.files[name]
	f.data[at] ^= 0x40
	f.durable = slices.Clone(f.data)
}

// find returns the names that begin with a prefix.
func (m *memory) find(prefix string) []string {
	var found []string
	for _, name := range sorted(m.files) {
		if strings.HasPrefix(path.Base(name), prefix) {
			found = append(found, name)
		}
	}
	return found
}
