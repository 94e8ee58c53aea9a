package quorum

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simDisk is a folder: what is durable, and what was written but not synced.
type simDisk struct {
	stored  Stored
	images  map[uint64][]byte // data of the newest snapshots
	pending []Persist
	found   bool
}

func (d *simDisk) apply(p Persist) {
	if p.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = p.Snapshot.Meta, nil
		d.keep(p.Snapshot.Meta.Index, p.Snapshot.Data)
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

func (d *simDisk) keep(index uint64, data []byte) {
	d.images[index] = data
	for len(d.images) > 2 {
		oldest := index
		for i := range d.images {
			oldest = min(oldest, i)
		}
		delete(d.images, oldest)
	}
}

// simMember is one instance: a core, a folder, a clock and a state machine,
// which is the hash over all applied entries.
type simMember struct {
	sim      *sim
	number   int
	name     string
	identity string
	rate     float64
	offset   time.Duration
	core     *Core
	disk     *simDisk
	alive    bool
	paused   bool
	epoch    int // counts boots and crashes
	backlog  []Event
	leads    uint64 // term led, 0 for none

	applied uint64
	hash    uint64
	open    map[uint64]uint64 // term by index of accepted proposals
	reads   map[uint64]uint64 // least index by read
	imaged  uint64
	saving  bool
	voters  uint64 // index of the configuration checked last
}

// newFolder gives the instance an empty folder.
func (m *simMember) newFolder(found bool) {
	m.sim.serial++
	m.identity = fmt.Sprintf("%s-%d", m.name, m.sim.serial)
	if m.sim.options.sameIdentity {
		m.identity = m.name
	}
	m.disk = &simDisk{images: make(map[uint64][]byte), found: found}
}

func (m *simMember) local() time.Duration {
	return m.offset + time.Duration(float64(m.sim.now)*m.rate)
}

func (m *simMember) boot() {
	s := m.sim
	m.epoch++
	m.alive, m.paused, m.backlog, m.leads = true, false, nil, 0
	m.open, m.reads = make(map[uint64]uint64), make(map[uint64]uint64)
	stored := m.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	m.applied, m.hash = stored.Snapshot.Index, 0
	if m.applied > 0 {
		m.hash = binary.BigEndian.Uint64(m.disk.images[m.applied])
	}
	m.imaged, m.saving = m.applied, false
	m.core = New(m.settings(), stored, rand.New(rand.NewPCG(s.random.Uint64(), 2)), m.local())
	m.core.faults = s.options.faults
	m.tick(m.epoch)
}

func (m *simMember) settings() Settings {
	s := m.sim
	set := Settings{
		Name: m.name, Identity: m.identity, Found: m.disk.found,
		Heartbeat: simHeartbeat, Election: simElection, Drift: s.options.drift,
		Replace: s.options.replace, Keep: 20, Batch: s.options.batch,
		Window: 4, Pending: 300, Waiting: 2000, Piece: simPiece,
	}
	if s.options.open {
		set.Open, set.Wanted = true, s.options.wanted
		for i := range s.options.voters {
			name := fmt.Sprintf("m%d", i)
			set.Peers, set.Voters = append(set.Peers, name), append(set.Voters, name)
		}
		return set
	}
	for i, o := range s.members {
		set.Peers = append(set.Peers, o.name)
		if i < s.options.voters {
			set.Voters = append(set.Voters, o.name)
		} else {
			set.Spares = append(set.Spares, o.name)
		}
	}
	// While the members are made, the later ones aren't there yet.
	for i := len(s.members); i < s.options.voters+s.options.spares; i++ {
		name := fmt.Sprintf("m%d", i)
		set.Peers = append(set.Peers, name)
		if i < s.options.voters {
			set.Voters = append(set.Voters, name)
		} else {
			set.Spares = append(set.Spares, name)
		}
	}
	return set
}

func (m *simMember) bootIfDead() {
	if !m.alive {
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
	m.sim.at(simTick, func() { m.tick(epoch) })
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
		m.sim.at(d, m.bootIfDead)
	}
}

// crash loses what wasn't synced, from any place on.
func (m *simMember) crash() {
	m.alive = false
	m.epoch++
	pending := m.disk.pending
	m.disk.pending = nil
	whole := m.sim.random.IntN(len(pending) + 1)
	for _, p := range pending[:whole] {
		m.disk.apply(p)
	}
	if whole < len(pending) {
		p := pending[whole]
		p.Snapshot = nil
		if len(pending[whole].Entries) > 0 && pending[whole].Snapshot == nil {
			p.Entries = p.Entries[:m.sim.random.IntN(len(p.Entries))]
		} else {
			p.Entries = nil
		}
		m.disk.apply(p)
	}
}

// step gives the core an event and carries out its actions.
func (m *simMember) step(e Event) {
	s := m.sim
	actions := m.core.Step(m.local(), e)
	if m.core.Role() == RoleLeader && m.leads != m.core.Term() {
		s.checker.leads(m, s.members)
		m.leads = m.core.Term()
	}
	for _, a := range actions {
		m.act(a)
	}
	s.checker.lease(m, s.members)
	s.checker.promoted(m, s.members)
	m.image()
}

func (m *simMember) act(a Action) {
	s := m.sim
	switch a := a.(type) {
	case Persist:
		m.disk.pending = append(m.disk.pending, a)
		epoch := m.epoch
		s.at(s.upTo(s.options.sync), func() { m.synced(epoch, a.Number) })
	case Send:
		s.send(a.Message, m)
	case Apply:
		for _, e := range a.Entries {
			m.apply(e)
		}
	case Install:
		m.applied = a.Snapshot.Meta.Index
		m.hash = binary.BigEndian.Uint64(a.Snapshot.Data)
		m.imaged = m.applied
		s.checker.installed(m)
		clear(m.open)
	case Accepted:
		m.open[a.Index] = a.Term
	case Ready:
		s.checker.ready(m, m.reads[a.ID], a.Index)
	case Demoted:
		clear(m.open)
	}
}

func (m *simMember) apply(e Entry) {
	m.sim.checker.applied(m, e)
	m.applied = e.Index
	m.hash = chain(m.hash, e)
	if term, ok := m.open[e.Index]; ok && term == e.Term {
		m.sim.checker.ack(e.Index)
	}
	delete(m.open, e.Index)
}

func (m *simMember) synced(epoch int, number uint64) {
	if m.epoch != epoch {
		return
	}
	done := 0
	for _, p := range m.disk.pending {
		if p.Number > number {
			break
		}
		m.disk.apply(p)
		done++
	}
	m.disk.pending = m.disk.pending[done:]
	if m.paused {
		m.backlog = append(m.backlog, Persisted{Number: number})
		return
	}
	m.step(Persisted{Number: number})
}

// image makes a snapshot now and then.
func (m *simMember) image() {
	s := m.sim
	if m.saving || m.applied < m.imaged+s.options.every {
		return
	}
	meta, ok := m.core.Describe(m.applied)
	if !ok {
		return
	}
	data := make([]byte, 3*simPiece+simPiece/2)
	binary.BigEndian.PutUint64(data, m.hash)
	meta.Size = int64(len(data))
	m.saving, m.imaged = true, m.applied
	epoch := m.epoch
	s.at(s.upTo(s.options.sync), func() { m.imageSaved(epoch, meta, data) })
}

func (m *simMember) imageSaved(epoch int, meta Meta, data []byte) {
	if m.epoch != epoch {
		return
	}
	m.saving = false
	if meta.Index <= m.disk.stored.Snapshot.Index {
		return
	}
	// Entries that wait for a sync may still replace these.
	entries := m.disk.stored.Entries
	cut := 0
	for cut < len(entries) && entries[cut].Index <= meta.Index {
		cut++
	}
	m.disk.stored.Entries = slices.Clone(entries[cut:])
	m.disk.stored.Snapshot = meta
	m.disk.keep(meta.Index, data)
	if m.paused {
		m.backlog = append(m.backlog, Saved{Meta: meta})
		return
	}
	m.step(Saved{Meta: meta})
}
