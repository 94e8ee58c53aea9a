package body

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// ErrNoRoom reports a body that doesn't fit beside the others that are held.
var ErrNoRoom = errors.New("too many large bodies at once")

const (
	// smallBody is the size up to which the beginning of a body may also use the
	// budget's reserve, in bytes.
	smallBody = 64 << 10
	// minRead is the size of the first buffer, in bytes.
	minRead = 1 << 10
	// reserveShare is the part of a budget, besides its size, that only beginnings of
	// bodies may use, so that large bodies leave room for small ones.
	reserveShare = 8
	// maxWait bounds the wait for room. Servers cut off a response that remains unread
	// for some seconds.
	maxWait = time.Second
	// retryInterval is the time between two looks for slow holders while a body waits.
	retryInterval = 20 * time.Millisecond
	// slowAfter is how long a body may take to be delivered before it may be given up
	// for others: less than maxWait, which the others wait.
	slowAfter = maxWait / 4
	// agingInterval is the wait that weighs as much as one step of priority, so that
	// less urgent bodies aren't starved.
	agingInterval = 100 * time.Millisecond
)

// DefaultSize is that of a budget whose user names none, in bytes.
const DefaultSize = 64 << 20

// Budget bounds the memory of the bodies that are held at one time.
type Budget struct {
	mutex   sync.Mutex
	size    int64
	free    int64
	reserve int64 // for beginnings of bodies
	used    int64
	peak    int64
	waiting []*waiter
	slow    map[*Hold]struct{} // that are being delivered
}

type waiter struct {
	hold  *Hold
	need  int64
	since time.Time
	ready chan struct{} // closed when the hold has what it needs
}

// rank returns the order of a waiter. The lowest goes first.
func (w *waiter) rank() time.Time {
	return w.since.Add(time.Duration(w.hold.priority) * agingInterval)
}

// Hold is the memory that is held for one call. It isn't safe for concurrent use,
// except for Release, which may be called more than once.
type Hold struct {
	budget    *Budget
	priority  int // lower is more urgent
	taken     int64
	reserved  int64 // of the budget's reserve
	delivered time.Time
	cut       func()
	released  bool
}

// NewBudget returns a budget in bytes.
func NewBudget(size int64) *Budget {
	return &Budget{size: size, free: size, reserve: size / reserveShare, slow: make(map[*Hold]struct{})}
}

// Size returns the budget's size, without its reserve.
func (b *Budget) Size() int64 { return b.size }

// Used returns the bytes that are held now, and the most that were.
func (b *Budget) Used() (now, peak int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used, b.peak
}

// Fits reports whether a body of n bytes fits now.
func (b *Budget) Fits(n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return n <= b.free || n <= smallBody && n <= b.reserve
}

// Hold returns an empty hold of a priority.
func (b *Budget) Hold(priority int) *Hold { return &Hold{budget: b, priority: priority} }

func (b *Budget) take(h *Hold, n int64) bool {
	switch {
	case h.released:
		return false
	case n <= b.free:
		b.free -= n
		h.taken += n
	case h.taken+h.reserved+n <= smallBody && n <= b.reserve:
		b.reserve -= n
		h.reserved += n
	default:
		return false
	}
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

// Grow takes n more bytes at once, and reports whether they fit.
func (h *Hold) Grow(n int64) bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	return h.budget.take(h, n)
}

// GrowFairly is Grow for memory that isn't needed. The hold may be as large as a part
// of what is free, which is smaller for less urgent holds: however many there are, a
// further one finds room.
func (h *Hold) GrowFairly(n int64) bool {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if (h.taken+n)*int64(1+max(0, h.priority)) > h.budget.free {
		return false
	}
	return h.budget.take(h, n)
}

// Shrink returns n of the bytes that GrowFairly took.
func (h *Hold) Shrink(n int64) {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.released {
		return
	}
	h.taken -= n
	b.free += n
	b.used -= n
	b.grant()
}

// Wait takes n more bytes, and waits for them if they don't fit. Urgent holds go first,
// and the longer one waits the more urgent it is. Bodies whose delivery takes long are
// given up meanwhile: the least urgent one first, then the largest. A hold that has
// memory must not wait.
func (h *Hold) Wait(ctx context.Context, n int64) error {
	b := h.budget
	w := &waiter{hold: h, need: n, since: time.Now(), ready: make(chan struct{})}
	b.mutex.Lock()
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ready:
			return nil
		default:
		}
		b.cutSlow()
		select {
		case <-w.ready:
			return nil
		case <-ticker.C:
		case <-ctx.Done():
			if b.leave(w) {
				return ErrNoRoom
			}
			return nil
		}
	}
}

// leave takes a waiter out, and reports whether it was still waiting.
func (b *Budget) leave(w *waiter) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.grant()
	return true
}

// grant gives room to those that wait, in their order. None is passed by, since a large
// body would never fit beside small ones that come later.
func (b *Budget) grant() {
	slices.SortStableFunc(b.waiting, func(v, w *waiter) int { return v.rank().Compare(w.rank()) })
	for len(b.waiting) > 0 && b.take(b.waiting[0].hold, b.waiting[0].need) {
		close(b.waiting[0].ready)
		b.waiting = b.waiting[1:]
	}
}

// cutSlow gives up one body whose delivery takes long, if any waits.
func (b *Budget) cutSlow() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waiting) == 0 {
		return
	}
	var worst *Hold
	for h := range b.slow {
		if time.Since(h.delivered) < slowAfter {
			continue
		}
		if worst == nil || h.priority > worst.priority || h.priority == worst.priority && h.taken > worst.taken {
			worst = h
		}
	}
	if worst != nil {
		delete(b.slow, worst)
		go worst.cut()
	}
}

// Delivering records that the body is complete and now written to its reader. cut ends
// the delivery; it is called if others wait for the memory and the reader is slow.
func (h *Hold) Delivering(cut func()) {
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.delivered, h.cut = time.Now(), cut
	h.budget.slow[h] = struct{}{}
}

// Release returns all memory of the hold, which can't grow any more.
func (h *Hold) Release() {
	b := h.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(b.slow, h)
	b.free += h.taken
	b.reserve += h.reserved
	b.used -= h.taken + h.reserved
	b.grant()
}

// Read is like the function Read, with a buffer within the budget. length is the
// body's length, or negative if it isn't known. Each byte of the buffer counts copies
// times. Memory that the hold has already counts towards the buffer.
func (h *Hold) Read(r io.Reader, limit, length, copies int64) ([]byte, error) {
	size := int64(minRead)
	if length >= 0 {
		size = min(size, max(length, 1))
	}
	if !h.growTo(size * copies) {
		return nil, ErrNoRoom
	}
	content := make([]byte, 0, size)
	for {
		free := content[len(content):size]
		if int64(len(content)) == length {
			free = make([]byte, 1) // for io.EOF
		} else if len(free) == 0 {
			more := size // the buffer doubles
			if length > size {
				more = min(more, length-size)
			}
			if !h.growTo((size + more) * copies) {
				return nil, ErrNoRoom
			}
			size += more
			content = append(make([]byte, 0, size), content...)
			free = content[len(content):size]
		}
		n, err := r.Read(free)
		if int64(len(content)) == length && n > 0 {
			return nil, fmt.Errorf("%w: over its length of %d bytes", ErrTooLarge, length)
		}
		content = content[:len(content)+n]
		if int64(len(content)) > limit {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

func (h *Hold) growTo(n int64) bool {
	held := h.taken + h.reserved
	return n <= held || h.Grow(n-held)
}
