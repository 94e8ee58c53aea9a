// Package exit ends a process that doesn't finish its shutdown within its grace period, so
// that a disk, a connection or a peer that hangs doesn't keep it alive. It answers no load.
package exit

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"verbenahaven.example/core/process/boot"
)

const (
	// DefaultGrace applies where no grace period is set. One that is too long would have
	// the process killed before it has answered the calls that it cuts.
	DefaultGrace = 8 * time.Second
	// forcedShare is the share of the grace after which the process exits.
	forcedShare = 0.98
	// profileTimeout bounds the time to write the running goroutines.
	profileTimeout = 50 * time.Millisecond
)

// Bound bounds the time that a process takes to end.
type Bound struct {
	program string
	output  io.Writer
	exit    func(code int)
	grace   atomic.Int64
	began   atomic.Pointer[time.Time]
	once    sync.Once
}

// NewBound returns the bound of this process, a program, with the default grace period.
func NewBound(program string) *Bound {
	b := &Bound{program: program, output: os.Stderr, exit: os.Exit}
	b.SetGrace(0)
	return b
}

// SetGrace sets the grace period. One that isn't positive stands for the default.
func (b *Bound) SetGrace(d time.Duration) {
	if d <= 0 {
		d = DefaultGrace
	}
	b.grace.Store(int64(d))
}

// Grace returns the grace period.
func (b *Bound) Grace() time.Duration { return time.Duration(b.grace.Load()) }

// Begin returns when the shutdown began: now, unless Watch saw it begin, which may have been
// while the process was still starting.
func (b *Bound) Begin() time.Time {
	now := time.Now()
	b.began.CompareAndSwap(nil, &now)
	if began := b.began.Load(); began != nil { // not released meanwhile
		return *began
	}
	return now
}

// Watch makes the process exit if it still runs shortly before the end of the grace
// period that begins when ctx ends. It goes on if release is called before.
func (b *Bound) Watch(ctx context.Context) (release func()) {
	watched, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		select {
		case <-watched.Done():
			return
		case <-ctx.Done():
		}
		b.Begin()
		select {
		case <-watched.Done():
		case <-time.After(time.Duration(forcedShare * float64(b.Grace()))):
			b.force()
		}
	}()
	return func() {
		cancel()
		b.began.Store(nil)
	}
}

// force exits. It tells before which goroutines run, unless nobody reads that.
func (b *Bound) force() {
	b.once.Do(func() {
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = fmt.Fprintf(b.output, "%s: shutdown did not finish within the grace period; exiting with these goroutines running:\n", b.program)
			_ = pprof.Lookup("goroutine").WriteTo(b.output, 1) // an error can't be reported anywhere else
		}()
		select {
		case <-written:
		case <-time.After(profileTimeout):
		}
		b.exit(boot.ExitFailure)
	})
}
