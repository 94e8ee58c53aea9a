// Package chaos generates random fault schedules for fault injection. The same
// seed and options always give the same schedule.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Kind is a kind of fault or planned change.
type Kind string

// Kinds of fault. After Fault.Duration, faults on instances end and those on
// backend servers are cleared.
const (
	KillKeeper         Kind = "kill_keep"   // SIGKILL, then restart
	PauseKeeper        Kind = "pause_keep"  // SIGSTOP, then SIGCONT
	PartitionKeeper    Kind = "cut_keep"    // partition in both directions
	PartitionKeeperOut Kind = "cut_keep_up" // partition of what it sends
	PartitionKeeperIn  Kind = "cut_keep_dn" // partition of what it receives
	WipeKeeper         Kind = "wipe_keep"   // SIGKILL, remove the data folder, restart
	KillEntry          Kind = "kill_entry"
	PauseEntry         Kind = "pause_entry"
	PartitionEntry     Kind = "cut_entry"
	StopEntry          Kind = "stop_entry" // planned: SIGTERM, then restart
	CrashEngine        Kind = "crash"      // engine crashes, then restarts
	LagReports         Kind = "lag"        // load reports of an engine are delayed
	StallConns         Kind = "silence"    // connections to a backend server stall
	PartitionBackend   Kind = "cut_wire"   // nothing passes to a backend server
	SwapEvents         Kind = "cross"      // engine sends events to the wrong stream
	StaleEvent         Kind = "late"       // engine sends an old event
	DuplicateEvent     Kind = "duplicate"  // engine sends an event twice
	TruncateStream     Kind = "truncate"   // engine ends a stream early
	DropAnswer         Kind = "lose"       // plain service runs the call and drops the answer
	DrainEngine        Kind = "drain"      // planned: drain an engine, declare it again afterwards
	AssignRole         Kind = "assign"     // planned: change the role of an engine
	RaceCommands       Kind = "race"       // planned: two operators use one command number
)

// Planned reports whether the kind is a planned change, which must cut no
// request.
func (k Kind) Planned() bool {
	return k == StopEntry || k == DrainEngine || k == AssignRole || k == RaceCommands
}

// Fault is one entry of a schedule.
type Fault struct {
	at       time.Duration
	kind     Kind
	target   string
	duration time.Duration
}

// At returns when the fault begins, counted from the start of the run.
func (f Fault) At() time.Duration { return f.at }

// Kind returns the kind of the fault.
func (f Fault) Kind() Kind { return f.kind }

// Target returns the name of the instance or backend server that the fault hits.
func (f Fault) Target() string { return f.target }

// Duration returns how long the fault lasts.
func (f Fault) Duration() time.Duration { return f.duration }

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s %s for %s", f.at.Round(time.Millisecond), f.kind, f.target, f.duration.Round(time.Millisecond))
}

// Options are the limits and targets of a schedule.
type Options struct {
	Length       time.Duration // of the whole run
	MeanGap      time.Duration // mean time between two faults
	MaxFaultTime time.Duration // bound of the length of a fault
	RepairTime   time.Duration // minimum time between two wiped data folders
	Keepers      []string
	Entries      []string
	Engines      []string
	PlainServers []string
}

// quietEnd is the time without faults at the end of a run, in which the system
// recovers.
const quietEnd = 8 * time.Second

const minFaultTime = 200 * time.Millisecond

// weights holds the relative frequency of each kind.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillKeeper, 2},
	{PauseKeeper, 2},
	{PartitionKeeper, 2},
	{PartitionKeeperOut, 2},
	{PartitionKeeperIn, 2},
	{WipeKeeper, 1},
	{KillEntry, 3},
	{PauseEntry, 2},
	{PartitionEntry, 3},
	{StopEntry, 3},
	{CrashEngine, 3},
	{LagReports, 2},
	{StallConns, 3},
	{PartitionBackend, 2},
	{SwapEvents, 2},
	{StaleEvent, 2},
	{DuplicateEvent, 2},
	{TruncateStream, 2},
	{DropAnswer, 2},
	{DrainEngine, 5},
	{AssignRole, 12},
	{RaceCommands, 4},
}

// Schedule returns the fault schedule of a seed, ordered by time.
func Schedule(seed uint64, o Options) []Fault {
	m := &generator{random: rand.New(rand.NewPCG(seed, seed)), options: o, busyUntil: make(map[string]time.Duration), lastWipe: -o.RepairTime}
	var faults []Fault
	for at := m.drawGap(); at < o.Length-quietEnd; at += m.drawGap() {
		if f, ok := m.drawFault(at); ok {
			faults = append(faults, f)
		}
	}
	sort.SliceStable(faults, func(i, k int) bool { return faults[i].at < faults[k].at })
	return faults
}

type generator struct {
	random    *rand.Rand
	options   Options
	busyUntil map[string]time.Duration // end of the last fault by target
	lastWipe  time.Duration            // end of the last wipe of a data folder
}

func (m *generator) drawGap() time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(m.options.MeanGap))
}

func (m *generator) drawFault(at time.Duration) (Fault, bool) {
	kind := m.drawKind()
	names := m.targets(kind)
	if len(names) == 0 {
		return Fault{}, false
	}
	target := names[m.random.IntN(len(names))]
	length := minFaultTime + time.Duration(m.random.Int64N(int64(m.options.MaxFaultTime)))
	length = min(length, m.options.Length-quietEnd-at+minFaultTime)
	if m.busyUntil[target] > at || !m.mayWipe(kind, at, length) {
		return Fault{}, false
	}
	m.busyUntil[target] = at + length
	return Fault{at: at, kind: kind, target: target, duration: length}, true
}

// mayWipe reports whether a fault may start, and records it if it wipes a data
// folder. Wipes are kept apart because the replicated state survives the loss of
// only one disk at a time, until the replica is repaired.
func (m *generator) mayWipe(kind Kind, at, length time.Duration) bool {
	if kind != WipeKeeper {
		return true
	}
	if at-m.lastWipe < m.options.RepairTime {
		return false
	}
	m.lastWipe = at + length
	return true
}

func (m *generator) drawKind() Kind {
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

func (m *generator) targets(kind Kind) []string {
	o := m.options
	switch kind {
	case KillKeeper, PauseKeeper, PartitionKeeper, PartitionKeeperOut, PartitionKeeperIn, WipeKeeper:
		return o.Keepers
	case KillEntry, PauseEntry, PartitionEntry, StopEntry:
		return o.Entries
	case StallConns, PartitionBackend:
		return slices.Concat(o.Engines, o.PlainServers)
	case DropAnswer:
		return o.PlainServers
	case RaceCommands:
		return []string{"operators"}
	default:
		return o.Engines
	}
}
