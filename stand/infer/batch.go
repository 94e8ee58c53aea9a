package infer

import (
	"container/heap"
	"sort"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/config"
)

// Prefill time allowed in one iteration, as a multiple of the decode step. This
// is what distinguishes the roles: a mixed engine delays its streams for long
// prompts, a decode engine prefills in small chunks.
const (
	prefillStepsMixed   = 5.0
	prefillStepsDecode  = 0.5
	prefillStepsPrefill = 10.0
)

// batch implements continuous batching: it admits waiting jobs and schedules
// chunked prefill and decode. The engine's loop drives it one iteration at a
// time.
type batch struct {
	config     config.Engine
	role       state.Role
	cache      *cache
	waiting    queue
	prefill    []*job // by priority, then arrival
	decode     []*job
	held       map[string]*job
	usedTokens int // KV tokens of admitted and held jobs
	lastSerial uint64
	chunk      int // prompt tokens prefilled in the current iteration
	streams    int // streams that get a token in the current iteration
	deliver    func(j *job)
	onEnded    func(j *job)
}

func newBatch(c config.Engine, role state.Role) *batch {
	return &batch{
		config: c,
		role:   role,
		cache:  newCache(c.CacheTokens, c.EventLoss, c.Seed),
		held:   make(map[string]*job),
	}
}

func (b *batch) submit(j *job) {
	b.lastSerial++
	j.serial = b.lastSerial
	j.phase = phaseWaiting
	j.prefillLeft = b.uncachedTokens(j)
	heap.Push(&b.waiting, j)
}

// uncachedTokens returns the number of prompt tokens that the prefix cache
// doesn't hold at present. At least one token is always computed, because the
// first output token needs its logits.
func (b *batch) uncachedTokens(j *job) int {
	if j.imported {
		return 0
	}
	j.cachedTokens = min(b.cache.matchedTokens(j.blocks), j.contextTokens-1)
	return j.contextTokens - j.cachedTokens
}

func (b *batch) idle() bool {
	return len(b.waiting) == 0 && len(b.prefill) == 0 && len(b.decode) == 0
}

// admit moves waiting jobs into the batch while it has slots and KV memory.
func (b *batch) admit(now time.Time) {
	for len(b.waiting) > 0 {
		j := b.waiting[0]
		if len(b.prefill)+len(b.decode) >= b.config.MaxBatch {
			return
		}
		if b.usedTokens+j.contextTokens > b.config.KVTokens {
			return
		}
		heap.Pop(&b.waiting)
		b.usedTokens += j.contextTokens
		j.prefillLeft = b.uncachedTokens(j)
		b.cache.touch(j.blocks)
		b.shrinkCache(now)
		if j.prefillLeft == 0 {
			j.phase = phaseDecode
			b.decode = append(b.decode, j)
			continue
		}
		j.phase = phasePrefill
		at := sort.Search(len(b.prefill), func(i int) bool { return j.before(b.prefill[i]) })
		b.prefill = append(b.prefill, nil)
		copy(b.prefill[at+1:], b.prefill[at:])
		b.prefill[at] = j
	}
}

// shrinkCache evicts prefix cache blocks until the jobs fit into the memory.
func (b *batch) shrinkCache(now time.Time) {
	for b.usedTokens+b.cache.tokens() > b.config.KVTokens && b.cache.evict(now) {
	}
}

// beginIteration starts an iteration and returns its duration, or 0 when there
// is no work.
func (b *batch) beginIteration(now time.Time) time.Duration {
	b.admit(now)
	b.streams = 0
	for _, j := range b.decode {
		if len(j.events) < cap(j.events) {
			b.streams++
		}
	}
	b.chunk = min(b.prefillBacklog(), b.maxChunk())
	d := time.Duration(float64(b.chunk) / b.config.PrefillRate * float64(time.Second))
	if b.streams > 0 {
		d += b.stepDuration(b.streams)
	}
	if d == 0 && len(b.decode) > 0 {
		return time.Duration(b.config.Step) // all streams wait for slow readers
	}
	return d
}

// stepDuration returns the time of one decode step, which grows with the number
// of streams.
func (b *batch) stepDuration(streams int) time.Duration {
	return time.Duration(b.config.Step) + time.Duration(streams-1)*time.Duration(b.config.StepPerStream)
}

func (b *batch) prefillBacklog() int {
	n := 0
	for _, j := range b.prefill {
		n += j.prefillLeft
	}
	return n
}

// maxChunk returns the largest number of prompt tokens prefilled in one
// iteration.
func (b *batch) maxChunk() int {
	steps := prefillStepsMixed
	switch b.role {
	case state.RolePrefill:
		steps = prefillStepsPrefill
	case state.RoleDecode:
		steps = prefillStepsDecode
	case state.RoleMixed:
	}
	stepSeconds := time.Duration(b.config.Step).Seconds()
	return max(1, int(steps*stepSeconds*b.config.PrefillRate))
}

