package quorum

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// options configures a simulated run.
type options struct {
	openMembership          bool // settings name the initial voters only
	targetVoters            int  // number of voters to grow to
	founding                bool // a majority of the initial voters founds the group
	refound                 bool // a founder that lost its folder takes part in the founding again
	anySeeds                bool // founders with different seeds take part in one founding
	voters, spares          int
	faultPeriod             time.Duration // no faults start after it
	lossRate, duplicateRate float64       // share of messages lost and duplicated
	ownTermLossRate         float64       // share lost of the messages that carry entries of the sender's term
	delayRate               float64       // share of messages with a long delay
	maxDelay                time.Duration // maximum long delay
	clockRateError          float64       // clocks run at 1-clockRateError to 1+clockRateError
	maxClockDrift           float64       // drift bound in the members' settings
	maxSync                 time.Duration // maximum duration of a disk sync
	replaceAfter            time.Duration
	snapshotInterval        uint64 // applied entries between snapshots
	batchBytes              int
	meanProposalGap         time.Duration // mean time between client requests
	reuseIdentity           bool          // a new data folder gets the identity of the lost one
	earlyFolderLoss         bool          // a minority may lose their folders during bootstrap
	skipProgressCheck       bool          // don't require progress at the end
	manualBoot              bool          // the test boots the members
	disabled                disabledSafeguards
}

// defaultOptions returns the options of a group with mild network faults.
func defaultOptions(voters, spares int) options {
	return options{
		voters: voters, spares: spares, faultPeriod: 12 * time.Second,
		lossRate: 0.02, duplicateRate: 0.02, delayRate: 0.01, maxDelay: 400 * time.Millisecond,
		clockRateError: 0.05, maxClockDrift: 0.05, maxSync: 8 * time.Millisecond,
		replaceAfter: 2 * time.Second, snapshotInterval: 60, batchBytes: 200, meanProposalGap: 7 * time.Millisecond,
	}
}

// violation describes a broken invariant.
type violation string

// violationOf returns the violation that a panic stands for: a check that failed, or a panic
// of the core itself.
func violationOf(v any) violation {
	if found, ok := v.(violation); ok {
		return found
	}
	return violation(fmt.Sprint(v))
}

// sim runs a group of members on a simulated clock and network.
type sim struct {
	options      options
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	sequence     int
	steps        int
	members      []*simMember
	cutLinks     map[[2]int]bool // by indices of sender and receiver
	lossyMembers map[int]bool    // members whose folders may be lost early
	lastID       uint64
	folderCount  int
	invariants   invariants
	healed       bool // all faults ended
}

const (
	simHeartbeat = 50 * time.Millisecond
	simElection  = 300 * time.Millisecond
	simTick      = 10 * time.Millisecond
)

func newSim(o options, seed uint64) *sim {
	s := &sim{
		options:      o,
		random:       rand.New(rand.NewPCG(seed, 1)),
		cutLinks:     make(map[[2]int]bool),
		lossyMembers: make(map[int]bool),
		invariants:   newInvariants(),
	}
	for i := range o.voters + o.spares {
		m := &simMember{
			sim:         s,
			index:       i,
			name:        fmt.Sprintf("m%d", i),
			clockRate:   1 - o.clockRateError + 2*o.clockRateError*s.random.Float64(),
			clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))),
		}
		if s.random.IntN(3) == 0 {
			m.clockRate = 1 + o.clockRateError*float64(1-2*s.random.IntN(2))
		}
		s.members = append(s.members, m)
		if o.founding && i < o.voters {
			m.newFoundingFolder(s.initialVoters())
		} else {
			m.newFolder(!o.founding)
		}
		if !o.manualBoot {
			m.boot()
		} else {
			m.initialize()
		}
	}
	return s
}

// initialVoters returns the names of the initial voters.
func (s *sim) initialVoters() []string {
	names := make([]string, s.options.voters)
	for i := range names {
		names[i] = fmt.Sprintf("m%d", i)
	}
	return names
}

// after schedules an event d from now.
func (s *sim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{at: s.now + d, sequence: s.sequence, run: run})
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

