package node

import (
	"context"
	"fmt"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/quorum"
)

// image is a snapshot of the machine.
type image struct {
	index uint64
	data  []byte
}

// applier owns the machine.
type applier struct {
	node    *Node
	applied uint64
	open    map[uint64]quorum.Accepted // proposals of this member by index
	reads   []quorum.Ready
	count   uint64 // commands since the last snapshot
	bytes   int
}

// applyLoop applies committed commands and answers those who wait.
func (n *Node) applyLoop(ctx context.Context) {
	a := &applier{node: n, applied: n.applied.Load(), open: make(map[uint64]quorum.Accepted)}
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-n.applies:
			a.take(v)
		}
	}
}

func (a *applier) take(v any) {
	switch v := v.(type) {
	case quorum.Apply:
		for i := range v.Entries {
			a.apply(&v.Entries[i])
		}
		a.answerReads()
		a.snapshot()
	case quorum.Install:
		a.install(v.Snapshot)
	case quorum.Accepted:
		a.open[v.Index] = v
	case quorum.Ready:
		a.reads = append(a.reads, v)
		a.answerReads()
	case quorum.Demoted:
		a.loseAll()
	}
}

func (a *applier) apply(e *quorum.Entry) {
	if e.Index != a.applied+1 {
		panic(fmt.Sprintf("node: entry %d applied after %d", e.Index, a.applied))
	}
	var result any
	if e.Kind == quorum.EntryCommand {
		result = a.node.machine.Apply(e.Index, e.Data)
		a.count++
		a.bytes += len(e.Data)
	}
	a.applied = e.Index
	a.node.applied.Store(e.Index)
	p, ok := a.open[e.Index]
	if !ok {
		return
	}
	delete(a.open, e.Index)
	if p.Term != e.Term {
		a.node.resolve(p.ID, outcome{err: ErrLost})
		return
	}
	a.node.resolve(p.ID, outcome{result: result})
}

func (a *applier) install(s quorum.Snapshot) {
	if err := a.node.machine.Restore(s.Data); err != nil {
		a.node.fail(fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err))
		return
	}
	a.applied, a.count, a.bytes = s.Meta.Index, 0, 0
	a.node.applied.Store(a.applied)
	a.loseAll()
}

// loseAll tells the proposers that the outcome is unknown.
func (a *applier) loseAll() {
	for index, p := range a.open {
		a.node.resolve(p.ID, outcome{err: ErrLost})
		delete(a.open, index)
	}
}

func (a *applier) answerReads() {
	rest := a.reads[:0]
	for _, r := range a.reads {
		if r.Index > a.applied {
			rest = append(rest, r)
			continue
		}
		a.node.resolve(r.ID, outcome{})
	}
	a.reads = rest
}

// snapshot makes an image after enough commands. While an earlier one waits
// to be taken, the next has to wait too.
func (a *applier) snapshot() {
	if a.count < a.node.settings.Snapshot && a.bytes < snapshotBytes {
		return
	}
	if len(a.node.images) > 0 {
		return
	}
	data, err := a.node.machine.Snapshot()
	if err != nil {
		klog.Errorf("%s: snapshot at %d: %v", a.node.settings.Name, a.applied, err)
		a.node.meter.Count("raft", "failed", "snapshot")
		return
	}
	a.count, a.bytes = 0, 0
	a.node.images <- image{index: a.applied, data: data}
}
