package quorum

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simDisk is a data folder: its durable state and the unsynced writes.
type simDisk struct {
	stored       DurableState
	snapshots    map[uint64][]byte // data of the latest snapshots by index
	pending      []Persist         // written but not synced
	mayBootstrap bool
	founding     *Founding // nil for none
}

func (d *simDisk) apply(p Persist) {
	if p.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = p.Snapshot.Meta, nil
		d.keepSnapshot(p.Snapshot.Meta.Index, p.Snapshot.Data)
	}
	if p.Hard != nil {
		d.stored.Hard = *p.Hard
	}
	for _, e := range p.Entries {
		if old := d.stored.Entries; len(old) > 0 {
			n := max(0, min(int(e.Index)-int(old[0].Index), len(old)))
			d.stored.Entries = old[:n:n]
		}
		d.stored.Entries = append(d.stored.Entries, e)
	}
}

func (d *simDisk) keepSnapshot(index uint64, data []byte) {
	d.snapshots[index] = data
	for len(d.snapshots) > 2 {
		oldest := index
		for i := range d.snapshots {
			oldest = min(oldest, i)
		}
		delete(d.snapshots, oldest)
	}
}

// simMember is one instance: a core, a data folder, a clock and a state machine
// whose state is the chained hash of all applied entries.
type simMember struct {
	sim         *sim
	index       int
	name        string
	identity    string
	clockRate   float64
	clockOffset time.Duration
	core        *Core
	disk        *simDisk
	alive       bool
	paused      bool
	epoch       int     // number of boots and crashes; outdated events are ignored
	backlog     []Event // events received while paused
	ledTerm     uint64  // last term led since the boot, 0 for none

	applied       uint64
	hash          uint64
	accepted      map[uint64]uint64 // term of accepted proposals by index
	readFloors    map[uint64]uint64 // lowest index that a read may return, by read ID
	snapshotIndex uint64
	saving        bool
	stalledUntil  time.Duration // the disk makes nothing durable before
	checkedConfig uint64        // index of the last configuration checked
	level         uint64        // of commands that its build understands, from its next boot on
	seeds         []string      // names in its settings, nil for all initial voters
	gone          bool          // lost for good
}

// newFolder gives the instance an empty data folder with a new identity.
func (m *simMember) newFolder(mayBootstrap bool) {
	m.sim.folderCount++
	m.identity = fmt.Sprintf("%s-%d", m.name, m.sim.folderCount)
	if m.sim.options.reuseIdentity {
		m.identity = m.name
	}
	m.disk = &simDisk{snapshots: make(map[uint64][]byte), mayBootstrap: mayBootstrap}
}

// newFoundingFolder gives the instance an empty folder at the first start of the group.
func (m *simMember) newFoundingFolder(seeds []string) {
	m.newFolder(false)
	f := NewFounding(seeds)
	if m.sim.options.anySeeds {
		f.Group = "any"
	}
	m.identity, m.disk.founding = f.Identity(m.name), f
}

// initialize creates the core with the state of the folder.
func (m *simMember) initialize() {
	stored := m.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	m.core = New(m.settings(), stored, rand.New(rand.NewPCG(m.sim.random.Uint64(), 2)), m.localTime())
	m.core.disabled = m.sim.options.disabled
}

func (m *simMember) localTime() time.Duration {
	return m.clockOffset + time.Duration(float64(m.sim.now)*m.clockRate)
}

func (m *simMember) boot() {
	m.epoch++
	m.alive, m.paused, m.backlog, m.ledTerm = true, false, nil, 0
	m.accepted, m.readFloors = make(map[uint64]uint64), make(map[uint64]uint64)
	m.applied, m.hash = m.disk.stored.Snapshot.Index, 0
	if m.applied > 0 {
		m.hash = binary.BigEndian.Uint64(m.disk.snapshots[m.applied])
	}
	m.snapshotIndex, m.saving = m.applied, false
	m.initialize()
	m.tick(m.epoch)
}

func (m *simMember) settings() Settings {
	s := m.sim
	set := Settings{
		Name: m.name, Identity: m.identity, MayBootstrap: m.disk.mayBootstrap, Founding: m.disk.founding,
		HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, MaxClockDrift: s.options.maxClockDrift,
		ReplaceAfter: s.options.replaceAfter, TrailingEntries: 20, MaxBatchBytes: s.options.batchBytes,
		MaxInflightMessages: 4, MaxUncommittedEntries: 300, MaxUncommittedBytes: 2000, ChunkBytes: simChunkBytes, Level: m.level,
	}
	if s.options.openMembership {
		set.OpenMembership, set.TargetVoters = true, s.options.targetVoters
		set.InitialVoters = s.initialVoters()
		set.Peers = set.InitialVoters
		if m.seeds != nil {
			set.Peers = m.seeds
		}
		return set
	}
	for i, o := range s.members {
		set.Peers = append(set.Peers, o.name)
		if i < s.options.voters {
			set.InitialVoters = append(set.InitialVoters, o.name)
		} else {
			set.Spares = append(set.Spares, o.name)
		}
	}
	// The first boots happen while later members don't exist yet.
	for i := len(s.members); i < s.options.voters+s.options.spares; i++ {
		name := fmt.Sprintf("m%d", i)
		set.Peers = append(set.Peers, name)
		if i < s.options.voters {
			set.InitialVoters = append(set.InitialVoters, name)
		} else {
			set.Spares = append(set.Spares, name)
		}
	}
	return set
}

func (m *simMember) bootIfDown() {
	if !m.alive && !m.gone {
		m.boot()
	}
}

