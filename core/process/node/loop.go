package node

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/quorum"
	"verbenahaven.example/core/request/rank"
)

const raftKind = proto.KindRaft

// maxBatch is the largest number of queued events, persists or messages that are
// handled together.
const maxBatch = 256

// loop runs the consensus core, which is used by this goroutine only.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(n.settings.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.step(ctx, quorum.Tick{})
		case <-n.persisted:
			n.step(ctx, quorum.Persisted{Number: n.persistedNumber.Load()})
		case meta := <-n.savedSnapshots:
			n.step(ctx, quorum.SnapshotSaved{Meta: meta})
		case s := <-n.machineSnapshots:
			n.enqueueSnapshot(ctx, s)
		case e := <-n.inbox:
			n.stepQueued(ctx, e)
		}
	}
}

// stepQueued handles e and the queued events. Consecutive proposals become one
// batch, so that they share messages and one fsync.
func (n *Node) stepQueued(ctx context.Context, e quorum.Event) {
	var commands []quorum.Command
	for steps := 0; ; steps++ {
		p, ok := e.(quorum.Propose)
		if ok {
			commands = append(commands, p.Commands...)
		} else {
			n.stepProposals(ctx, commands)
			commands = nil
			n.step(ctx, e)
		}
		if steps == maxBatch {
			break
		}
		select {
		case e = <-n.inbox:
			continue
		default:
		}
		break
	}
	n.stepProposals(ctx, commands)
}

func (n *Node) stepProposals(ctx context.Context, commands []quorum.Command) {
	if len(commands) > 0 {
		n.step(ctx, quorum.Propose{Commands: commands})
	}
}

func (n *Node) step(ctx context.Context, e quorum.Event) {
	actions := n.core.Step(n.clock.Elapsed(), e)
	// Before any action is executed: no reader may see a lease that the core
	// has given up.
	n.publish()
	for _, a := range actions {
		n.execute(ctx, a)
	}
}

// execute executes an action of the core. Work for the disk and the applier is
// queued; a full queue blocks the loop.
func (n *Node) execute(ctx context.Context, a quorum.Action) {
	switch a := a.(type) {
	case quorum.Persist:
		enqueue(ctx, n.writeQueue, diskWrite{persist: &a})
	case quorum.Send:
		n.enqueueMessage(ctx, a.Message)
	case quorum.Rejected:
		n.meter.Count("raft", "refused", rejectionLabel(a.Reason))
		n.resolve(a.ID, outcome{err: publicError(a.Reason)})
	case quorum.Note:
		klog.Infof("%s: %s", n.settings.Name, a.Text)
	default:
		enqueue(ctx, n.applyQueue, any(a))
	}
}

func enqueue[T any](ctx context.Context, queue chan<- T, v T) {
	select {
	case queue <- v:
	case <-ctx.Done():
	}
}

// maxSenders is the largest number of instances that a member of a group with
// open membership sends to at a time. It leaves room for the members of the largest
// group and the instances that they replaced, several times over.
const maxSenders = 8 * quorum.MaxMembers

func (n *Node) enqueueMessage(ctx context.Context, m quorum.Message) {
	s, ok := n.senders[m.To]
	if !ok && n.settings.OpenMembership {
		n.makeRoomForSender()
		s, ok = n.startSender(ctx, m.To, m.To), true
	}
	if !ok {
		n.meter.Count("raft", "dropped", "unknown_peer")
		return
	}
	s.used = n.clock.Now()
	select {
	case s.queue <- m:
	default:
		n.meter.Count("raft", "dropped", "ring_full")
	}
}

// makeRoomForSender stops the sender that was unused for longest, if there are too many.
func (n *Node) makeRoomForSender() {
	if len(n.senders) < maxSenders {
		return
	}
	name := rank.Oldest(n.senders, func(s *sender) time.Time { return s.used })
	n.senders[name].stop()
	delete(n.senders, name)
	n.meter.Count("raft", "sender", "stopped")
}

// receive queues the messages of a peer for the loop. It rejects those with
// another sender's name and those of an unknown peer.
func (n *Node) receive(_ context.Context, peer string, batch []quorum.Message) (struct{}, error) {
	for _, m := range batch {
		if m.From != peer {
			n.meter.Count("raft", "refused", "forged")
			return struct{}{}, &link.RemoteError{Code: link.CodeBadMessage, Detail: "sender is not " + m.From}
		}
		if _, ok := n.settings.Peers[peer]; !ok && !n.settings.OpenMembership {
			n.meter.Count("raft", "refused", "unknown_peer")
			return struct{}{}, &link.RemoteError{Code: link.CodeBadMessage, Detail: "unknown peer " + peer}
		}
		select {
		case n.inbox <- quorum.Receive{Message: m}:
		default:
			n.meter.Count("raft", "dropped", "inbox_full")
		}
	}
	return struct{}{}, nil
}

// SetSeeds tells a member of a group with open membership the seeds of changed settings.
func (n *Node) SetSeeds(addresses []string) {
	select {
	case n.inbox <- quorum.Seeds{Names: addresses}:
	case <-n.done:
	}
}

// enqueueSnapshot queues a snapshot of the state machine to be written.
func (n *Node) enqueueSnapshot(ctx context.Context, s machineSnapshot) {
	meta, ok := n.core.SnapshotMeta(s.index)
	if !ok {
		n.savingSnapshot.Store(false)
		return
	}
	meta.Size = int64(len(s.data))
	enqueue(ctx, n.writeQueue, diskWrite{snapshot: &quorum.Snapshot{Meta: meta, Data: s.data}})
}

func rejectionLabel(err error) string {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return "not_leader"
	case errors.Is(err, quorum.ErrLeadershipLost):
		return "lost"
	case errors.Is(err, quorum.ErrFull):
		return "full"
	case errors.Is(err, quorum.ErrMalformed):
		return "malformed"
	default:
		return "change"
	}
}

func publicError(err error) error {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return ErrNotLeader
	case errors.Is(err, quorum.ErrLeadershipLost):
		return ErrOutcomeUnknown
	case errors.Is(err, quorum.ErrFull):
		return ErrQueueFull
	default:
		return err
	}
}
