package quorum

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// options of a simulated run.
type options struct {
	open           bool // instances know only the first voters
	wanted         int  // voters to grow to
	voters, spares int
	length         time.Duration // faults stop after it
	loss, copies   float64       // share of messages lost and duplicated
	newLoss        float64       // share of messages lost that carry entries of their own term
	late           float64       // share of messages with a long delay
	delay          time.Duration // longest long delay
	rate           float64       // clocks run at 1-rate to 1+rate
	drift          float64       // bound given to the members
	sync           time.Duration // longest sync
	replace        time.Duration
	every          uint64 // entries between snapshots
	batch          int
	gap            time.Duration // between proposals
	sameIdentity   bool          // a lost folder comes back under its old identity
	earlyLoss      bool          // folders may be lost while the group is founded
	noProgress     bool          // don't ask for progress in the end
	faults         faults
}

func usual(voters, spares int) options {
	return options{
		voters: voters, spares: spares, length: 12 * time.Second,
		loss: 0.02, copies: 0.02, late: 0.01, delay: 400 * time.Millisecond,
		rate: 0.05, drift: 0.05, sync: 8 * time.Millisecond,
		replace: 2 * time.Second, every: 60, batch: 200, gap: 7 * time.Millisecond,
	}
}

// violation is what a checker found.
type violation string

// sim runs a group on one simulated clock.
type sim struct {
	options options
	random  *rand.Rand
	now     time.Duration
	agenda  agenda
	order   int
	steps   int
	members []*simMember
	cuts    map[[2]int]bool
	lossy   map[int]bool // members that may lose folders early
	ids     uint64
	serial  int
	checker checker
	quiet   bool // no more faults
}

const (
	simHeartbeat = 50 * time.Millisecond
	simElection  = 300 * time.Millisecond
	simTick      = 10 * time.Millisecond
)

func newSim(o options, seed uint64) *sim {
	s := &sim{
		options: o,
		random:  rand.New(rand.NewPCG(seed, 1)),
		cuts:    make(map[[2]int]bool),
		lossy:   make(map[int]bool),
		checker: newChecker(),
	}
	for i := range o.voters + o.spares {
		m := &simMember{
			sim:    s,
			number: i,
			name:   fmt.Sprintf("m%d", i),
			rate:   1 - o.rate + 2*o.rate*s.random.Float64(),
			offset: time.Duration(s.random.Int64N(int64(time.Hour))),
		}
		if s.random.IntN(3) == 0 {
			m.rate = 1 + o.rate*float64(1-2*s.random.IntN(2))
		}
		s.members = append(s.members, m)
		m.newFolder(true)
		m.boot()
	}
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.agenda, action{at: s.now + d, order: s.order, do: do})
}

func (s *sim) chance(p float64) bool { return s.random.Float64() < p }

func (s *sim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// run carries out a schedule and returns what was violated, "" for nothing.
func run(o options, seed uint64, troubles []trouble) (found violation, steps int) {
	s := newSim(o, seed)
	defer func() {
		steps = s.steps
		switch v := recover().(type) {
		case nil:
		case violation:
			found = v
		default:
			// The assertions of the core itself.
			found = violation(fmt.Sprint(v))
		}
	}()
	for _, t := range troubles {
		s.at(t.at, func() { s.cause(t) })
	}
	s.at(0, s.client)
	s.runUntil(func() bool { return s.now >= o.length })
	s.settle()
	return "", s.steps
}

func (s *sim) runUntil(done func() bool) {
	for !done() {
		a := heap.Pop(&s.agenda).(action)
		s.now = a.at
		a.do()
		s.steps++
		if s.steps%500 == 0 {
			s.checker.matching(s.members)
		}
	}
}

// settle heals everything and asks for progress and equal states.
func (s *sim) settle() {
	s.quiet = true
	clear(s.cuts)
	s.options.loss, s.options.copies, s.options.late, s.options.newLoss = 0, 0, 0, 0
	for _, m := range s.members {
		if !m.alive {
			m.boot()
		}
		m.resume()
	}
	s.checker.matching(s.members)
	if s.options.noProgress {
		return
	}
	limit, acked := s.now+40*time.Second, s.checker.acks
	s.runUntil(func() bool { return s.now > limit || (s.checker.acks > acked+20 && s.equal()) })
	if s.now > limit {
		panic(violation("no progress after all faults were healed: " + s.describe()))
	}
	s.checker.matching(s.members)
}

// equal tells whether all instances belong to the group again and agree, but
// for what is on its way.
func (s *sim) equal() bool {
	for _, m := range s.members {
		if m.core.Group() == "" || m.applied+20 < s.checker.acked {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	text := ""
	for _, m := range s.members {
		text += fmt.Sprintf("%s %s role %d term %d commit %d applied %d config %v\n",
			m.name, m.identity, m.core.Role(), m.core.Term(), m.core.Commit(), m.applied, m.core.Config())
	}
	return text
}

// client proposes and reads at random members, leaders most of the time.
func (s *sim) client() {
	m := s.members[s.random.IntN(len(s.members))]
	for _, other := range s.members {
		if other.alive && other.core.Role() == RoleLeader && s.chance(0.6) {
			m = other
		}
	}
	if m.alive && !m.paused {
		s.ids++
		if s.chance(0.7) {
			data := binary.BigEndian.AppendUint64(nil, s.ids)
			m.step(Propose{Commands: []Command{{ID: s.ids, Data: data}}})
		} else {
			m.reads[s.ids] = s.checker.acked
			m.step(Read{ID: s.ids})
		}
	}
	s.at(s.upTo(2*s.options.gap), s.client)
}

func (s *sim) send(m Message, from *simMember) {
	to := slices.IndexFunc(s.members, func(o *simMember) bool { return o.name == m.To })
	if to < 0 {
		return
	}
	if m.Kind == MessagePiece {
		data, ok := from.disk.images[m.Meta.Index]
		if !ok {
			return
		}
		end := min(m.Offset+simPiece, int64(len(data)))
		m.Data = data[min(m.Offset, end):end]
	}
	if len(m.Entries) > 0 && m.Entries[0].Term == m.Term && m.Term > 1 && s.chance(s.options.newLoss) {
		return
	}
	n := 1
	if s.chance(s.options.copies) {
		n = 2
	}
	for range n {
		if s.cuts[[2]int{from.number, to}] || s.chance(s.options.loss) {
			continue
		}
		delay := 200*time.Microsecond + s.upTo(3*time.Millisecond)
		if s.chance(s.options.late) {
			delay = s.upTo(s.options.delay)
		}
		s.at(delay, func() { s.members[to].deliver(m) })
	}
}

const simPiece = 100
