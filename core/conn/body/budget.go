package body

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// ErrNoRoom reports a body that doesn't fit beside the other large ones.
var ErrNoRoom = errors.New("too many large bodies at once")

const (
	// smallBody is the size up to which a body isn't counted, in bytes.
	smallBody = 64 << 10
	// minRead is the size of the first buffer, in bytes.
	minRead = 1 << 10
)

// Budget bounds the memory of the large bodies that are held at one time.
type Budget struct {
	mutex sync.Mutex
	free  int64
}

// NewBudget returns a budget in bytes.
func NewBudget(size int64) *Budget { return &Budget{free: size} }

func (b *Budget) take(n int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if n > b.free {
		return false
	}
	b.free -= n
	return true
}

func (b *Budget) release(n int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.free += n
}

// Read is like the function Read, within the budget. The memory counts until
// release is called, which must be called once if there is no error.
func (b *Budget) Read(r io.Reader, limit int64) (content []byte, release func(), err error) {
	var taken int64
	defer func() {
		if err != nil {
			b.release(taken)
		}
	}()
	content = make([]byte, 0, minRead)
	for {
		if len(content) == cap(content) {
			more := int64(cap(content)) // the buffer doubles
			if 2*more > smallBody {
				if !b.take(more) {
					return nil, nil, ErrNoRoom
				}
				taken += more
			}
			content = slices.Grow(content, int(more))
		}
		n, err := r.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if int64(len(content)) > limit {
			return nil, nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
		}
		if errors.Is(err, io.EOF) {
			return content, func() { b.release(taken) }, nil
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read body: %w", err)
		}
	}
}