// finishIteration completes the iteration that beginIteration started: each
// stream whose reader keeps up gets a token and the prefill chunk is done.
func (b *batch) finishIteration(now time.Time) {
	running := b.decode[:0]
	for _, j := range b.decode {
		if j.phase != phaseDecode {
			continue
		}
		if len(j.events) < cap(j.events) {
			b.emit(j)
		}
		if j.phase == phaseDecode {
			running = append(running, j)
		}
	}
	clear(b.decode[len(running):])
	b.decode = running
	b.advancePrefill(now)
	b.preempt(now)
}

// emit delivers the job's next token and ends the job after its last one.
func (b *batch) emit(j *job) {
	b.deliver(j)
	j.nextToken++
	b.usedTokens++
	if j.nextToken >= j.endToken {
		b.end(j, inject.RecordEnd)
	}
}

// advancePrefill spends the iteration's chunk on prompts, most urgent first.
func (b *batch) advancePrefill(now time.Time) {
	budget := b.chunk
	for len(b.prefill) > 0 && budget > 0 {
		j := b.prefill[0]
		n := min(budget, j.prefillLeft)
		j.prefillLeft -= n
		budget -= n
		if j.prefillLeft > 0 {
			return
		}
		b.prefill = append(b.prefill[:0], b.prefill[1:]...)
		b.finishPrefill(now, j)
	}
}

// finishPrefill caches the prompt's blocks and emits the first token, or holds
// the KV cache for export if the job is prefill only.
func (b *batch) finishPrefill(now time.Time, j *job) {
	b.cache.add(now, j.blocks)
	b.shrinkCache(now)
	if j.prefillOnly {
		j.phase = phaseHeld
		j.heldAt = now
		b.held[j.attempt] = j
		j.reason = inject.RecordEnd
		close(j.done)
		return
	}
	j.phase = phaseDecode
	b.emit(j)
	if j.phase == phaseDecode {
		b.decode = append(b.decode, j)
	}
}

// preempt moves decoding jobs back to the waiting queue while KV memory is
// exceeded, the least urgent and most recent first. Their KV cache is discarded
// and recomputed.
func (b *batch) preempt(now time.Time) {
	b.shrinkCache(now)
	for b.usedTokens > b.config.KVTokens && len(b.decode) > 1 {
		victim := 0
		for i, j := range b.decode {
			if b.decode[victim].before(j) {
				victim = i
			}
		}
		j := b.decode[victim]
		b.decode = append(b.decode[:victim], b.decode[victim+1:]...)
		b.usedTokens -= j.kvTokens()
		j.contextTokens, j.firstToken = j.kvTokens(), j.nextToken
		j.imported = false
		j.phase = phaseWaiting
		j.prefillLeft = b.uncachedTokens(j)
		heap.Push(&b.waiting, j)
	}
}

// end ends a job in any phase and frees its KV memory. It doesn't remove a
// decoding job from b.decode, over which finishIteration loops; see abort.
func (b *batch) end(j *job, reason inject.RecordKind) {
	switch j.phase {
	case phaseEnded:
		return
	case phaseWaiting:
		heap.Remove(&b.waiting, j.heapIndex)
	case phasePrefill, phaseDecode:
		b.usedTokens -= j.kvTokens()
	case phaseHeld:
		b.usedTokens -= j.kvTokens()
		delete(b.held, j.attempt)
		j.phase = phaseEnded
		b.onEnded(j) // done was closed at the end of the prefill
		return
	}
	previous := j.phase
	j.phase = phaseEnded
	j.reason = reason
	if previous == phasePrefill {
		b.prefill = removeJob(b.prefill, j)
	}
	close(j.done)
	b.onEnded(j)
}

// abort ends a job between iterations and removes it from the batch.
func (b *batch) abort(j *job, reason inject.RecordKind) {
	decoding := j.phase == phaseDecode
	b.end(j, reason)
	if decoding {
		b.decode = removeJob(b.decode, j)
	}
}

func removeJob(jobs []*job, j *job) []*job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// clear ends all jobs and empties the prefix cache.
func (b *batch) clear(reason inject.RecordKind) {
	for len(b.waiting) > 0 {
		b.abort(b.waiting[0], reason)
	}
	for len(b.prefill) > 0 {
		b.abort(b.prefill[0], reason)
	}
	for len(b.decode) > 0 {
		b.abort(b.decode[0], reason)
	}
	for _, j := range b.held {
		b.end(j, reason)
	}
	b.cache.clear()
}

// pendingTokens returns the number of prompt tokens that wait for prefill, of
// waiting and admitted jobs.
func (b *batch) pendingTokens() int {
	n := b.prefillBacklog()
	for _, j := range b.waiting {
		n += j.prefillLeft
	}
	return n
}
