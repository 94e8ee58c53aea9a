package node

import (
	"context"
	"fmt"
	"time"

	"verbenahaven.example/core/process/quorum"
)

// outcome is the result of a proposal, a read barrier or a membership change.
type outcome struct {
	result any
	err    error
}

// coreState is the part of the consensus core's state that other goroutines
// read.
type coreState struct {
	role        quorum.Role
	term        uint64
	leader      string
	commitIndex uint64
	config      quorum.Config
	identity    string
	leaseEnd    time.Duration // end of the leader lease by clock.Elapsed, 0 for none
	termStart   uint64        // index of the first entry of the leader's term
	lastContact time.Duration
	commonLevel uint64
}

// publish makes the current state of the core visible to other goroutines.
func (n *Node) publish() {
	term, until := n.core.Lease()
	n.state.Store(&coreState{
		role:        n.core.Role(),
		term:        term,
		leader:      n.core.Leader(),
		commitIndex: n.core.CommitIndex(),
		config:      n.core.CommittedConfig(),
		identity:    n.store.Identity(),
		leaseEnd:    until,
		termStart:   n.core.TermStartIndex(),
		lastContact: n.core.LastContact(),
		commonLevel: n.core.CommonLevel(),
	})
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		n.meter.Count("raft", "refused", "too_large")
		return nil, fmt.Errorf("propose %d bytes: %w", len(command), ErrTooLarge)
	}
	done, err := n.admit(int64(len(command)))
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	defer done()
	result, err := n.submit(ctx, func(id uint64) quorum.Event {
		return quorum.Propose{Commands: []quorum.Command{{ID: id, Data: command}}}
	})
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return result, nil
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.submit(ctx, func(id uint64) quorum.Event { return quorum.Read{ID: id} })
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	return nil
}

// ChangeMembership implements Log.
func (n *Node) ChangeMembership(ctx context.Context, kind ChangeKind, name string) error {
	kinds := map[ChangeKind]quorum.ChangeKind{
		ChangeAddLearner: quorum.ChangeAddLearner,
		ChangePromote:    quorum.ChangePromote,
		ChangeRemove:     quorum.ChangeRemove,
	}
	_, err := n.submit(ctx, func(id uint64) quorum.Event {
		return quorum.Change{ID: id, Kind: kinds[kind], Name: name}
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return nil
}

// submit queues an event for the consensus loop and waits for its outcome.
func (n *Node) submit(ctx context.Context, event func(id uint64) quorum.Event) (any, error) {
	id := n.ids.Add(1)
	done := make(chan outcome, 1)
	n.mutex.Lock()
	n.waiters[id] = done
	n.mutex.Unlock()
	defer n.removeWaiter(id)
	select {
	case <-n.done:
		return nil, ErrStopped
	default:
	}
	select {
	case n.inbox <- event(id):
	default:
		n.meter.Count("raft", "refused", "inbox_full")
		return nil, ErrQueueFull
	}
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-n.done:
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrStopped)
	}
}

func (n *Node) removeWaiter(id uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.waiters, id)
}

func (n *Node) resolve(id uint64, o outcome) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if c, ok := n.waiters[id]; ok {
		delete(n.waiters, id)
		c <- o
	}
}

func (n *Node) failWaiters(err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for id, c := range n.waiters {
		delete(n.waiters, id)
		c <- outcome{err: err}
	}
}

// Lease implements Log.
func (n *Node) Lease() (uint64, time.Duration) {
	v := n.state.Load()
	if v.leaseEnd == 0 || n.applied.Load() < v.termStart || n.stopped() {
		return v.term, 0
	}
	return v.term, v.leaseEnd - n.clock.Elapsed()
}

func (n *Node) stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Status implements Log.
func (n *Node) Status() Status {
	v := n.state.Load()
	s := Status{
		Name:         n.settings.Name,
		Role:         RoleFollower,
		Leader:       v.leader,
		Term:         v.term,
		Committed:    v.commitIndex,
		Applied:      n.applied.Load(),
		SinceContact: n.clock.Elapsed() - v.lastContact,
		CommonLevel:  v.commonLevel,
	}
	if m, ok := v.config.Find(v.identity); !ok || !m.Voter {
		s.Role = RoleLearner
	}
	if v.role == quorum.RoleLeader {
		s.Role = RoleLeader
	}
	for _, m := range v.config.Members {
		// A voter that is being replaced still counts for the quorum.
		if m.Voter || m.Outgoing {
			s.Voters = append(s.Voters, m.Name)
		} else {
			s.Learners = append(s.Learners, m.Name)
		}
	}
	return s
}
