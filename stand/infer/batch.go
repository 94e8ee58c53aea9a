package infer

import (
	"container/heap"
	"sort"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/config"
)

// Prefill time in one iteration, in decode steps. It is what sets the roles
// apart: a mixed engine stalls its streams for long prompts, a decode engine
// takes prompts up in small bites.
const (
	biteMixed   = 5.0
	biteDecode  = 0.5
	bitePrefill = 10.0
)

// batch is the continuous batch of an engine: a state machine that is driven
// iteration by iteration.
type batch struct {
	config   config.Engine
	role     state.Role
	cache    *cache
	waiting  queue
	prefill  []*job // in order of priority
	decode   []*job
	held     map[string]*job
	used     int // tokens of KV memory of admitted and held jobs
	serial   uint64
	bite     int // prompt tokens in the current iteration
	streams  int // streams in the current iteration
	deliver  func(j *job)
	finished func(j *job)
}

func newBatch(c config.Engine, role state.Role) *batch {
	return &batch{
		config: c,
		role:   role,
		cache:  newCache(c.Cache, c.Loss, c.Seed),
		held:   make(map[string]*job),
	}
}

func (b *batch) submit(j *job) {
	b.serial++
	j.serial = b.serial
	j.phase = phaseWaiting
	j.left = b.need(j)
	heap.Push(&b.waiting, j)
}

// need counts the prompt tokens to prefill with the cache as it is now. At
// least one token is computed to get the first logits.
func (b *batch) need(j *job) int {
	if j.imported {
		return 0
	}
	j.cached = min(b.cache.match(j.pieces), j.prompt-1)
	return j.prompt - j.cached
}

func (b *batch) idle() bool {
	return len(b.waiting) == 0 && len(b.prefill) == 0 && len(b.decode) == 0
}

