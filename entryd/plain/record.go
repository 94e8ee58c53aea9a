package plain

import (
	"context"
	"sync/atomic"
	"time"
)

const recordingPollPeriod = 5 * time.Millisecond

// recorder counts the outcomes that are being recorded.
type recorder struct {
	running atomic.Int64
	ended   context.Context // ends when what isn't recorded yet is given up
	giveUp  context.CancelFunc
}

func newRecorder() (*recorder, context.CancelFunc) {
	ended, giveUp := context.WithCancel(context.Background())
	return &recorder{ended: ended, giveUp: giveUp}, giveUp
}

// begin returns the context in which an outcome is recorded, which doesn't end with the
// call, and a function to call afterwards.
func (r *recorder) begin(ctx context.Context) (recording context.Context, done func()) {
	r.running.Add(1)
	recording, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unlink := context.AfterFunc(r.ended, cancel)
	return recording, func() {
		unlink()
		cancel()
		r.running.Add(-1)
	}
}

// end waits until all outcomes are recorded. When ctx ends, it gives up the others.
func (r *recorder) end(ctx context.Context) {
	defer context.AfterFunc(ctx, r.giveUp)()
	for r.running.Load() > 0 {
		time.Sleep(recordingPollPeriod)
	}
}
