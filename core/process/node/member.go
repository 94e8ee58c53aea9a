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

// Settings configures a member.
type Settings struct {
	Name                string
	Folder              string            // data folder of the write-ahead log and the snapshots
	Peers               map[string]string // link address of each instance by name, including this one
	InitialVoters       []string          // names of the voters that bootstrap the group
	Spares              []string          // names of the learners that replace lost voters
	OpenMembership      bool              // instances outside of Peers may join; their name is their link address
	JoinOnly            bool              // a new folder only joins an existing group, it never bootstraps one
	FirstStart          bool              // promise that the group never started before: a majority of the initial voters founds it
	TargetVoters        int               // promote learners while there are fewer voters; 0 promotes none
	HeartbeatInterval   time.Duration     // time between a leader's heartbeats
	ElectionTimeout     time.Duration     // time without contact with the leader after which a follower may campaign
	ReplaceAfter        time.Duration     // silence after which a voter is replaced, 0 for never
	CommandsPerSnapshot uint64            // applied commands after which a snapshot is taken
	MaxClockDrift       float64           // largest relative error of a clock's rate, 0 for the default
	Level               uint64            // highest level of commands that this build understands
	DiskBytes           int64             // share of the disk for the data folder, 0 for what is free
	MemoryBytes         int64             // memory of this process, 0 for that of the machine
	FileSystem          disk.FileSystem
}

// Capacities of the queues between the goroutines of a member.
const (
	inboxSize       = 4096
	writeQueueSize  = 1024
	applyQueueSize  = 1024
	senderQueueSize = 512
)

// ticksPerHeartbeat is the number of ticks of the core in a heartbeat interval.
const ticksPerHeartbeat = 3

// Node is a running member of a Raft group.
type Node struct {
	settings Settings
	machine  StateMachine
	clock    clock.Clock
	meter    *meter.Registry
	store    *disk.Store
	core     *quorum.Core

	inbox            chan quorum.Event
	writeQueue       chan diskWrite
	applyQueue       chan any
	senders          map[string]*sender // owned by the loop once the member runs
	tlsConfig        *tls.Config        // of the links to peers
	persistedNumber  atomic.Uint64      // number of the newest durable quorum.Persist
	persisted        chan struct{}      // signals that persistedNumber has changed
	savedSnapshots   chan quorum.SnapshotMeta
	machineSnapshots chan machineSnapshot // taken by the applier

	budget             atomic.Pointer[budget]
	stateBytes         atomic.Int64  // size of the last snapshot taken or installed
	bytesSinceSnapshot atomic.Int64  // entries applied after it
	pendingBytes       atomic.Int64  // commands proposed here without an outcome
	savedIndex         atomic.Uint64 // index of the newest durable snapshot
	savingSnapshot     atomic.Bool   // a snapshot is on its way to the disk
	snapshotFailed     atomic.Bool   // the last one had no room

	ids     atomic.Uint64
	mutex   sync.Mutex
	waiters map[uint64]chan outcome

	state   atomic.Pointer[coreState]
	applied atomic.Uint64

	cancel     context.CancelFunc
	done       <-chan struct{}
	goroutines sync.WaitGroup
	failure    atomic.Pointer[error]
}

var _ Log = (*Node)(nil)

