package infer

import (
	"container/list"
	"math/rand"
	"time"

	"verbenahaven.example/core/conn/engine"
)

const eventLimit = 4096 // cache events kept for readers

type cacheEvent struct {
	at   time.Time
	lost bool
	engine.CacheEvent
}

// cache is the prefix cache: pieces in least-recently-used order, with a log
// of what entered and left.
type cache struct {
	limit  int // pieces
	order  *list.List
	pieces map[string]*list.Element
	seq    uint64
	events []cacheEvent
	loss   float64
	random *rand.Rand
}

func newCache(tokens int, loss float64, seed int64) *cache {
	return &cache{
		limit:  tokens / engine.PieceTokens,
		order:  list.New(),
		pieces: make(map[string]*list.Element),
		loss:   loss,
		random: rand.New(rand.NewSource(seed)),
	}
}

func (c *cache) tokens() int {
	return c.order.Len() * engine.PieceTokens
}

// match counts the tokens of the leading pieces that are cached.
func (c *cache) match(pieces []string) int {
	n := 0
	for _, p := range pieces {
		if _, ok := c.pieces[p]; !ok {
			break
		}
		n += engine.PieceTokens
	}
	return n
}

// use marks the leading pieces as just used.
func (c *cache) use(pieces []string) {
	for _, p := range pieces {
		e, ok := c.pieces[p]
		if !ok {
			return
		}
		c.order.MoveToFront(e)
	}
}

// add puts the pieces of a prefilled prompt in.
func (c *cache) add(now time.Time, pieces []string) {
	if len(pieces) > c.limit {
		pieces = pieces[:c.limit]
	}
	for _, p := range pieces {
		if e, ok := c.pieces[p]; ok {
			c.order.MoveToFront(e)
			continue
		}
		for c.order.Len() >= c.limit {
			c.evict(now)
		}
		c.pieces[p] = c.order.PushFront(p)
		c.log(now, true, p)
	}
}

// evict drops the least recently used piece; false if there is none.
func (c *cache) evict(now time.Time) bool {
	last := c.order.Back()
	if last == nil {
		return false
	}
	p, _ := last.Value.(string)
	c.order.Remove(last)
	delete(c.pieces, p)
	c.log(now, false, p)
	return true
}

// clear drops everything. Readers see a gap and ask for the whole content.
func (c *cache) clear() {
	c.order.Init()
	clear(c.pieces)
	c.events = c.events[:0]
	c.seq++
}

func (c *cache) log(now time.Time, added bool, piece string) {
	c.seq++
	lost := c.loss > 0 && c.random.Float64() < c.loss
	if len(c.events) >= eventLimit {
		c.events = append(c.events[:0], c.events[eventLimit/2:]...)
	}
	c.events = append(c.events, cacheEvent{
		at: now, lost: lost,
		CacheEvent: engine.CacheEvent{Seq: c.seq, Added: added, Piece: piece},
	})
}

// page lists what readers may know at a time: events not younger than lag.
func (c *cache) page(since uint64, until time.Time) engine.CacheEvents {
	oldest := c.seq + 1
	if len(c.events) > 0 {
		oldest = c.events[0].Seq
	}
	if since == 0 || since+1 < oldest || since > c.seq {
		return c.whole()
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

func (c *cache) whole() engine.CacheEvents {
	page := engine.CacheEvents{Seq: c.seq, Whole: true}
	for e := c.order.Back(); e != nil; e = e.Prev() {
		p, _ := e.Value.(string)
		page.Events = append(page.Events, engine.CacheEvent{Seq: c.seq, Added: true, Piece: p})
	}
	return page
}
