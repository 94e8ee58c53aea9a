package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// progress is a leader's view of a member's replication state.
type progress struct {
	match          uint64        // highest index known to be durable there
	next           uint64        // index of the next entry to send
	probing        bool          // send one message at a time until the log's match is known
	awaitingReply  bool          // a probe or snapshot chunk has no reply yet
	retryAt        time.Duration // when a probe or chunk without a reply counts as lost
	inflight       []uint64      // last index of each unacknowledged message with entries
	lastReply      time.Duration // when the last reply arrived
	ackedSentAt    time.Duration // own clock when the latest message with a reply was sent
	hasReplied     bool          // ackedSentAt is valid
	ackedRound     uint64        // latest heartbeat round acknowledged
	snapshot       *SnapshotMeta // snapshot being sent, nil for none
	snapshotOffset int64         // offset of the next chunk in bytes
	level          uint64        // highest level of commands that it understands, by its last reply
}

// joiner is an instance outside the configuration that sent a hello.
type joiner struct {
	name         string
	helloAt      time.Duration
	mayBootstrap bool // it is new and names this instance as the founder
}

// pendingRead is a read that waits until a majority acknowledged its heartbeat
// round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// queuedMessage is a message that waits for a persist to become durable.
type queuedMessage struct {
	message      Message
	afterPersist uint64 // number of the persist to wait for; afterHardState or afterStep until the step ends
}

// pendingPersist is a persist that isn't known to be durable yet.
type pendingPersist struct {
	number    uint64
	lastIndex uint64 // last log index once this persist is durable
	at        time.Duration
	others    time.Duration // when it was seen to be durable on a majority without this leader, 0 before
}

// indexedConfig is a configuration and its log index.
type indexedConfig struct {
	index     uint64
	config    Config
	voterSets voterSets
}

func newIndexedConfig(index uint64, config Config) indexedConfig {
	return indexedConfig{index: index, config: config, voterSets: config.voterSets()}
}

// Core is the Raft state machine of one member.
type Core struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration
	disabled disabledSafeguards

	hardState    HardState
	log          entryLog
	snapshotMeta SnapshotMeta
	configs      []indexedConfig // configurations in the log, oldest first; never empty
	commitIndex  uint64
	appliedIndex uint64

	// State of durable writes.
	persistNumber    uint64 // number of the last persist
	hardStatePersist uint64 // number of the last persist with a hard state
	durableIndex     uint64 // last log index known to be durable on this member
	durablePersist   uint64 // number of the last durable persist
	pendingPersists  []pendingPersist
	heldMessages     []queuedMessage

	role             Role
	leader           string            // identity, "" while unknown
	leaderContact    time.Duration     // last message from a leader, or the start
	electionDeadline time.Duration     // when to start a campaign
	deadlineExtended bool              // it was put off because this member was held up
	lastTick         time.Duration     // when the last tick was handled, or the start
	electionNoted    time.Duration     // latest note that there is no leader
	heardFrom        string            // name of the latest message's sender
	heardAt          time.Duration     // when it arrived
	votes            map[string]bool   // identities that granted a vote
	preVotes         map[string]bool   // identities that granted a pre-vote, nil unless it asks for these
	ignoreLease      bool              // this campaign was requested by the leader to transfer leadership
	founder          string            // identity of the instance that bootstraps the group, as last heard
	otherGroup       bool              // one of the founders belongs to another group
	nextHello        time.Duration     // when to send the next hellos
	joiners          map[string]joiner // by identity
	introduced       []string          // names of members that members named to this one, the latest first
	incoming         incomingSnapshot

	// Valid while this member leads.
	electedAt        time.Duration
	resumedAt        time.Duration        // when it last went on after it was held up, or the election
	nextHeartbeat    time.Duration        // when to send the next heartbeats
	peers            map[string]*progress // by identity
	round            uint64               // latest heartbeat round
	pendingReads     []pendingRead
	deferredReads    []pendingRead // wait until an entry of this term is committed
	termStartIndex   uint64        // index of this term's first entry
	uncommittedBytes int           // data bytes of uncommitted entries
	transfer         transfer

	// Collected during a step, emitted by finishStep.
	hardStateChanged bool
	newEntries       []Entry
	newSnapshot      *Snapshot
	newMessages      []queuedMessage
	actions          []Action
}

// transfer is the state of a leadership transfer.
type transfer struct {
	requested    bool
	target       string
	leaseGivenUp bool // this leader no longer relies on its lease in this term
	expiresAt    time.Duration
}

