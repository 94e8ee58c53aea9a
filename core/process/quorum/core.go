package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// progress is what a leader knows of a member.
type progress struct {
	match    uint64        // highest index known to be durable there
	next     uint64        // next index to send
	probing  bool          // one message at a time until the logs are known to match
	waiting  bool          // a probe or piece is on its way
	resend   time.Duration // when to try again
	inflight []uint64      // last index of each message with entries on its way
	heard    time.Duration // when a reply arrived last
	acked    time.Duration // own clock when the newest answered message was sent
	answered bool          // acked is valid
	round    uint64        // newest round confirmed
	piece    *Meta         // snapshot on its way
	offset   int64
}

// seen is a member outside of the configuration that made itself known.
type seen struct {
	name  string
	at    time.Duration
	found bool // it is new and has echoed this founder
}

type read struct {
	id    uint64
	index uint64
	round uint64
}

type outgoing struct {
	message Message
	after   uint64 // number of the persist that must be durable first
}

type pendingPersist struct {
	number uint64
	last   uint64 // last index of the log with it
}

type placedConfig struct {
	index  uint64
	config Config
	sets   voterSets
}

func place(index uint64, config Config) placedConfig {
	return placedConfig{index: index, config: config, sets: config.sets()}
}

// Core is the state machine of one member.
type Core struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	faults   faults

	hard     HardState
	log      entryLog
	snapshot Meta
	configs  []placedConfig // configurations in the log, oldest first; never empty
	commit   uint64
	applied  uint64

	// Durability.
	number    uint64 // of the last persist
	hardAfter uint64 // number of the last persist with a hard state
	durable   uint64 // last index known to be durable here
	persisted uint64 // number of the last persist that is durable
	persists  []pendingPersist
	held      []outgoing

	role     Role
	leader   string        // identity, "" while unknown
	heard    time.Duration // when the leader was heard last, or the start
	deadline time.Duration // when to campaign
	votes    map[string]bool
	force    bool // this campaign follows a transfer
	founder  string
	hello    time.Duration // when to say hello next
	strange  map[string]seen
	receive  receiving

	// Leader.
	elected  time.Duration
	beat     time.Duration // when to send heartbeats next
	peers    map[string]*progress
	round    uint64
	reads    []read
	waiting  []read // until this term has a committed entry
	first    uint64 // index of the empty entry of this term
	open     int    // bytes of entries not yet committed
	transfer transfer

	// Collected during a step.
	dirty    bool
	fresh    []Entry
	install  *Snapshot
	messages []outgoing
	actions  []Action
}

type transfer struct {
	asked   bool
	target  string
	void    bool // the lease of this term was given up
	expires time.Duration
}

// faults takes out single guards, so that tests can show that each is needed.
type faults struct {
	noPreVote    bool // campaign with a new term at once
	sendEarly    bool // send before the state is durable
	noMargin     bool // ignore the clocks' rate error in the lease
	noVoteLease  bool // grant votes while the leader is fresh
	noStartWait  bool // grant votes right after the start
	commitOld    bool // count replicas of entries of older terms
	leaseAtReply bool // count the lease from the reply instead of the sending
	noReadRound  bool // answer reads without confirmation
	noCatchUp    bool // promote learners that lag
	freeFounding bool // found a group without all first voters
	openChange   bool // start a change while another is open
}

// New returns the core of a member that starts at now with what it found in
// its folder.
func New(s Settings, stored Stored, random *rand.Rand, now time.Duration) *Core {
	c := &Core{
		settings: s,
		random:   random,
		now:      now,
		hard:     stored.Hard,
		snapshot: stored.Snapshot,
		heard:    now,
		peers:    make(map[string]*progress),
		strange:  make(map[string]seen),
	}
	if c.hard.Group == s.Identity && len(stored.Entries) == 0 && stored.Snapshot.Index == 0 {
		// A crash came while founding, before the first entry was durable:
		// nothing was promised to anyone.
		c.hard = HardState{}
	}
	c.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	c.configs = []placedConfig{place(stored.Snapshot.Index, stored.Snapshot.Config)}
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			c.addEntry(e)
		}
	}
	c.commit, c.applied = stored.Snapshot.Index, stored.Snapshot.Index
	c.durable = c.log.last()
	c.resetDeadline()
	return c
}

// Step takes an event at a time and returns what to do.
func (c *Core) Step(now time.Duration, event Event) []Action {
	if now > c.now {
		c.now = now
	}
	c.actions = nil
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.deliver(e.Message)
	case Propose:
		c.propose(e.Commands)
	case Persisted:
		c.acknowledge(e.Number)
	case Read:
		c.read(e.ID)
	case Change:
		c.change(e)
	case Saved:
		c.saved(e.Meta)
	case Transfer:
		c.startTransfer()
	default:
		panic(fmt.Sprintf("quorum: unknown event %T", event))
	}
	c.finish()
	return c.actions
}

// finish turns what a step collected into actions.
func (c *Core) finish() {
	if c.role == RoleLeader {
		c.advanceCommit()
		c.replicate()
	}
	c.flush()
	c.release()
	c.applyCommitted()
}