// admit moves waiting jobs into the batch while there is room.
func (b *batch) admit(now time.Time) {
	for len(b.waiting) > 0 {
		j := b.waiting[0]
		if len(b.prefill)+len(b.decode) >= b.config.Batch {
			return
		}
		if b.used+j.prompt > b.config.Memory {
			return
		}
		heap.Pop(&b.waiting)
		b.used += j.prompt
		j.left = b.need(j)
		b.cache.use(j.pieces)
		b.shrink(now)
		if j.left == 0 {
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

// shrink gives memory of the prefix cache to jobs.
func (b *batch) shrink(now time.Time) {
	for b.used+b.cache.tokens() > b.config.Memory && b.cache.evict(now) {
	}
}

// begin starts an iteration and returns its duration; 0 when there is no work.
func (b *batch) begin(now time.Time) time.Duration {
	b.admit(now)
	b.streams = 0
	for _, j := range b.decode {
		if len(j.out) < cap(j.out) {
			b.streams++
		}
	}
	b.bite = min(b.backlog(), b.room())
	d := time.Duration(float64(b.bite) / b.config.Prefill * float64(time.Second))
	if b.streams > 0 {
		d += b.step(b.streams)
	}
	if d == 0 && len(b.decode) > 0 {
		return time.Duration(b.config.Step) // all streams are blocked by their readers
	}
	return d
}

func (b *batch) step(streams int) time.Duration {
	return time.Duration(b.config.Step) + time.Duration(streams-1)*time.Duration(b.config.Slope)
}

func (b *batch) backlog() int {
	n := 0
	for _, j := range b.prefill {
		n += j.left
	}
	return n
}

// room is the largest bite of prompt tokens in one iteration.
func (b *batch) room() int {
	share := biteMixed
	switch b.role {
	case state.RolePrefill:
		share = bitePrefill
	case state.RoleDecode:
		share = biteDecode
	case state.RoleMixed:
	}
	step := time.Duration(b.config.Step).Seconds()
	return max(1, int(share*step*b.config.Prefill))
}

// finish ends the iteration that begin started: each stream gets a token and
// the bite of prefill is done.
func (b *batch) finish(now time.Time) {
	kept := b.decode[:0]
	for _, j := range b.decode {
		if j.phase != phaseDecode {
			continue
		}
		if len(j.out) < cap(j.out) {
			b.emit(j)
		}
		if j.phase == phaseDecode {
			kept = append(kept, j)
		}
	}
	clear(b.decode[len(kept):])
	b.decode = kept
	b.advance(now)
	b.relieve(now)
}

func (b *batch) emit(j *job) {
	b.deliver(j)
	j.next++
	b.used++
	if j.next >= j.end {
		b.leave(j, stand.RecordEnd)
	}
}

func (b *batch) advance(now time.Time) {
	left := b.bite
	for len(b.prefill) > 0 && left > 0 {
		j := b.prefill[0]
		n := min(left, j.left)
		j.left -= n
		left -= n
		if j.left > 0 {
			return
		}
		b.prefill = append(b.prefill[:0], b.prefill[1:]...)
		b.prefilled(now, j)
	}
}

func (b *batch) prefilled(now time.Time, j *job) {
	b.cache.add(now, j.pieces)
	b.shrink(now)
	if j.hold {
		j.phase = phaseHeld
		j.heldAt = now
		b.held[j.attempt] = j
		j.reason = stand.RecordEnd
		close(j.done)
		return
	}
	j.phase = phaseDecode
	b.emit(j)
	if j.phase == phaseDecode {
		b.decode = append(b.decode, j)
	}
}

// relieve puts streams back into the queue when their answers outgrew the
// memory: the least urgent and youngest first. Their KV cache is recomputed.
func (b *batch) relieve(now time.Time) {
	b.shrink(now)
	for b.used > b.config.Memory && len(b.decode) > 1 {
		worst := 0
		for i, j := range b.decode {
			if b.decode[worst].before(j) {
				worst = i
			}
		}
		j := b.decode[worst]
		b.decode = append(b.decode[:worst], b.decode[worst+1:]...)
		b.used -= j.memory()
		j.prompt, j.first = j.memory(), j.next
		j.imported = false
		j.phase = phaseWaiting
		j.left = b.need(j)
		heap.Push(&b.waiting, j)
	}
}

// leave ends a job in any phase and frees its memory.
func (b *batch) leave(j *job, reason stand.RecordKind) {
	switch j.phase {
	case phaseEnded:
		return
	case phaseWaiting:
		heap.Remove(&b.waiting, j.index)
	case phasePrefill, phaseDecode:
		b.used -= j.memory()
	case phaseHeld:
		b.used -= j.memory()
		delete(b.held, j.attempt)
		j.phase = phaseEnded
		b.finished(j) // done was closed when the prefill ended
		return
	}
	held := j.phase
	j.phase = phaseEnded
	j.reason = reason
	if held == phasePrefill {
		b.prefill = without(b.prefill, j)
	}
	close(j.done)
	b.finished(j)
}

// drop ends a job from outside an iteration.
func (b *batch) drop(j *job, reason stand.RecordKind) {
	decoding := j.phase == phaseDecode
	b.leave(j, reason)
	if decoding {
		b.decode = without(b.decode, j)
	}
}

func without(jobs []*job, j *job) []*job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// clear ends all jobs and drops the cache.
func (b *batch) clear(reason stand.RecordKind) {
	for len(b.waiting) > 0 {
		b.drop(b.waiting[0], reason)
	}
	for len(b.prefill) > 0 {
		b.drop(b.prefill[0], reason)
	}
	for len(b.decode) > 0 {
		b.drop(b.decode[0], reason)
	}
	for _, j := range b.held {
		b.leave(j, reason)
	}
	b.cache.clear()
}

// pending counts prompt tokens that wait for prefill.
func (b *batch) pending() int {
	n := b.backlog()
	for _, j := range b.waiting {
		n += j.left
	}
	return n
}
