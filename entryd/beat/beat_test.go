package beat_test

import (
	"context"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/relay"
	"verbenahaven.example/entryd/watch"
)

// setClock shows the time that the test sets.
type setClock struct{ elapsed time.Duration }

func (c *setClock) Now() time.Time         { return time.Unix(0, 0).Add(c.elapsed) }
func (c *setClock) Elapsed() time.Duration { return c.elapsed }

// markedFleet keeps when the state was current.
type markedFleet struct {
	*relay.Fleet
	marks []time.Duration
}

func (f *markedFleet) MarkCurrent(sent time.Duration, _ uint64) { f.marks = append(f.marks, sent) }

// heldKeeper answers one heartbeat, whose reply takes some time.
type heldKeeper struct {
	proto.Keeper
	clock  *setClock
	reply  proto.HeartbeatReply
	cancel context.CancelFunc
}

func (k *heldKeeper) Heartbeat(context.Context, proto.HeartbeatRequest) (proto.HeartbeatReply, error) {
	k.clock.elapsed += 3 * time.Second
	k.cancel()
	return k.reply, nil
}

// An instance that stood still took the reply to an earlier heartbeat for news.
func TestReplyTellsStateAsOfHeartbeat(t *testing.T) {
	for _, held := range []bool{true, false} {
		c, store, m := &setClock{elapsed: time.Minute}, view.New(), meter.New()
		f := &markedFleet{Fleet: relay.NewFleet("a", "z", retry.NewSharedBudget(time.Second, 0, 0), nil, m, c, func([]string) {})}
		ctx, cancel := context.WithCancel(t.Context())
		k := &heldKeeper{clock: c, cancel: cancel}
		if held { // else the leader lost its lease before it had read all changes
			k.reply.Interval = time.Second
		}
		w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, store, k, f, nil, m, c)
		beat.New(state.Member{Name: "a"}, "a/1", k, f, w, store, m, c).Run(ctx)
		cleanup()
		if held && (len(f.marks) != 1 || f.marks[0] != time.Minute) || !held && len(f.marks) != 0 {
			t.Errorf("lease held %v: state current as of %v", held, f.marks)
		}
	}
}