func (s *sim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// runSimulation runs a group under the given faults. It returns the violation
// found, "" for none, and the number of events run.
func runSimulation(o options, seed uint64, faults []fault) (found violation, steps int) {
	s := newSim(o, seed)
	defer func() {
		steps = s.steps
		if v := recover(); v != nil {
			found = violationOf(v)
		}
	}()
	for _, f := range faults {
		s.after(f.at, func() { s.inject(f) })
	}
	s.after(0, s.runClient)
	s.runUntil(func() bool { return s.now >= o.faultPeriod })
	s.healAndCheck()
	return "", s.steps
}

func (s *sim) runUntil(done func() bool) {
	for !done() {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		s.steps++
		if s.steps%500 == 0 {
			s.invariants.checkLogs(s.members)
		}
	}
}

// healAndCheck heals all faults, then expects progress and that all members
// catch up.
func (s *sim) healAndCheck() {
	s.healed = true
	clear(s.cutLinks)
	s.options.lossRate, s.options.duplicateRate, s.options.delayRate, s.options.ownTermLossRate = 0, 0, 0, 0
	for _, m := range s.members {
		m.bootIfDown()
		m.resume()
	}
	s.invariants.checkLogs(s.members)
	if s.options.skipProgressCheck {
		return
	}
	limit, acked := s.now+40*time.Second, s.invariants.ackCount
	s.runUntil(func() bool { return s.now > limit || (s.invariants.ackCount > acked+20 && s.converged()) })
	if s.now > limit {
		panic(violation("no progress after all faults were healed: " + s.describe()))
	}
	s.invariants.checkLogs(s.members)
}

// converged reports whether all instances belong to a group and have applied
// all acknowledged entries but the last few.
func (s *sim) converged() bool {
	for _, m := range s.members {
		if m.gone {
			continue
		}
		if m.core.Group() == "" || m.applied+20 < s.invariants.ackedIndex {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	report := ""
	for _, m := range s.members {
		report += fmt.Sprintf("%s %s role %d term %d commit %d applied %d config %v\n",
			m.name, m.identity, m.core.Role(), m.core.Term(), m.core.CommitIndex(), m.applied, m.core.Config())
	}
	return report
}

// runClient proposes to and reads from random members, mostly leaders, and
// schedules its next request.
func (s *sim) runClient() {
	m := s.members[s.random.IntN(len(s.members))]
	for _, other := range s.members {
		if other.alive && other.core.Role() == RoleLeader && s.chance(0.6) {
			m = other
		}
	}
	if m.alive && !m.paused {
		s.lastID++
		if s.chance(0.7) {
			data := binary.BigEndian.AppendUint64(nil, s.lastID)
			m.step(Propose{Commands: []Command{{ID: s.lastID, Data: data}}})
		} else {
			m.readFloors[s.lastID] = s.invariants.ackedIndex
			m.step(Read{ID: s.lastID})
		}
	}
	s.after(s.randomUpTo(2*s.options.meanProposalGap), s.runClient)
}

// send delivers a message after a random delay, or loses or duplicates it.
func (s *sim) send(m Message, from *simMember) {
	to := slices.IndexFunc(s.members, func(o *simMember) bool { return o.name == m.To })
	if to < 0 {
		return
	}
	if m.Kind == MessageChunk {
		data, ok := from.disk.snapshots[m.Meta.Index]
		if !ok {
			return
		}
		end := min(m.Offset+simChunkBytes, int64(len(data)))
		m.Data = data[min(m.Offset, end):end]
	}
	if len(m.Entries) > 0 && m.Entries[0].Term == m.Term && m.Term > 1 && s.chance(s.options.ownTermLossRate) {
		return
	}
	n := 1
	if s.chance(s.options.duplicateRate) {
		n = 2
	}
	for range n {
		if s.cutLinks[[2]int{from.index, to}] || s.chance(s.options.lossRate) {
			continue
		}
		delay := 200*time.Microsecond + s.randomUpTo(3*time.Millisecond)
		if s.chance(s.options.delayRate) {
			delay = s.randomUpTo(s.options.maxDelay)
		}
		s.after(delay, func() { s.members[to].deliver(m) })
	}
}

const simChunkBytes = 100
