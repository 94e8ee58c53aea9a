package relay

import (
	"context"
	"time"
)

const (
	// freshness is the age of the last confirmation up to which the builds of a pool
	// count as known: heartbeats, which bring changes, are less than a second apart.
	freshness = 1500 * time.Millisecond
	// confirmTimeout bounds the wait for a confirmation.
	confirmTimeout = time.Second
)

// confirmations tells of when the state was certainly current. The fleet's mutex
// guards it.
type confirmations struct {
	last time.Duration // elapsed time at which the heartbeat of the last one was sent, 0 for none
	next chan struct{} // closed at the next one
}

func newConfirmations() confirmations { return confirmations{next: make(chan struct{})} }

// recent reports whether the instance is in touch with the leader.
func (c *confirmations) recent(now time.Duration) bool {
	return c.last > 0 && now-c.last <= freshness
}

// MarkCurrent records that the leader's reply to a heartbeat held all changes, up to a
// version. sent is the elapsed time at which the heartbeat was sent: the reply may
// have taken long.
func (f *Fleet) MarkCurrent(sent time.Duration, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.snapshot.Version() < version || sent <= f.confirmed.last {
		return
	}
	f.confirmed.last = sent
	close(f.confirmed.next)
	f.confirmed.next = make(chan struct{})
}

// awaitConfirmation waits until the state is known to have been current at an elapsed
// time or later, and reports whether it is.
func (f *Fleet) awaitConfirmation(ctx context.Context, since time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		f.mutex.Lock()
		confirmed := f.confirmed
		f.mutex.Unlock()
		if confirmed.last >= since {
			return true
		}
		select {
		case <-confirmed.next:
		case <-ctx.Done():
			return false
		}
	}
}
