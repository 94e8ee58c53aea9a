package relay

import (
	"io"
	"sync"
	"time"

	"verbenahaven.example/core/conn/body"
)

const (
	// slowWrite is how long a caller may take for events before the engine's answer is
	// read ahead of it.
	slowWrite = 50 * time.Millisecond
	// maxReadAhead bounds the unread events of one stream, in bytes.
	maxReadAhead = 256 << 10
	// aheadBufferSize is the size of reads ahead, in bytes. So many unread bytes of each
	// stream aren't counted: a stream goes on, slowly, also if the budget is used up.
	aheadBufferSize = 4 << 10
	// roomInterval is the time between two looks for room in the budget.
	roomInterval = 50 * time.Millisecond
)

// readAhead reads an engine's answer on while the caller takes its events slowly, since
// an engine cuts off a response that remains unread for some seconds. Until the first
// slow write it passes reads through.
type readAhead struct {
	source io.Reader
	cancel func() // makes a read from the source fail
	hold   *body.Hold
	timer  *time.Timer

	mutex   sync.Mutex
	changed *sync.Cond
	writing bool
	started bool
	stopped bool
	ended   bool
	reading bool // into a buffer that counts as unread
	unread  []byte
	counted int64 // in hold
	err     error // after unread
}

// newReadAhead returns a reader of source, and a function that ends it. cancel is called
// by that function if a read is in progress.
func newReadAhead(source io.Reader, hold *body.Hold, cancel func()) (*readAhead, func()) {
	a := &readAhead{source: source, hold: hold, cancel: cancel}
	a.changed = sync.NewCond(&a.mutex)
	return a, a.stop
}

// beginWrite and endWrite surround a write to the caller, in which nothing is read from
// the reader.
func (a *readAhead) beginWrite() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.writing = true
	switch {
	case a.started:
	case a.timer == nil:
		a.timer = time.AfterFunc(slowWrite, a.start)
	default:
		a.timer.Reset(slowWrite)
	}
}

func (a *readAhead) endWrite() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.writing = false
	if a.timer != nil {
		a.timer.Stop()
	}
}

// active reports whether the answer is read ahead, so that the times of its events are
// the caller's and not the engine's.
func (a *readAhead) active() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.started
}

func (a *readAhead) start() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.writing && !a.started && !a.stopped {
		a.started = true
		go a.run()
	}
}

// run reads the source until it ends or the reader is stopped.
func (a *readAhead) run() {
	buffer := make([]byte, aheadBufferSize)
	for a.awaitRoom() {
		n, err := a.source.Read(buffer)
		a.mutex.Lock()
		a.unread, a.err = append(a.unread, buffer[:n]...), err
		a.reading = false
		a.settle()
		a.changed.Broadcast()
		a.mutex.Unlock()
		if err != nil {
			break
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ended = true
	a.changed.Broadcast()
}

// awaitRoom takes memory for a read. While there is none, the engine isn't read. It
// returns false if the reader was stopped.
func (a *readAhead) awaitRoom() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.stopped {
		more := int64(len(a.unread)) - a.counted
		if len(a.unread) < maxReadAhead && (more <= 0 || a.hold.GrowFairly(more)) {
			a.counted += max(0, more)
			a.reading = true
			return true
		}
		wake := time.AfterFunc(roomInterval, a.changed.Broadcast)
		a.changed.Wait()
		wake.Stop()
	}
	return false
}

// settle returns the memory that isn't needed any more.
func (a *readAhead) settle() {
	need := int64(len(a.unread))
	if !a.reading {
		need -= aheadBufferSize
	}
	if spare := a.counted - max(0, need); spare > 0 {
		a.hold.Shrink(spare)
		a.counted -= spare
	}
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.started {
		a.mutex.Unlock()
		n, err := a.source.Read(p)
		a.mutex.Lock()
		return n, err //nolint:wrapcheck // io.EOF must be returned as it is
	}
	for len(a.unread) == 0 && a.err == nil && !a.ended {
		a.changed.Wait()
	}
	n := copy(p, a.unread)
	a.unread = append(a.unread[:0], a.unread[n:]...)
	a.settle()
	a.changed.Broadcast()
	if len(a.unread) > 0 {
		return n, nil
	}
	return n, a.err
}

// stop ends a read in progress and returns the memory.
func (a *readAhead) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopped = true
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.started && !a.ended {
		if a.err == nil {
			a.cancel()
		}
		a.changed.Broadcast()
		for !a.ended {
			a.changed.Wait()
		}
	}
	a.hold.Release()
}
