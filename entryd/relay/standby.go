package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenahaven.example/core/process/safe"
	"verbenahaven.example/core/request/hedge"
)

// standbyInterval is the time between two preparations of a second attempt while the
// engine stays silent.
const standbyInterval = 300 * time.Millisecond

// maxOverlap is how long two engines may have one request.
const maxOverlap = 300 * time.Millisecond

// errMoved is why a run ends whose stream goes on at another engine.
var errMoved = errors.New("the stream goes on at another engine")

// standby prepares a second attempt while the engine of a run is silent. The run's own
// goroutine reads the engine's answer meanwhile, and calls settle before it uses any of
// it.
type standby struct {
	run *run
	// prepare returns a run whose engine answers or has kept the request for maxOverlap,
	// or nil. Before it sends the request to that engine, it asks commit.
	prepare func(ctx context.Context, commit func() bool) *run

	counter safe.Counter

	mutex   sync.Mutex
	stream  hedge.Stream
	timer   *time.Timer
	armed   int                // counts arm and settle, so that a late timer does nothing
	cancel  context.CancelFunc // of the current preparation
	done    chan struct{}      // closed when the current preparation ends, nil without one
	nextRun *run
}

// arm restarts the time that the engine may be silent. 0 means forever.
func (s *standby) arm(ctx context.Context, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.armLocked(ctx, timeout)
}

func (s *standby) armLocked(ctx context.Context, timeout time.Duration) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.armed++
	armed := s.armed
	s.timer = time.AfterFunc(timeout, func() { s.begin(ctx, armed) })
}

// begin prepares a second attempt, and again after a while if there can't be one yet.
func (s *standby) begin(ctx context.Context, armed int) {
	s.mutex.Lock()
	if armed != s.armed || ctx.Err() != nil || !s.stream.Silent() {
		s.mutex.Unlock()
		return
	}
	prepareCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cancel, s.done = cancel, make(chan struct{})
	s.mutex.Unlock()

	// The timer's goroutine has no handler of net/http around it.
	var next *run
	safe.Run(s.counter, "standby", s.run.name, func() { next = s.prepare(prepareCtx, s.commit) })

	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stream.Conclude(next != nil)
	if s.stream.Moved() {
		s.nextRun = next
		s.run.cancel(errMoved)
	} else if armed == s.armed {
		s.armLocked(ctx, standbyInterval)
	}
	close(s.done)
	s.done = nil
}

// commit reports whether the second attempt may be sent now.
func (s *standby) commit() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stream.Commit()
}

// settle records that the engine went on, or that it broke off. It returns the run with
// which the stream goes on at another engine, or nil if it stays; then nothing runs beside
// the caller. A second attempt is given up if the engine went on, unless its engine begins
// within maxOverlap, and awaited if it broke off.
func (s *standby) settle(goesOn bool) *run {
	s.mutex.Lock()
	s.armed++
	if s.timer != nil {
		s.timer.Stop()
	}
	done := s.done
	if (s.stream.Progress() || goesOn) && done != nil {
		s.cancel()
	}
	s.mutex.Unlock()
	if done != nil {
		<-done
	}
	return s.nextRun
}