// New opens the data folder, registers the member's handler with the server,
// which must not be listening yet, and starts the member. A damaged folder is
// set aside: the member starts empty with a new identity, and the leader admits
// it as a learner. The cleanup transfers leadership, then stops the member.
func New(
	s Settings, m StateMachine, server *link.Server, config *tls.Config, c clock.Clock, r *meter.Registry,
) (*Node, func(), error) {
	store, closeStore, err := openStore(s, r)
	if err != nil {
		return nil, nil, err
	}
	if data := store.TakeSnapshotData(); store.Stored().Snapshot.Index > 0 {
		if err := m.Restore(data); err != nil {
			closeStore()
			return nil, nil, fmt.Errorf("restore snapshot: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		settings:         s,
		machine:          m,
		clock:            c,
		meter:            r,
		store:            store,
		inbox:            make(chan quorum.Event, inboxSize),
		writeQueue:       make(chan diskWrite, writeQueueSize),
		applyQueue:       make(chan any, applyQueueSize),
		senders:          make(map[string]*sender),
		tlsConfig:        config,
		persisted:        make(chan struct{}, 1),
		savedSnapshots:   make(chan quorum.SnapshotMeta, 1),
		machineSnapshots: make(chan machineSnapshot, 1),
		waiters:          make(map[uint64]chan outcome),
		cancel:           cancel,
		done:             ctx.Done(),
	}
	n.updateBudget()
	n.core = quorum.New(n.coreSettings(), store.Stored(), newRand(store.Identity()), c.Elapsed())
	n.applied.Store(store.Stored().Snapshot.Index)
	n.savedIndex.Store(store.Stored().Snapshot.Index)
	n.stateBytes.Store(store.Stored().Snapshot.Size)
	n.publish()
	link.Handle(server, raftKind, n.receive)
	server.Prefer(n.isMember)
	n.start(ctx)
	return n, func() {
		n.transferLeadership()
		n.cancel()
		n.goroutines.Wait()
		n.failWaiters(ErrStopped)
		closeStore()
	}, nil
}

// openStore opens the data folder. It sets a damaged one aside and creates a new
// one.
func openStore(s Settings, r *meter.Registry) (*disk.Store, func(), error) {
	store, cleanup, err := disk.Open(s.Folder, disk.Options{
		FileSystem: s.FileSystem, DiskBytes: s.DiskBytes, MayBootstrap: !s.JoinOnly && !s.FirstStart, Founding: founding(s), Name: s.Name,
	})
	if err == nil {
		return store, cleanup, nil
	}
	if !errors.Is(err, disk.ErrDamaged) {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	klog.Errorf("data folder is damaged, starting as a new member: %v", err)
	r.Count("disk", "refused", "damaged")
	files := s.FileSystem
	if files == nil {
		files = disk.System()
	}
	if err := disk.SetAside(files, s.Folder, time.Now().UTC().Format("20060102T150405.000")); err != nil {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	store, cleanup, err = disk.Open(s.Folder, disk.Options{FileSystem: s.FileSystem, DiskBytes: s.DiskBytes})
	if err != nil {
		return nil, nil, fmt.Errorf("open member: %w", err)
	}
	return store, cleanup, nil
}

// founding returns the founding that a new folder takes part in, nil for none.
func founding(s Settings) *quorum.Founding {
	if !s.FirstStart || s.JoinOnly || !slices.Contains(s.InitialVoters, s.Name) {
		return nil
	}
	return quorum.NewFounding(s.InitialVoters)
}

func (n *Node) coreSettings() quorum.Settings {
	s, b := n.settings, n.budget.Load()
	peers := make([]string, 0, len(s.Peers))
	for name := range s.Peers {
		peers = append(peers, name)
	}
	slices.Sort(peers)
	drift := s.MaxClockDrift
	if drift <= 0 {
		drift = quorum.DefaultMaxClockDrift
	}
	return quorum.Settings{
		Name:                  s.Name,
		Identity:              n.store.Identity(),
		Founding:              n.store.Founding(),
		MayBootstrap:          n.store.MayBootstrap(),
		InitialVoters:         s.InitialVoters,
		Spares:                s.Spares,
		Peers:                 peers,
		OpenMembership:        s.OpenMembership,
		TargetVoters:          s.TargetVoters,
		HeartbeatInterval:     s.HeartbeatInterval,
		ElectionTimeout:       s.ElectionTimeout,
		MaxClockDrift:         drift,
		ReplaceAfter:          s.ReplaceAfter,
		TrailingEntries:       min(quorum.DefaultTrailingEntries, s.CommandsPerSnapshot),
		TrailingBytes:         int(b.log),
		MaxBatchBytes:         b.batch(),
		MaxInflightMessages:   b.inflight(),
		MaxUncommittedEntries: quorum.DefaultMaxUncommittedEntries,
		MaxUncommittedBytes:   int(b.uncommitted()),
		ChunkBytes:            quorum.DefaultChunkBytes,
		Level:                 s.Level,
	}
}

// newRand returns a random generator seeded with the folder's identity, so that
// members draw different election timeouts.
func newRand(identity string) *rand.Rand {
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
	s := newSender(n, address, n.tlsConfig)
	ctx, s.stop = context.WithCancel(ctx)
	n.senders[name] = s
	n.spawn(func() { s.run(ctx) })
	return s
}

func (n *Node) spawn(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

// HandOver implements Log.
func (n *Node) HandOver() {
	select {
	case n.inbox <- quorum.TransferLeadership{IfReady: true}:
	default: // the caller asks again
	}
}

// transferLeadership asks another voter to take over leadership and waits for
// it, at most for an election timeout.
func (n *Node) transferLeadership() {
	if n.state.Load().role != quorum.RoleLeader {
		return
	}
	select {
	case n.inbox <- quorum.TransferLeadership{}:
	default:
		return
	}
	deadline := time.After(n.settings.ElectionTimeout)
	for n.state.Load().role == quorum.RoleLeader {
		select {
		case <-deadline:
			return
		case <-n.done:
			return
		case <-time.After(n.settings.HeartbeatInterval / ticksPerHeartbeat):
		}
	}
}

// fail stops the member after a write or the restore of a snapshot failed: it
// must not acknowledge anything that may not be durable. A leader hands over
// before, which needs no write.
func (n *Node) fail(err error) {
	klog.Errorf("member stops after a failure: %v", err)
	n.meter.Count("disk", "failed")
	if disk.IsFull(err) {
		n.meter.Count("disk", "full")
	}
	n.failure.CompareAndSwap(nil, &err)
	n.transferLeadership()
	n.cancel()
}

// Done returns a channel that is closed when the member stops, by its cleanup or
// because of a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the failure that stopped the member, nil if there was none.
func (n *Node) Err() error {
	if err := n.failure.Load(); err != nil {
		return *err
	}
	return nil
}
