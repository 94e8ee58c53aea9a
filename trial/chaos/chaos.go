// Package chaos makes schedules of faults from a seed. The same seed and
// options always give the same schedule.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of fault. Those on instances end after Fault.For; those on backend
// servers are healed then.
const (
	KillKeep   Kind = "kill_keep"   // kill -9, start again
	PauseKeep  Kind = "pause_keep"  // stop without its knowledge, go on
	CutKeep    Kind = "cut_keep"    // links cut both ways
	CutKeepOut Kind = "cut_keep_up" // nothing it sends arrives
	CutKeepIn  Kind = "cut_keep_dn" // nothing arrives at it
	WipeKeep   Kind = "wipe_keep"   // kill -9, remove the data folder, start again
	KillEntry  Kind = "kill_entry"
	PauseEntry Kind = "pause_entry"
	CutEntry   Kind = "cut_entry"
	StopEntry  Kind = "stop_entry" // SIGTERM, start again; planned
	Crash      Kind = "crash"      // engine
	Lag        Kind = "lag"        // load reports come late
	Silence    Kind = "silence"    // connections to a backend server go silent
	CutWire    Kind = "cut_wire"   // nothing passes to a backend server
	Cross      Kind = "cross"      // engine sends events to the wrong stream
	Late       Kind = "late"
	Twice      Kind = "duplicate"
	Short      Kind = "truncate"
	Lose       Kind = "lose"   // plain service runs and drops the answer
	Drain      Kind = "drain"  // engine; planned, declared again afterwards
	Assign     Kind = "assign" // engine; planned role change
	Race       Kind = "race"   // two operators under one number
)

// Planned tells whether a fault is a change that may cut nothing.
func (k Kind) Planned() bool {
	return k == StopEntry || k == Drain || k == Assign || k == Race
}

// Fault is one entry of a schedule.
type Fault struct {
	at     time.Duration
	kind   Kind
	target string
	length time.Duration
}

// At returns when the fault begins, counted from the start of the run.
func (f Fault) At() time.Duration { return f.at }

// Kind returns the kind.
func (f Fault) Kind() Kind { return f.kind }

// Target names what the fault hits.
func (f Fault) Target() string { return f.target }

// For returns how long the fault lasts.
func (f Fault) For() time.Duration { return f.length }

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %s", f.at.Round(time.Millisecond), f.kind, f.target, f.length.Round(time.Millisecond))
}

// Options bound a schedule.
type Options struct {
	Length  time.Duration // of the whole run
	Gap     time.Duration // mean time between two faults
	Longest time.Duration // longest fault
	Repair  time.Duration // least time between two lost folders
	Keepers []string
	Entries []string
	Engines []string
	Plains  []string
}

// quiet is the time at the end without faults, in which everything heals.
const quiet = 8 * time.Second

const shortest = 200 * time.Millisecond

// weights tell how often each kind comes up.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillKeep, 2},
	{PauseKeep, 2},
	{CutKeep, 2},
	{CutKeepOut, 2},
	{CutKeepIn, 2},
	{WipeKeep, 1},
	{KillEntry, 3},
	{PauseEntry, 2},
	{CutEntry, 3},
	{StopEntry, 3},
	{Crash, 3},
	{Lag, 2},
	{Silence, 3},
	{CutWire, 2},
	{Cross, 2},
	{Late, 2},
	{Twice, 2},
	{Short, 2},
	{Lose, 2},
	{Drain, 5},
	{Assign, 12},
	{Race, 4},
}

// Schedule makes the schedule of a seed, ordered by time.
func Schedule(seed uint64, o Options) []Fault {
	m := &maker{random: rand.New(rand.NewPCG(seed, seed)), options: o, busy: make(map[string]time.Duration), wiped: -o.Repair}
	var faults []Fault
	for at := m.gap(); at < o.Length-quiet; at += m.gap() {
		if f, ok := m.fault(at); ok {
			faults = append(faults, f)
		}
	}
	sort.SliceStable(faults, func(i, k int) bool { return faults[i].at < faults[k].at })
	return faults
}

type maker struct {
	random  *rand.Rand
	options Options
	busy    map[string]time.Duration // until when a target is under a fault
	wiped   time.Duration            // when a folder was last lost
}

func (m *maker) gap() time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(m.options.Gap))
}

func (m *maker) fault(at time.Duration) (Fault, bool) {
	kind := m.kind()
	names := m.targets(kind)
	if len(names) == 0 {
		return Fault{}, false
	}
	target := names[m.random.IntN(len(names))]
	length := shortest + time.Duration(m.random.Int64N(int64(m.options.Longest)))
	length = min(length, m.options.Length-quiet-at+shortest)
	if m.busy[target] > at || !m.mayWipe(kind, at, length) {
		return Fault{}, false
	}
	m.busy[target] = at + length
	return Fault{at: at, kind: kind, target: target, length: length}, true
}

// mayWipe keeps lost folders apart: the state survives the loss of one disk
// at a time, until it is repaired, whatever else happens.
func (m *maker) mayWipe(kind Kind, at, length time.Duration) bool {
	if kind != WipeKeep {
		return true
	}
	if at-m.wiped < m.options.Repair {
		return false
	}
	m.wiped = at + length
	return true
}

func (m *maker) kind() Kind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := m.random.IntN(total)
	for _, w := range weights {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	panic("chaos: weights don't add up")
}

func (m *maker) targets(kind Kind) []string {
	o := m.options
	switch kind {
	case KillKeep, PauseKeep, CutKeep, CutKeepOut, CutKeepIn, WipeKeep:
		return o.Keepers
	case KillEntry, PauseEntry, CutEntry, StopEntry:
		return o.Entries
	case Silence, CutWire:
		return slices.Concat(o.Engines, o.Plains)
	case Lose:
		return o.Plains
	case Race:
		return []string{"operators"}
	default:
		return o.Engines
	}
}
