package quorum

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// invariants checks the safety properties of the whole group.
type invariants struct {
	entries    []Entry           // committed entries by index; the first is empty
	hashes     []uint64          // chained hash of the entries up to an index
	leaders    map[string]string // identity and epoch of the leader by group and term
	ackedIndex uint64            // highest index whose outcome a client knows
	ackCount   int
	ackedGroup string // group that acknowledged something, "" before
}

func newInvariants() invariants {
	return invariants{entries: make([]Entry, 1), hashes: make([]uint64, 1), leaders: make(map[string]string)}
}

// reportViolation ends the run with a panic, which runSimulation recovers.
func reportViolation(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...)))
}

// chainHash returns the hash of a log prefix extended by an entry.
func chainHash(hash uint64, e Entry) uint64 {
	b := binary.BigEndian.AppendUint64(nil, hash)
	b = binary.BigEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	b = append(b, e.Data...)
	if e.Config != nil {
		b = append(b, fmt.Sprint(*e.Config)...)
	}
	return xxhash.Sum64(b)
}

// checkApplied checks that all members apply the same entries in order.
func (c *invariants) checkApplied(m *simMember, e Entry) {
	if e.Index != m.applied+1 {
		reportViolation("%s applies entry %d after %d", m.name, e.Index, m.applied)
	}
	switch {
	case e.Index > uint64(len(c.entries)):
		reportViolation("%s applies entry %d, but the group applied only %d", m.name, e.Index, len(c.entries)-1)
	case e.Index == uint64(len(c.entries)):
		c.entries = append(c.entries, e)
		c.hashes = append(c.hashes, chainHash(c.hashes[e.Index-1], e))
	}
	if got := chainHash(m.hash, e); got != c.hashes[e.Index] {
		reportViolation("%s applies a different entry %d: term %d, others applied term %d", m.name, e.Index, e.Term, c.entries[e.Index].Term)
	}
}

// checkInstalled checks that an installed snapshot holds a state that the group
// had.
func (c *invariants) checkInstalled(m *simMember) {
	if m.applied >= uint64(len(c.hashes)) || m.hash != c.hashes[m.applied] {
		reportViolation("%s installs a snapshot at %d of a state that the group never had", m.name, m.applied)
	}
}

// recordAck records that a client knows that its proposal was applied.
func (c *invariants) recordAck(m *simMember, index uint64) {
	c.checkSingleGroup(m)
	c.ackCount++
	c.ackedIndex = max(c.ackedIndex, index)
}

// checkSingleGroup checks that only one group answers clients.
func (c *invariants) checkSingleGroup(m *simMember) {
	group := m.core.Group()
	if c.ackedGroup != "" && c.ackedGroup != group {
		reportViolation("%s acknowledges for group %s, but group %s did so before", m.name, group, c.ackedGroup)
	}
	c.ackedGroup = group
}

// checkRead checks that a read sees all that any client knew when it began.
func (c *invariants) checkRead(m *simMember, floor, index uint64) {
	c.checkSingleGroup(m)
	if index < floor {
		reportViolation("%s reads at index %d, but index %d was known to a client", m.name, index, floor)
	}
	c.ackedIndex = max(c.ackedIndex, index)
}

// checkLeader checks that a term has one leader, and that no other member holds
// the lease of an earlier term.
func (c *invariants) checkLeader(m *simMember, all []*simMember) {
	key := fmt.Sprintf("%s/%d", m.core.Group(), m.core.Term())
	leader := fmt.Sprintf("%s epoch %d", m.identity, m.epoch)
	if m.core.Term() == 1 {
		// A founder that crashed before its first entry was durable has sent
		// nothing, so it may bootstrap the group again.
		leader = m.identity
	}
	if known, ok := c.leaders[key]; ok && known != leader {
		reportViolation("term %s has two leaders: %s and %s", key, known, leader)
	}
	c.leaders[key] = leader
	for _, o := range all {
		if o != m && o.holdsLease() && o.core.Term() < m.core.Term() {
			reportViolation("%s leads term %d while %s holds the lease of term %d", m.name, m.core.Term(), o.name, o.core.Term())
		}
	}
}

