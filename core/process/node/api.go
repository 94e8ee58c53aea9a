package node

import (
	"context"
	"fmt"
	"time"

	"verbenahaven.example/core/process/quorum"
)

// outcome is the answer to a proposal, read or change.
type outcome struct {
	result any
	err    error
}

// view is what others may see of the core.
type view struct {
	role      quorum.Role
	term      uint64
	leader    string
	committed uint64
	config    quorum.Config
	identity  string
	lease     time.Duration // end of the lease, 0 for none
	heard     time.Duration
}

// publish makes the core's state visible to other goroutines.
func (n *Node) publish() {
	term, until := n.core.Lease()
	n.view.Store(&view{
		role:      n.core.Role(),
		term:      term,
		leader:    n.core.Leader(),
		committed: n.core.Commit(),
		config:    n.core.Committed(),
		identity:  n.store.Identity(),
		lease:     until,
		heard:     n.core.Heard(),
	})
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommand {
		n.meter.Count("raft", "refused", "too_large")
		return nil, fmt.Errorf("propose %d bytes: %w", len(command), ErrTooLarge)
	}
	result, err := n.ask(ctx, func(id uint64) quorum.Event {
		return quorum.Propose{Commands: []quorum.Command{{ID: id, Data: command}}}
	})
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return result, nil
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	_, err := n.ask(ctx, func(id uint64) quorum.Event { return quorum.Read{ID: id} })
	if err != nil {
		return fmt.Errorf("barrier: %w", err)
	}
	return nil
}

// Change implements Log.
func (n *Node) Change(ctx context.Context, kind ChangeKind, name string) error {
	kinds := map[ChangeKind]quorum.ChangeKind{
		ChangeLearner: quorum.ChangeLearner,
		ChangePromote: quorum.ChangePromote,
		ChangeRemove:  quorum.ChangeRemove,
	}
	_, err := n.ask(ctx, func(id uint64) quorum.Event {
		return quorum.Change{ID: id, Kind: kinds[kind], Name: name}
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", kind, name, err)
	}
	return nil
}

// ask hands an event to the loop and waits for its outcome.
func (n *Node) ask(ctx context.Context, event func(id uint64) quorum.Event) (any, error) {
	id := n.ids.Add(1)
	c := make(chan outcome, 1)
	n.mutex.Lock()
	n.waiters[id] = c
	n.mutex.Unlock()
	defer n.forget(id)
	select {
	case <-n.done:
		return nil, ErrStopped
	default:
	}
	select {
	case n.inbox <- event(id):
	default:
		n.meter.Count("raft", "refused", "inbox_full")
		return nil, ErrFull
	}
	select {
	case o := <-c:
		return o.result, o.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrLost, ctx.Err())
	case <-n.done:
		return nil, fmt.Errorf("%w: %w", ErrLost, ErrStopped)
	}
}

func (n *Node) forget(id uint64) {
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

func (n *Node) failAll(err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for id, c := range n.waiters {
		delete(n.waiters, id)
		c <- outcome{err: err}
	}
}

// Lease implements Log.
func (n *Node) Lease() (uint64, time.Duration) {
	v := n.view.Load()
	if v.lease == 0 || n.stopped() {
		return v.term, 0
	}
	return v.term, v.lease - n.clock.Elapsed()
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
	v := n.view.Load()
	s := Status{
		Name:      n.settings.Name,
		Role:      RoleFollower,
		Leader:    v.leader,
		Term:      v.term,
		Committed: v.committed,
		Applied:   n.applied.Load(),
		Heard:     n.clock.Elapsed() - v.heard,
	}
	if m, ok := v.config.Find(v.identity); !ok || !m.Voter {
		s.Role = RoleLearner
	}
	if v.role == quorum.RoleLeader {
		s.Role = RoleLeader
	}
	for _, m := range v.config.Members {
		// While a voter is replaced, the group still depends on it.
		if m.Voter || m.Outgoing {
			s.Voters = append(s.Voters, m.Name)
		} else {
			s.Learners = append(s.Learners, m.Name)
		}
	}
	return s
}
