package node_test

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"

	"verbenahaven.example/core/process/disk"
)

var errNoPower = errors.New("no power")

// smallDisk is a file system in memory with a limited size. Without power it fails
// every call, and what wasn't synced is gone afterwards.
type smallDisk struct {
	mutex    sync.Mutex
	files    map[string]*smallFile
	durable  map[string]*smallFile // names as of the last sync of the folder
	capacity int
	peak     int // largest size so far
	off      bool
	onWrite  func(path string) error // called before each write, may be nil
	onCreate func(path string) error // called before a file is created, may be nil
}

type smallFile struct {
	disk   *smallDisk
	path   string
	data   []byte
	synced []byte
}

func newSmallDisk(capacity int) *smallDisk {
	return &smallDisk{files: make(map[string]*smallFile), durable: make(map[string]*smallFile), capacity: capacity}
}

// cutPower makes all further calls fail.
func (d *smallDisk) cutPower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.off = true
}

// afterPowerLoss returns what the disk holds when the power is back.
func (d *smallDisk) afterPowerLoss() *smallDisk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := newSmallDisk(d.capacity)
	for path, f := range d.durable {
		kept := &smallFile{disk: next, path: path, data: slices.Clone(f.synced), synced: slices.Clone(f.synced)}
		next.files[path], next.durable[path] = kept, kept
	}
	return next
}

// fill leaves the given number of bytes free, as if other files took the rest.
func (d *smallDisk) fill(free int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = d.size() + free
}

func (d *smallDisk) setCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// usage returns the largest size so far, and whether the disk has power.
func (d *smallDisk) usage() (peak int, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peak, !d.off
}

func (d *smallDisk) size() int {
	n := 0
	for _, f := range d.files {
		n += len(f.data)
	}
	return n
}

// do calls f with the lock held, unless the power is off.
func (d *smallDisk) do(f func() error) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.off {
		return errNoPower
	}
	return f()
}

// with calls f with a file that exists.
func (d *smallDisk) with(path string, f func(*smallFile) error) error {
	return d.do(func() error {
		v, found := d.files[path]
		if !found {
			return fs.ErrNotExist
		}
		return f(v)
	})
}

func (d *smallDisk) List(folder string) (names []string, err error) {
	err = d.do(func() error {
		for path := range d.files {
			if rest, inside := strings.CutPrefix(path, folder+"/"); inside {
				name, _, _ := strings.Cut(rest, "/")
				names = append(names, name)
			}
		}
		slices.Sort(names)
		names = slices.Compact(names)
		return nil
	})
	return names, err
}

func (d *smallDisk) Lock(string) (func(), error) { return func() {}, nil }

func (d *smallDisk) Read(path string) (b []byte, err error) {
	err = d.with(path, func(f *smallFile) error {
		b = slices.Clone(f.data)
		return nil
	})
	return b, err
}

func (d *smallDisk) ReadAt(path string, offset int64, size int) (b []byte, err error) {
	err = d.with(path, func(f *smallFile) error {
		from := min(int(offset), len(f.data))
		b = slices.Clone(f.data[from:min(from+size, len(f.data))])
		return nil
	})
	return b, err
}

func (d *smallDisk) Create(path string) (disk.File, error) {
	if d.onCreate != nil {
		if err := d.onCreate(path); err != nil {
			return nil, err
		}
	}
	f := &smallFile{disk: d, path: path}
	return f, d.do(func() error {
		d.files[path] = f
		return nil
	})
}

func (d *smallDisk) Append(path string) (f disk.File, err error) {
	err = d.with(path, func(v *smallFile) error {
		f = v
		return nil
	})
	return f, err
}

func (d *smallDisk) Truncate(path string, size int64) error {
	return d.with(path, func(f *smallFile) error {
		f.data = f.data[:size:size]
		return nil
	})
}

func (d *smallDisk) Rename(from, to string) error {
	return d.with(from, func(f *smallFile) error {
		f.path, d.files[to] = to, f
		delete(d.files, from)
		return nil
	})
}

func (d *smallDisk) Remove(path string) error {
	return d.do(func() error {
		delete(d.files, path)
		return nil
	})
}

func (d *smallDisk) Size(path string) (n int64, err error) {
	err = d.with(path, func(f *smallFile) error {
		n = int64(len(f.data))
		return nil
	})
	return n, err
}

func (d *smallDisk) Free(string) (int64, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return int64(d.capacity - d.size()), true
}

func (d *smallDisk) SyncFolder(string) error {
	return d.do(func() error {
		d.durable = maps.Clone(d.files)
		return nil
	})
}

func (f *smallFile) Write(b []byte) (int, error) { return f.WriteAt(b, int64(len(f.data))) }

func (f *smallFile) WriteAt(b []byte, at int64) (int, error) {
	d := f.disk
	if d.onWrite != nil {
		if err := d.onWrite(f.path); err != nil {
			return 0, err
		}
	}
	var full error // what fits is written
	err := d.do(func() error {
		free := max(0, d.capacity-d.size())
		if end := int(at) + len(b); end > len(f.data)+free {
			b, full = b[:max(0, len(f.data)+free-int(at))], syscall.ENOSPC
		}
		if end := int(at) + len(b); end > len(f.data) {
			f.data = append(f.data, make([]byte, end-len(f.data))...)
		}
		copy(f.data[at:], b)
		d.peak = max(d.peak, d.size())
		return full
	})
	if err != nil && full == nil {
		return 0, err
	}
	return len(b), err
}

func (f *smallFile) Sync() error {
	return f.disk.do(func() error {
		f.synced = slices.Clone(f.data)
		return nil
	})
}

func (f *smallFile) Close() error { return nil }