func (m *simMember) holdsLease() bool {
	if !m.alive {
		return false
	}
	_, until := m.core.Lease()
	return m.localTime() < until
}

// checkLease checks that no two members hold a lease at the same time, and that the one
// that does knows of all entries that were committed before its term.
func (c *invariants) checkLease(m *simMember, all []*simMember) {
	if !m.holdsLease() {
		return
	}
	if n := m.core.CommitIndex(); n < c.ackedIndex {
		reportViolation("%s holds a lease at commit index %d, but index %d is known to a client", m.name, n, c.ackedIndex)
	}
	for _, o := range all {
		if o != m && o.holdsLease() {
			reportViolation("%s and %s both hold a lease", m.name, o.name)
		}
	}
}

// checkLogs checks Raft's log matching property: two logs with the same term at
// an index are equal up to that index.
func (c *invariants) checkLogs(all []*simMember) {
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.core.Group() == b.core.Group() {
				c.checkLogPair(a, b)
			}
		}
	}
}

func (c *invariants) checkLogPair(a, b *simMember) {
	matched := false
	la, lb := &a.core.log, &b.core.log
	for index := min(la.last(), lb.last()); index > max(la.baseIndex, lb.baseIndex); index-- {
		ea, eb := la.entries[index-la.baseIndex-1], lb.entries[index-lb.baseIndex-1]
		if ea.Term == eb.Term {
			matched = true
		}
		if matched && (ea.Term != eb.Term || chainHash(0, ea) != chainHash(0, eb)) {
			reportViolation("logs of %s and %s differ at index %d below an equal term", a.name, b.name, index)
		}
	}
}

// checkPromotion checks that a leader promotes only members that have nearly all
// committed entries, so that no majority depends on a lagging voter.
func (c *invariants) checkPromotion(m *simMember, all []*simMember) {
	configs := m.core.configs
	if m.core.Role() != RoleLeader || len(configs) < 2 || m.core.configIndex() <= m.checkedConfig {
		return
	}
	m.checkedConfig = m.core.configIndex()
	c.checkReplaced(m, all)
	last, before := configs[len(configs)-1], configs[len(configs)-2]
	if m.core.log.lastTerm() != m.core.Term() || len(before.config.Members) == 0 {
		return
	}
	for _, o := range all {
		added := last.config.IsVoter(o.identity) && !before.config.IsVoter(o.identity)
		if added && o.core.LastIndex()+2*maxCatchUpLag < m.core.CommitIndex() {
			reportViolation("%s promotes %s with last index %d, commit index %d", m.name, o.name, o.core.LastIndex(), m.core.CommitIndex())
		}
	}
}

// checkReplaced checks that a leader replaces a voter whose folder is there only after the
// replacement time, and that no replacement leaves fewer voters.
func (c *invariants) checkReplaced(m *simMember, all []*simMember) {
	config := m.core.config()
	if term, _ := m.core.log.term(m.core.configIndex()); !config.IsJoint() || term != m.core.Term() {
		return
	}
	outgoing := 0
	for _, v := range config.Members {
		if v.Outgoing {
			outgoing++
		}
		lost := v.Outgoing && !v.Voter && m.core.now-m.core.lastHeard(v.Identity) < m.core.settings.ReplaceAfter
		if lost && slices.ContainsFunc(all, func(o *simMember) bool { return o.identity == v.Identity }) {
			reportViolation("%s replaces %s, whose folder %s is there", m.name, v.Name, v.Identity)
		}
	}
	if config.VoterCount() != outgoing {
		reportViolation("%s replaces a voter and goes from %d voters to %d", m.name, outgoing, config.VoterCount())
	}
}
