package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/quorum"
)

// Settings of a member.
type Settings struct {
	Name      string
	Folder    string            // data folder
	Peers     map[string]string // link address of each instance, this one included
	Voters    []string          // first voters
	Spares    []string          // learners that replace a lost voter
	Open      bool              // instances outside of Peers may join; their name is their link address
	Join      bool              // a new folder joins a group and never founds one
	Wanted    int               // voters to grow to, 0 for as many as founded the group
	Heartbeat time.Duration
	Election  time.Duration
	Replace   time.Duration // silence after which a voter is replaced, 0 for never
	Snapshot  uint64        // commands between snapshots
	Drift     float64       // bound of the clocks' rate error, 0 for the default
	Files     disk.FileSystem
}

// Bounds of the rings between the goroutines of a member.
const (
	inboxRing  = 4096
	diskRing   = 1024
	applyRing  = 1024
	senderRing = 512
)

// snapshotBytes of commands are enough for a snapshot before its count is.
const snapshotBytes = 64 << 20

// tickShare is the number of ticks in a heartbeat.
const tickShare = 3

// Node is a running member.
type Node struct {
	settings Settings
	machine  Machine
	clock    clock.Clock
	meter    *meter.Registry
	store    *disk.Store
	core     *quorum.Core

	inbox   chan quorum.Event
	writes  chan write
	applies chan any
	senders map[string]*sender // used by the loop once the member runs
	config  *tls.Config        // of links
	synced  atomic.Uint64      // number of the newest durable persist
	wake    chan struct{}      // synced has changed
	saved   chan quorum.Meta
	images  chan image // snapshots that the applier made

	ids     atomic.Uint64
	mutex   sync.Mutex
	waiters map[uint64]chan outcome

	view    atomic.Pointer[view]
	applied atomic.Uint64

	stop   context.CancelFunc
	done   <-chan struct{}
	group  sync.WaitGroup
	failed atomic.Pointer[error]
}

var _ Log = (*Node)(nil)

// New opens the data folder, registers the member's handler with the server,
// which must not be listening yet, and starts the member. A damaged folder is
// set aside: the member comes back as a new one, which the leader admits as a
// learner. The clean-up hands over leadership, then stops.
func New(
	s Settings, m Machine, server *link.Server, config *tls.Config, c clock.Clock, r *meter.Registry,
) (*Node, func(), error) {
	store, closeStore, err := open(s, r)
	if err != nil {
		return nil, nil, err
	}
	if data := store.TakeData(); store.Stored().Snapshot.Index > 0 {
		if err := m.Restore(data); err != nil {
			closeStore()
			return nil, nil, fmt.Errorf("restore snapshot: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings: s,
		machine:  m,
		clock:    c,
		meter:    r,
		store:    store,
		inbox:    make(chan quorum.Event, inboxRing),
		writes:   make(chan write, diskRing),
		applies:  make(chan any, applyRing),
		senders:  make(map[string]*sender),
		config:   config,
		wake:     make(chan struct{}, 1),
		saved:    make(chan quorum.Meta, 1),
		images:   make(chan image, 1),
		waiters:  make(map[uint64]chan outcome),
		stop:     cancel,
		done:     ctx.Done(),
	}
	n.core = quorum.New(n.coreSettings(), store.Stored(), seeded(store.Identity()), c.Elapsed())
	n.applied.Store(store.Stored().Snapshot.Index)
	n.publish()
	link.Handle(server, kind, n.receive)
	n.start(ctx)
	return n, func() {
		n.handOver()
		n.stop()
		n.group.Wait()
		n.failAll(ErrStopped)
		closeStore()
	}, nil
}

// open opens the data folder, or sets a damaged one aside and makes a new one.
func open(s Settings, r *meter.Registry) (*disk.Store, func(), error) {
	store, cleanup, err := disk.Open(s.Folder, disk.Options{Files: s.Files, Found: !s.Join})
	if err == nil {
		return store, cleanup, nil
	}
	if !errors.Is(err, disk.ErrDamaged) {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	klog.Errorf("data folder refused, coming back as a new member: %v", err)
	r.Count("disk", "refused", "damaged")
	files := s.Files
	if files == nil {
		files = disk.System()
	}
	if err := disk.SetAside(files, s.Folder, time.Now().UTC().Format("20060102T150405.000")); err != nil {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	store, cleanup, err = disk.Open(s.Folder, disk.Options{Files: s.Files})
	if err != nil {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	return store, cleanup, nil
}

func (n *Node) coreSettings() quorum.Settings {
	s := n.settings
	peers := make([]string, 0, len(s.Peers))
	for name := range s.Peers {
		peers = append(peers, name)
	}
	slices.Sort(peers)
	drift := s.Drift
	if drift <= 0 {
		drift = quorum.DefaultDrift
	}
	return quorum.Settings{
		Name:      s.Name,
		Identity:  n.store.Identity(),
		Found:     n.store.Found(),
		Voters:    s.Voters,
		Spares:    s.Spares,
		Peers:     peers,
		Open:      s.Open,
		Wanted:    s.Wanted,
		Heartbeat: s.Heartbeat,
		Election:  s.Election,
		Drift:     drift,
		Replace:   s.Replace,
		Keep:      min(quorum.DefaultKeep, s.Snapshot),
		Batch:     quorum.DefaultBatch,
		Window:    quorum.DefaultWindow,
		Pending:   quorum.DefaultPending,
		Waiting:   quorum.DefaultWaiting,
		Piece:     quorum.DefaultPiece,
	}
}

// seeded returns a generator that differs between folders.
func seeded(identity string) *rand.Rand {
	var seed [32]byte
	copy(seed[:], identity)
	return rand.New(rand.NewChaCha8(seed))
}

func (n *Node) start(ctx context.Context) {
	for name, address := range n.settings.Peers {
		if name != n.settings.Name {
			n.startSender(ctx, name, address)
		}
	}
	n.spawn(func() { n.loop(ctx) })
	n.spawn(func() { n.writeLoop(ctx) })
	n.spawn(func() { n.applyLoop(ctx) })
}

func (n *Node) startSender(ctx context.Context, name, address string) *sender {
	s := newSender(n, address, n.config)
	n.senders[name] = s
	n.spawn(func() { s.run(ctx) })
	return s
}

func (n *Node) spawn(f func()) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		f()
	}()
}

// handOver asks another voter to lead, and waits a little for it.
func (n *Node) handOver() {
	if n.view.Load().role != quorum.RoleLeader {
		return
	}
	select {
	case n.inbox <- quorum.Transfer{}:
	default:
		return
	}
	deadline := time.After(n.settings.Election)
	for n.view.Load().role == quorum.RoleLeader {
		select {
		case <-deadline:
			return
		case <-n.done:
			return
		case <-time.After(n.settings.Heartbeat / tickShare):
		}
	}
}

// fail stops the member after its disk failed: it must promise nothing more.
func (n *Node) fail(err error) {
	klog.Errorf("member stops: %v", err)
	n.meter.Count("disk", "failed")
	n.failed.CompareAndSwap(nil, &err)
	n.stop()
}

// Done is closed when the member has stopped, by its clean-up or because its
// disk failed.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the member stopped by itself, nil if it didn't.
func (n *Node) Err() error {
	if err := n.failed.Load(); err != nil {
		return *err
	}
	return nil
}
