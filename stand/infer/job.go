// Package infer simulates a model engine for tests and trials: continuous
// batching, prefix caching, KV transfer and orders (changes of role or model),
// with the timing of an engine but without a model.
package infer

import (
	"container/heap"
	"time"

	"verbenahaven.example/core/conn/inject"
)

// tokenEvent is a generated token that is queued for a stream.
type tokenEvent struct {
	attempt string
	base    uint64 // hash that determines the answer's tokens
	token   int
}

// job is a request in the engine. Once it is submitted, only the engine's loop
// changes it; the channels connect it to the request's handler.
type job struct {
	attempt       string
	priority      int
	serial        uint64 // order of arrival
	base          uint64
	contextTokens int // tokens whose KV cache decoding needs
	blocks        []string
	cachedTokens  int
	prefillLeft   int  // prompt tokens still to prefill
	imported      bool // KV cache was fetched from another engine
	prefillOnly   bool // hold the KV cache for another engine
	nextToken     int  // position of the next token to emit
	endToken      int  // position after the last token of the answer
	firstToken    int  // position of the first token emitted since the last prefill
	truncateAt    int  // position at which the stream is truncated, 0 for none
	phase         jobPhase
	heapIndex     int // in the waiting heap
	heldAt        time.Time
	events        chan tokenEvent
	done          chan struct{}     // closed when the job has ended
	reason        inject.RecordKind // why it ended; set before done is closed
}

type jobPhase int

const (
	phaseWaiting jobPhase = iota
	phasePrefill
	phaseDecode
	phaseHeld
	phaseEnded
)

const eventBuffer = 256 // tokens a reader may lag behind before its stream pauses

// kvTokens returns the KV memory in use, in tokens.
func (j *job) kvTokens() int {
	return j.contextTokens + j.nextToken - j.firstToken
}

// before reports whether j is scheduled before other: by priority (lower is more
// urgent), then by arrival.
func (j *job) before(other *job) bool {
	if j.priority != other.priority {
		return j.priority < other.priority
	}
	return j.serial < other.serial
}

// queue is a heap of jobs that wait for admission.
type queue []*job

var _ heap.Interface = (*queue)(nil)

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, k int) bool { return q[i].before(q[k]) }

// Swap implements heap.Interface.
func (q queue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].heapIndex, q[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	j, _ := x.(*job)
	j.heapIndex = len(*q)
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
