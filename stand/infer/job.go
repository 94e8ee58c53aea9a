// Package infer is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes, moves KV caches and takes orders, with the timing of
// an engine but without a model.
package infer

import (
	"container/heap"
	"time"

	"verbenahaven.example/core/conn/stand"
)

// event is one token on its way to a stream.
type event struct {
	attempt string
	base    uint64
	token   int
}

// job is one request in the engine. Only the engine's loop touches it, but for
// the channels.
type job struct {
	attempt  string
	priority int
	serial   uint64 // order of arrival
	base     uint64
	prompt   int // tokens that need KV cache before decoding goes on
	pieces   []string
	cached   int
	left     int  // prompt tokens to prefill
	imported bool // KV cache came from another engine
	hold     bool // prefill only: keep the KV cache for another engine
	next     int  // next token to emit
	end      int  // length of the answer
	first    int  // position of the first token that this job emitted
	half     int  // token before which a truncated stream ends, 0 for none
	phase    jobPhase
	index    int // in the heap
	heldAt   time.Time
	out      chan event
	done     chan struct{}    // closed when the job has ended
	reason   stand.RecordKind // why, set before done is closed
}

type jobPhase int

const (
	phaseWaiting jobPhase = iota
	phasePrefill
	phaseDecode
	phaseHeld
	phaseEnded
)

const outRing = 256 // tokens that a stream may be behind

func (j *job) memory() int {
	return j.prompt + j.next - j.first
}

// before orders jobs by priority, then by arrival.
func (j *job) before(other *job) bool {
	if j.priority != other.priority {
		return j.priority < other.priority
	}
	return j.serial < other.serial
}

// queue is the admission queue.
type queue []*job

var _ heap.Interface = (*queue)(nil)

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, k int) bool { return q[i].before(q[k]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].index, q[k].index = i, k
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	j, _ := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}
