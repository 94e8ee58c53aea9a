package infer

import (
	"container/list"
	"math/rand"
	"time"

	"verbenahaven.example/core/conn/engine"
)

const maxCacheEvents = 4096 // kept for readers that poll

// cacheEvent is a cache event and its time. Readers never see a lost one.
type cacheEvent struct {
	at   time.Time
	lost bool
	engine.CacheEvent
}

// cache is an LRU prefix cache of KV blocks. It logs added and evicted blocks as
// events, by which readers follow its content.
type cache struct {
	maxBlocks int
	lru       *list.List
	blocks    map[string]*list.Element
	seq       uint64
	events    []cacheEvent
	lossRate  float64
	random    *rand.Rand
}

func newCache(tokens int, loss float64, seed int64) *cache {
	return &cache{
		maxBlocks: tokens / engine.BlockTokens,
		lru:       list.New(),
		blocks:    make(map[string]*list.Element),
		lossRate:  loss,
		random:    rand.New(rand.NewSource(seed)),
	}
}

func (c *cache) tokens() int {
	return c.lru.Len() * engine.BlockTokens
}

// matchedTokens returns the number of tokens in the longest cached prefix.
func (c *cache) matchedTokens(blocks []string) int {
	n := 0
	for _, p := range blocks {
		if _, ok := c.blocks[p]; !ok {
			break
		}
		n += engine.BlockTokens
	}
	return n
}

// touch marks the cached prefix as most recently used.
func (c *cache) touch(blocks []string) {
	for _, p := range blocks {
		e, ok := c.blocks[p]
		if !ok {
			return
		}
		c.lru.MoveToFront(e)
	}
}

// add inserts the blocks of a prefilled prompt, as many as the cache holds.
func (c *cache) add(now time.Time, blocks []string) {
	if len(blocks) > c.maxBlocks {
		blocks = blocks[:c.maxBlocks]
	}
	for _, p := range blocks {
		if e, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		for c.lru.Len() >= c.maxBlocks {
			c.evict(now)
		}
		c.blocks[p] = c.lru.PushFront(p)
		c.appendEvent(now, true, p)
	}
}

// evict removes the least recently used block and reports whether there was one.
func (c *cache) evict(now time.Time) bool {
	oldest := c.lru.Back()
	if oldest == nil {
		return false
	}
	p, _ := oldest.Value.(string)
	c.lru.Remove(oldest)
	delete(c.blocks, p)
	c.appendEvent(now, false, p)
	return true
}

// clear removes all blocks. Readers see a gap in the sequence numbers and fetch
// a snapshot.
func (c *cache) clear() {
	c.lru.Init()
	clear(c.blocks)
	c.events = c.events[:0]
	c.seq++
}

// appendEvent logs a change. With the configured probability the event is lost:
// it uses a sequence number but no reader gets it.
func (c *cache) appendEvent(now time.Time, added bool, block string) {
	c.seq++
	lost := c.lossRate > 0 && c.random.Float64() < c.lossRate
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{
		at: now, lost: lost,
		CacheEvent: engine.CacheEvent{Seq: c.seq, Added: added, Block: block},
	})
}

// eventPage returns the events after sequence number since that happened by
// until. A reader whose position isn't in the log gets a snapshot.
func (c *cache) eventPage(since uint64, until time.Time) engine.CacheEvents {
	oldest := c.seq + 1
	if len(c.events) > 0 {
		oldest = c.events[0].Seq
	}
	if since == 0 || since+1 < oldest || since > c.seq {
		return c.snapshotPage()
	}
	page := engine.CacheEvents{Seq: since}
	for _, e := range c.events[since+1-oldest:] {
		if e.at.After(until) {
			break
		}
		if !e.lost {
			page.Events = append(page.Events, e.CacheEvent)
			page.Seq = e.Seq
		}
	}
	return page
}

// snapshotPage returns all cached blocks, least recently used first.
func (c *cache) snapshotPage() engine.CacheEvents {
	page := engine.CacheEvents{Seq: c.seq, Snapshot: true}
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		p, _ := e.Value.(string)
		page.Events = append(page.Events, engine.CacheEvent{Seq: c.seq, Added: true, Block: p})
	}
	return page
}
