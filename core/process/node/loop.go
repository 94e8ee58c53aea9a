package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/quorum"
)

const kind = proto.KindRaft

// maxBatch bounds the events that one turn of the loop takes.
const maxBatch = 256

// loop runs the core: one goroutine owns it.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Heartbeat / tickShare)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.step(ctx, quorum.Tick{})
		case <-n.wake:
			n.step(ctx, quorum.Persisted{Number: n.synced.Load()})
		case meta := <-n.saved:
			n.step(ctx, quorum.Saved{Meta: meta})
		case i := <-n.images:
			n.save(ctx, i)
		case e := <-n.inbox:
			n.drain(ctx, e)
		}
	}
}

// drain takes the waiting events; proposals in a row become one batch, so
// that they share messages and a sync.
func (n *Node) drain(ctx context.Context, e quorum.Event) {
	var commands []quorum.Command
	for taken := 0; ; taken++ {
		p, ok := e.(quorum.Propose)
		if ok {
			commands = append(commands, p.Commands...)
		} else {
			n.flush(ctx, commands)
			commands = nil
			n.step(ctx, e)
		}
		if taken == maxBatch {
			break
		}
		select {
		case e = <-n.inbox:
			continue
		default:
		}
		break
	}
	n.flush(ctx, commands)
}

func (n *Node) flush(ctx context.Context, commands []quorum.Command) {
	if len(commands) > 0 {
		n.step(ctx, quorum.Propose{Commands: commands})
	}
}

func (n *Node) step(ctx context.Context, e quorum.Event) {
	actions := n.core.Step(n.clock.Elapsed(), e)
	// Before anything leaves: a lease given up must not be seen any more.
	n.publish()
	for _, a := range actions {
		n.act(ctx, a)
	}
}

// act carries out an action. Work for other goroutines goes through rings; a
// full one holds the loop back.
func (n *Node) act(ctx context.Context, a quorum.Action) {
	switch a := a.(type) {
	case quorum.Persist:
		put(ctx, n.writes, write{persist: &a})
	case quorum.Send:
		n.post(ctx, a.Message)
	case quorum.Rejected:
		n.meter.Count("raft", "refused", reason(a.Reason))
		n.resolve(a.ID, outcome{err: translate(a.Reason)})
	case quorum.Note:
		klog.Infof("%s: %s", n.settings.Name, a.Text)
	default:
		put(ctx, n.applies, any(a))
	}
}

func put[T any](ctx context.Context, ring chan<- T, v T) {
	select {
	case ring <- v:
	case <-ctx.Done():
	}
}

// maxSenders bounds the instances that a member of an open group sends to:
// the members of the largest group and their predecessors, several times over.
const maxSenders = 8 * quorum.MaxMembers

func (n *Node) post(ctx context.Context, m quorum.Message) {
	s, ok := n.senders[m.To]
	if !ok && n.settings.Open && len(n.senders) < maxSenders {
		s, ok = n.startSender(ctx, m.To, m.To), true
	}
	if !ok {
		n.meter.Count("raft", "dropped", "unknown_peer")
		return
	}
	select {
	case s.ring <- m:
	default:
		n.meter.Count("raft", "dropped", "ring_full")
	}
}

// receive takes messages of a peer.
func (n *Node) receive(_ context.Context, peer string, batch []quorum.Message) (struct{}, error) {
	for _, m := range batch {
		if m.From != peer {
			n.meter.Count("raft", "refused", "forged")
			return struct{}{}, &link.Remote{Code: link.CodeBad, Detail: "sender is not " + m.From}
		}
		if _, ok := n.settings.Peers[peer]; !ok && !n.settings.Open {
			n.meter.Count("raft", "refused", "unknown_peer")
			return struct{}{}, &link.Remote{Code: link.CodeBad, Detail: "unknown peer " + peer}
		}
		select {
		case n.inbox <- quorum.Receive{Message: m}:
		default:
			n.meter.Count("raft", "dropped", "inbox_full")
		}
	}
	return struct{}{}, nil
}

// save hands a snapshot of the machine to the disk.
func (n *Node) save(ctx context.Context, i image) {
	meta, ok := n.core.Describe(i.index)
	if !ok {
		return
	}
	meta.Size = int64(len(i.data))
	put(ctx, n.writes, write{snapshot: &quorum.Snapshot{Meta: meta, Data: i.data}})
}

func reason(err error) string {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return "not_leader"
	case errors.Is(err, quorum.ErrLost):
		return "lost"
	case errors.Is(err, quorum.ErrFull):
		return "full"
	case errors.Is(err, quorum.ErrMalformed):
		return "malformed"
	default:
		return "change"
	}
}

func translate(err error) error {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return ErrNotLeader
	case errors.Is(err, quorum.ErrLost):
		return ErrLost
	case errors.Is(err, quorum.ErrFull):
		return ErrFull
	default:
		return err
	}
}
