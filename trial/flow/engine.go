package flow

import (
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// fetchMin is the least number of tokens that is worth a fetch.
const fetchMin = 1

// prefillJob is a prompt to be computed.
type prefillJob struct {
	deferred bool
	compute  func() time.Duration // reads the prompt when its turn comes
	done     func()
}

// engine computes prompts one after the other, those that aren't deferred first,
// and runs as many answers at a time as it has slots.
type engine struct {
	run      *run
	name     string
	centre   string
	role     state.Role
	cache    *cache
	busy     bool
	urgent   []*prefillJob
	deferred []*prefillJob
	answers  int
	waiting  []func() // for a slot
	behind   []func() // for a slot, deferred
	machine
	paused time.Duration // time of prompts that paused the engine's answers so far
}

func (e *engine) enqueue(j *prefillJob) {
	if j.deferred {
		e.deferred = append(e.deferred, j)
	} else {
		e.urgent = append(e.urgent, j)
	}
	if !e.busy {
		e.next()
	}
}

// next begins the next prefill.
func (e *engine) next() {
	var j *prefillJob
	switch {
	case len(e.urgent) > 0:
		j, e.urgent = e.urgent[0], e.urgent[1:]
	case len(e.deferred) > 0:
		j, e.deferred = e.deferred[0], e.deferred[1:]
	default:
		e.busy = false
		return
	}
	e.busy = true
	e.run.after(j.compute(), func() {
		j.done()
		e.next()
	})
}

// read returns the prompt tokens that must be computed, given what this engine
// and the one that shared parts are fetched from keep, and keeps the prompt.
func (e *engine) read(p *server.Prompt, fetch *engine) int {
	held := e.cache.held(p)
	if fetch != nil && fetch != e {
		if there := fetch.cache.held(p); there-held >= fetchMin {
			held = there
		}
	}
	e.cache.keep(p)
	e.run.result.Cached += held
	e.run.result.Computed += p.Tokens - held
	return p.Tokens - held
}

// takeSlot runs an answer once it has a slot; deferred ones get theirs last.
func (e *engine) takeSlot(deferred bool, run func()) {
	switch {
	case e.answers < e.run.fleet.Spec.BatchSize:
		e.answers++
		run()
	case deferred:
		e.behind = append(e.behind, run)
	default:
		e.waiting = append(e.waiting, run)
	}
}

func (e *engine) freeSlot() {
	queue := &e.waiting
	if len(e.waiting) == 0 {
		queue = &e.behind
	}
	if len(*queue) == 0 {
		e.answers--
		return
	}
	next := (*queue)[0]
	*queue = (*queue)[1:]
	next()
}

// cache keeps the parts of prompts that were used last.
type cache struct {
	capacity int
	used     int
	tick     uint64
	parts    map[string]cachedPart
}

type cachedPart struct {
	tokens   int
	lastUsed uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, parts: make(map[string]cachedPart)}
}

// held returns the tokens of the prompt's first parts that are cached.
func (c *cache) held(p *server.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		if _, found := c.parts[part.ID]; !found {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// keep caches the parts of a prompt in the place of those that weren't used for
// longest.
func (c *cache) keep(p *server.Prompt) {
	for _, part := range p.Parts {
		c.tick++
		if _, found := c.parts[part.ID]; !found {
			c.used += part.Tokens
		}
		c.parts[part.ID] = cachedPart{part.Tokens, c.tick}
	}
	for c.used > c.capacity && len(c.parts) > 1 {
		oldest, at := "", c.tick+1
		for id, part := range c.parts {
			if part.lastUsed < at {
				oldest, at = id, part.lastUsed
			}
		}
		c.used -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}