// disabledSafeguards turns off single safeguards, so that tests can show that
// each of them is needed.
type disabledSafeguards struct {
	preVote        bool // without it: campaign with a new term at once
	syncBeforeSend bool // without it: send and count entries before they are durable
	clockMargin    bool // without it: ignore the rate error of clocks in the lease
	voteLease      bool // without it: grant votes while a leader may hold a lease
	startWait      bool // without it: grant votes right after the start
	ownTermCommit  bool // without it: commit entries of older terms by counting replicas
	leaseFromSend  bool // without it: the lease starts when the reply arrives, not when the request was sent
	readRound      bool // without it: answer reads without a majority's confirmation
	catchUp        bool // without it: promote learners that lag behind
	fullBootstrap  bool // without it: bootstrap with a majority of the initial voters
	singleChange   bool // without it: start a membership change while another is in progress
}

// New returns the core of a member that starts at time now with the durable
// state of its data folder.
func New(s Settings, stored DurableState, random *rand.Rand, now time.Duration) *Core {
	c := &Core{
		settings:      s,
		random:        random,
		now:           now,
		hardState:     stored.Hard,
		snapshotMeta:  stored.Snapshot,
		leaderContact: now,
		lastTick:      now,
		peers:         make(map[string]*progress),
		joiners:       make(map[string]joiner),
	}
	if c.hardState.Group == s.Identity && len(stored.Entries) == 0 && stored.Snapshot.Index == 0 {
		// The instance crashed while bootstrapping the group, before its first
		// entry was durable: it has sent nothing, so it may start over.
		c.hardState = HardState{}
	}
	c.log.reset(stored.Snapshot.Index, stored.Snapshot.Term)
	c.configs = []indexedConfig{newIndexedConfig(stored.Snapshot.Index, stored.Snapshot.Config)}
	if stored.Snapshot.Index == 0 {
		c.configs[0] = newIndexedConfig(0, c.firstConfig())
	}
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			c.addEntry(e)
		}
	}
	c.commitIndex, c.appliedIndex = stored.Snapshot.Index, stored.Snapshot.Index
	c.durableIndex = c.log.last()
	c.resetElectionDeadline()
	if c.isFounding() {
		c.setElectionDeadline(s.HeartbeatInterval + c.jitter(2*s.HeartbeatInterval))
	}
	return c
}

// Step processes an event at time now and returns the actions to carry out.
func (c *Core) Step(now time.Duration, event Event) []Action {
	if now > c.now {
		c.now = now
	}
	c.actions = nil
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Receive:
		c.handleMessage(e.Message)
	case Propose:
		c.propose(e.Commands)
	case Persisted:
		c.handlePersisted(e.Number)
	case Read:
		c.requestRead(e.ID)
	case Change:
		c.proposeChange(e)
	case SnapshotSaved:
		c.handleSnapshotSaved(e.Meta)
	case TransferLeadership:
		if !e.IfReady || c.hasSuccessor() {
			c.startTransfer()
		}
	case Seeds:
		c.setSeeds(e.Names)
	default:
		panic(fmt.Sprintf("quorum: unknown event %T", event))
	}
	c.finishStep()
	return c.actions
}

// finishStep turns what the step collected into actions.
func (c *Core) finishStep() {
	if c.role == RoleLeader {
		c.advanceCommit()
		c.replicate()
	}
	c.emitPersist()
	c.emitMessages()
	c.emitApply()
}

// emitPersist emits the state that must be made durable.
func (c *Core) emitPersist() {
	if !c.hardStateChanged && len(c.newEntries) == 0 && c.newSnapshot == nil {
		return
	}
	c.persistNumber++
	p := Persist{Number: c.persistNumber, Entries: c.newEntries, Snapshot: c.newSnapshot}
	if c.hardStateChanged {
		hard := c.hardState
		p.Hard = &hard
		c.hardStatePersist = c.persistNumber
	}
	c.pendingPersists = append(c.pendingPersists, pendingPersist{number: c.persistNumber, lastIndex: c.log.last(), at: c.now})
	c.actions = append(c.actions, p)
	if c.newSnapshot != nil {
		c.actions = append(c.actions, InstallSnapshot{Snapshot: *c.newSnapshot})
	}
	c.hardStateChanged, c.newEntries, c.newSnapshot = false, nil, nil
}

// emitMessages emits the messages whose preceding persist is durable, and holds
// back the others.
func (c *Core) emitMessages() {
	for _, m := range c.newMessages {
		if m.afterPersist == afterStep {
			m.afterPersist = c.persistNumber
		} else {
			m.afterPersist = c.hardStatePersist
		}
		c.heldMessages = append(c.heldMessages, m)
	}
	c.newMessages = c.newMessages[:0]
	c.heldMessages = slices.DeleteFunc(c.heldMessages, func(m queuedMessage) bool {
		if m.afterPersist > c.durablePersist && !c.disabled.syncBeforeSend {
			return false
		}
		c.actions = append(c.actions, Send{Message: m.message})
		return true
	})
}