// flush emits what must be made durable.
func (c *Core) flush() {
	if !c.dirty && len(c.fresh) == 0 && c.install == nil {
		return
	}
	c.number++
	p := Persist{Number: c.number, Entries: c.fresh, Snapshot: c.install}
	if c.dirty {
		hard := c.hard
		p.Hard = &hard
		c.hardAfter = c.number
	}
	c.persists = append(c.persists, pendingPersist{number: c.number, last: c.log.last()})
	c.actions = append(c.actions, p)
	if c.install != nil {
		c.actions = append(c.actions, Install{Snapshot: *c.install})
	}
	c.dirty, c.fresh, c.install = false, nil, nil
}

// release emits the messages whose promises are durable.
func (c *Core) release() {
	for _, o := range c.messages {
		if o.after == waitAll {
			o.after = c.number
		} else {
			o.after = c.hardAfter
		}
		c.held = append(c.held, o)
	}
	c.messages = c.messages[:0]
	c.held = slices.DeleteFunc(c.held, func(o outgoing) bool {
		if o.after > c.persisted && !c.faults.sendEarly {
			return false
		}
		c.actions = append(c.actions, Send{Message: o.message})
		return true
	})
}

// acknowledge notes that persists became durable.
func (c *Core) acknowledge(number uint64) {
	if number <= c.persisted {
		return
	}
	c.persisted = number
	done := 0
	for _, p := range c.persists {
		if p.number > number {
			break
		}
		c.durable = p.last
		done++
	}
	c.persists = c.persists[done:]
}

// applyCommitted hands out entries that are committed and durable here.
func (c *Core) applyCommitted() {
	upTo := min(c.commit, c.durable)
	if upTo <= c.applied {
		return
	}
	entries := c.log.slice(c.applied, upTo)
	for i, e := range entries {
		if e.Index != c.applied+1+uint64(i) {
			panic(fmt.Sprintf("quorum: entry %d applied after %d", e.Index, c.applied))
		}
	}
	c.applied = upTo
	c.actions = append(c.actions, Apply{Entries: entries})
}

// setCommit moves the commit index, which never falls.
func (c *Core) setCommit(index uint64) {
	if index < c.commit {
		panic(fmt.Sprintf("quorum: commit falls from %d to %d", c.commit, index))
	}
	if index > c.log.last() {
		panic(fmt.Sprintf("quorum: commit %d past the log's end %d", index, c.log.last()))
	}
	if c.role == RoleLeader {
		c.open -= size(c.log.slice(c.commit, index))
	}
	c.commit = index
}

// size sums up the data of entries.
func size(entries []Entry) int {
	n := 0
	for i := range entries {
		n += len(entries[i].Data)
	}
	return n
}

// addEntry appends to the log in memory and takes up a configuration.
func (c *Core) addEntry(e Entry) {
	c.log.append(e)
	if e.Kind == EntryConfig {
		c.configs = append(c.configs, place(e.Index, *e.Config))
	}
}

// appendFresh appends an entry that must be made durable.
func (c *Core) appendFresh(e Entry) {
	c.addEntry(e)
	c.fresh = append(c.fresh, e)
}

// truncate drops entries that another leader overwrote.
func (c *Core) truncate(index uint64) {
	if index <= c.commit {
		panic(fmt.Sprintf("quorum: truncating committed entry %d, commit %d", index, c.commit))
	}
	c.log.truncate(index)
	for len(c.configs) > 1 && c.configs[len(c.configs)-1].index >= index {
		c.configs = c.configs[:len(c.configs)-1]
	}
	c.durable = min(c.durable, index-1)
	for i := range c.persists {
		c.persists[i].last = min(c.persists[i].last, index-1)
	}
}

// config is the newest configuration in the log.
func (c *Core) config() Config {
	return c.configs[len(c.configs)-1].config
}

// sets are the voters of the newest configuration.
func (c *Core) sets() voterSets {
	return c.configs[len(c.configs)-1].sets
}

func (c *Core) configIndex() uint64 {
	return c.configs[len(c.configs)-1].index
}

// setHard changes the hard state; it is made durable before messages leave.
func (c *Core) setHard(h HardState) {
	if h.Term < c.hard.Term {
		panic(fmt.Sprintf("quorum: term falls from %d to %d", c.hard.Term, h.Term))
	}
	if h.Term == c.hard.Term && c.hard.Vote != "" && h.Vote != c.hard.Vote {
		panic(fmt.Sprintf("quorum: second vote in term %d", h.Term))
	}
	if c.hard.Group != "" && h.Group != c.hard.Group {
		panic("quorum: change of group")
	}
	if h != c.hard {
		c.hard, c.dirty = h, true
	}
}

func (c *Core) resetDeadline() {
	c.deadline = c.now + c.settings.Election + c.jitter(c.settings.Election/2)
}

func (c *Core) jitter(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(most)))
}

func (c *Core) note(format string, args ...any) {
	c.actions = append(c.actions, Note{Text: fmt.Sprintf(format, args...)})
}