func (m *simMember) tick(epoch int) {
	if !m.alive || m.epoch != epoch {
		return
	}
	if !m.paused {
		m.step(Tick{})
	}
	m.sim.after(simTick, func() { m.tick(epoch) })
}

func (m *simMember) deliver(msg Message) {
	switch {
	case !m.alive:
	case m.paused:
		m.backlog = append(m.backlog, Receive{Message: msg})
	default:
		m.step(Receive{Message: msg})
	}
}

func (m *simMember) resume() {
	if !m.alive || !m.paused {
		return
	}
	m.paused = false
	backlog := m.backlog
	m.backlog = nil
	for _, e := range backlog {
		if m.alive {
			m.step(e)
		}
	}
}

func (m *simMember) crashFor(d time.Duration) {
	if m.alive {
		m.crash()
		m.sim.after(d, m.bootIfDown)
	}
}

func (m *simMember) stallDisk(d time.Duration) {
	m.stalledUntil = max(m.stalledUntil, m.sim.now+d)
}

func (m *simMember) syncTime() time.Duration {
	return max(0, m.stalledUntil-m.sim.now) + m.sim.randomUpTo(m.sim.options.maxSync)
}

// crash stops the instance and loses a random suffix of the unsynced writes. The
// first lost write may be torn.
func (m *simMember) crash() {
	m.alive = false
	m.epoch++
	pending := m.disk.pending
	m.disk.pending = nil
	intact := m.sim.random.IntN(len(pending) + 1)
	for _, p := range pending[:intact] {
		m.disk.apply(p)
	}
	if intact < len(pending) {
		p := pending[intact]
		p.Snapshot = nil
		if len(pending[intact].Entries) > 0 && pending[intact].Snapshot == nil {
			p.Entries = p.Entries[:m.sim.random.IntN(len(p.Entries))]
		} else {
			p.Entries = nil
		}
		m.disk.apply(p)
	}
}

// step passes an event to the core, carries out the actions and checks the
// invariants.
func (m *simMember) step(e Event) {
	s := m.sim
	actions := m.core.Step(m.localTime(), e)
	if m.core.Role() == RoleLeader && m.ledTerm != m.core.Term() {
		s.invariants.checkLeader(m, s.members)
		m.ledTerm = m.core.Term()
	}
	for _, a := range actions {
		m.carryOut(a)
	}
	s.invariants.checkLease(m, s.members)
	s.invariants.checkPromotion(m, s.members)
	m.maybeSnapshot()
}

func (m *simMember) carryOut(a Action) {
	s := m.sim
	switch a := a.(type) {
	case Persist:
		m.disk.pending = append(m.disk.pending, a)
		epoch := m.epoch
		s.after(m.syncTime(), func() { m.synced(epoch, a.Number) })
	case Send:
		s.send(a.Message, m)
	case Apply:
		for _, e := range a.Entries {
			m.apply(e)
		}
	case InstallSnapshot:
		m.applied = a.Snapshot.Meta.Index
		m.hash = binary.BigEndian.Uint64(a.Snapshot.Data)
		m.snapshotIndex = m.applied
		s.invariants.checkInstalled(m)
		clear(m.accepted)
	case Accepted:
		m.accepted[a.Index] = a.Term
	case ReadReady:
		s.invariants.checkRead(m, m.readFloors[a.ID], a.Index)
	case Demoted:
		clear(m.accepted)
	}
}

func (m *simMember) apply(e Entry) {
	m.sim.invariants.checkApplied(m, e)
	m.applied = e.Index
	m.hash = chainHash(m.hash, e)
	if term, ok := m.accepted[e.Index]; ok && term == e.Term {
		m.sim.invariants.recordAck(m, e.Index)
	}
	delete(m.accepted, e.Index)
}

func (m *simMember) synced(epoch int, number uint64) {
	if m.epoch != epoch {
		return
	}
	durable := 0
	for _, p := range m.disk.pending {
		if p.Number > number {
			break
		}
		m.disk.apply(p)
		durable++
	}
	m.disk.pending = m.disk.pending[durable:]
	if m.paused {
		m.backlog = append(m.backlog, Persisted{Number: number})
		return
	}
	m.step(Persisted{Number: number})
}

// maybeSnapshot starts a snapshot if enough entries were applied since the last.
func (m *simMember) maybeSnapshot() {
	s := m.sim
	if m.saving || m.applied < m.snapshotIndex+s.options.snapshotInterval {
		return
	}
	meta, ok := m.core.SnapshotMeta(m.applied)
	if !ok {
		return
	}
	data := make([]byte, 3*simChunkBytes+simChunkBytes/2)
	binary.BigEndian.PutUint64(data, m.hash)
	meta.Size = int64(len(data))
	m.saving, m.snapshotIndex = true, m.applied
	epoch := m.epoch
	s.after(m.syncTime(), func() { m.snapshotSynced(epoch, meta, data) })
}

func (m *simMember) snapshotSynced(epoch int, meta SnapshotMeta, data []byte) {
	if m.epoch != epoch {
		return
	}
	m.saving = false
	if meta.Index <= m.disk.stored.Snapshot.Index {
		return
	}
	// Keep the entries after the snapshot: writes waiting for a sync may still
	// replace them.
	entries := m.disk.stored.Entries
	covered := 0
	for covered < len(entries) && entries[covered].Index <= meta.Index {
		covered++
	}
	m.disk.stored.Entries = slices.Clone(entries[covered:])
	m.disk.stored.Snapshot = meta
	m.disk.keepSnapshot(meta.Index, data)
	if m.paused {
		m.backlog = append(m.backlog, SnapshotSaved{Meta: meta})
		return
	}
	m.step(SnapshotSaved{Meta: meta})
}