// handlePersisted records that all persists up to number are durable.
func (c *Core) handlePersisted(number uint64) {
	if number <= c.durablePersist {
		return
	}
	if c.role == RoleCandidate && c.hardStatePersist > c.durablePersist && c.hardStatePersist <= number {
		c.awaitVotes()
	}
	durable := 0
	for _, p := range c.pendingPersists {
		if p.number > number {
			break
		}
		c.durableIndex = p.lastIndex
		durable++
	}
	c.durablePersist = number
	c.pendingPersists = c.pendingPersists[durable:]
}

// emitApply emits the entries that are committed and durable on this member.
func (c *Core) emitApply() {
	last := min(c.commitIndex, c.durableIndex)
	if last <= c.appliedIndex {
		return
	}
	entries := c.log.slice(c.appliedIndex, last)
	for i, e := range entries {
		if e.Index != c.appliedIndex+1+uint64(i) {
			panic(fmt.Sprintf("quorum: entry %d applied after %d", e.Index, c.appliedIndex))
		}
	}
	c.appliedIndex = last
	c.actions = append(c.actions, Apply{Entries: entries})
}

// setCommit advances the commit index. It panics if the index would decrease.
func (c *Core) setCommit(index uint64) {
	if index < c.commitIndex {
		panic(fmt.Sprintf("quorum: commit index falls from %d to %d", c.commitIndex, index))
	}
	if index > c.log.last() {
		panic(fmt.Sprintf("quorum: commit index %d is past the last entry %d", index, c.log.last()))
	}
	if c.role == RoleLeader {
		c.uncommittedBytes -= dataBytes(c.log.slice(c.commitIndex, index))
	}
	c.commitIndex = index
}

// dataBytes returns the bytes of the entries' data.
func dataBytes(entries []Entry) int {
	n := 0
	for i := range entries {
		n += len(entries[i].Data)
	}
	return n
}

// addEntry appends an entry to the in-memory log; a configuration takes effect
// at once.
func (c *Core) addEntry(e Entry) {
	c.log.append(e)
	if e.Kind == EntryConfig {
		c.configs = append(c.configs, newIndexedConfig(e.Index, *e.Config))
	}
}

// appendNew appends an entry that isn't durable yet.
func (c *Core) appendNew(e Entry) {
	c.addEntry(e)
	c.newEntries = append(c.newEntries, e)
}

// truncateLog drops the entries from index on, which conflict with the current
// leader's log.
func (c *Core) truncateLog(index uint64) {
	if index <= c.commitIndex {
		panic(fmt.Sprintf("quorum: truncating committed entry %d, commit %d", index, c.commitIndex))
	}
	c.log.truncate(index)
	for len(c.configs) > 1 && c.configs[len(c.configs)-1].index >= index {
		c.configs = c.configs[:len(c.configs)-1]
	}
	c.durableIndex = min(c.durableIndex, index-1)
	for i := range c.pendingPersists {
		c.pendingPersists[i].lastIndex = min(c.pendingPersists[i].lastIndex, index-1)
	}
}

// config returns the latest configuration in the log, committed or not.
func (c *Core) config() Config {
	return c.configs[len(c.configs)-1].config
}

// voterSets returns the voter sets of the latest configuration.
func (c *Core) voterSets() voterSets {
	return c.configs[len(c.configs)-1].voterSets
}

func (c *Core) configIndex() uint64 {
	return c.configs[len(c.configs)-1].index
}

// setHardState changes the hard state, which is made durable before any later
// message is sent.
func (c *Core) setHardState(h HardState) {
	if h.Term < c.hardState.Term {
		panic(fmt.Sprintf("quorum: term falls from %d to %d", c.hardState.Term, h.Term))
	}
	if h.Term == c.hardState.Term && c.hardState.Vote != "" && h.Vote != c.hardState.Vote {
		panic(fmt.Sprintf("quorum: second vote in term %d", h.Term))
	}
	if c.hardState.Group != "" && h.Group != c.hardState.Group {
		panic("quorum: change of group")
	}
	if h != c.hardState {
		c.hardState, c.hardStateChanged = h, true
	}
}

func (c *Core) resetElectionDeadline() {
	c.setElectionDeadline(c.settings.ElectionTimeout + c.jitter(c.settings.ElectionTimeout/2))
}

func (c *Core) setElectionDeadline(d time.Duration) {
	c.electionDeadline, c.deadlineExtended = c.now+d, false
}

func (c *Core) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *Core) note(format string, args ...any) {
	c.actions = append(c.actions, Note{Text: fmt.Sprintf(format, args...)})
}
