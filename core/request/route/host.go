package route

import (
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// Assumptions about an engine that hasn't reported yet.
const (
	defaultPrefill = 20_000.0 // prompt tokens a second
	defaultStep    = 20 * time.Millisecond
	defaultBatch   = 32
	defaultOutput  = 256       // tokens of an answer without a bound
	transferRate   = 2_000_000 // KV tokens a second between engines

	// recent is the time after the loss of an engine in which strikes for it
	// may not have reached all instances.
	recent = 3 * time.Second
)

// send is own work at an engine, known exactly.
type send struct {
	at      time.Time
	prefill int // prompt tokens to compute
	decode  bool
	first   bool // of the first class
}

// host is one engine as this instance sees it.
type host struct {
	engine   state.Engine
	alive    bool
	lost     time.Time // when it was last found dead
	heard    bool
	load     engine.Load
	sends    map[string]send
	prefixes Prefixes
	spent    bucket
	peers    int // instances that send requests, this one included
}

func (h *host) usable(a *Ask) string {
	switch {
	case h.engine.Phase != state.PhaseServing:
		return "not_serving"
	case !h.alive:
		return "dead"
	case a.Adapter != "" && h.engine.Adapter != a.Adapter:
		return "other_adapter"
	case a.Revision != "" && h.engine.Revision != a.Revision:
		return "other_revision"
	}
	for _, name := range a.Avoid {
		if name == h.engine.Name {
			return "avoided"
		}
	}
	return ""
}

func (h *host) rate() float64 {
	if h.load.Prefill > 0 {
		return h.load.Prefill
	}
	return defaultPrefill
}

func (h *host) step() time.Duration {
	if h.load.Step > 0 {
		return h.load.Step
	}
	return defaultStep
}

func (h *host) batch() int {
	if h.load.Batch > 0 {
		return h.load.Batch
	}
	return defaultBatch
}

// queue estimates the prompt tokens ahead of a new request: the last report
// and own sends since it was true. Engines serve the first class earlier, so
// of the reported queue only the share that own first-class work has counts.
func (h *host) queue(first bool) int {
	own, ownFirst, since, sinceFirst := 0, 0, 0, 0
	for _, s := range h.sends {
		own += s.prefill
		if s.first {
			ownFirst += s.prefill
		}
		if h.heard && !s.at.After(h.load.At) {
			continue
		}
		since += s.prefill
		if s.first {
			sinceFirst += s.prefill
		}
	}
	// The other instances have sent about as much since the report.
	since *= max(1, h.peers)
	sinceFirst *= max(1, h.peers)
	if !first {
		return h.load.Queue + since
	}
	if own == 0 {
		return sinceFirst
	}
	return h.load.Queue*ownFirst/own + sinceFirst
}

// streams estimates the answers that the engine generates or has waiting.
func (h *host) streams() int {
	n := h.load.Running + h.load.Waiting
	for _, s := range h.sends {
		if s.decode && (!h.heard || s.at.After(h.load.At)) {
			n++
		}
	}
	return n
}

// prefillTime is the expected time until the engine has computed the part of
// the prompt that isn't cached.
func (h *host) prefillTime(a *Ask, cached int) time.Duration {
	tokens := h.queue(a.First) + a.Tokens - cached
	return time.Duration(float64(tokens) / h.rate() * float64(time.Second))
}

// decodeWait is the expected time until the engine has room for one more
// stream, and the time of its first token.
func (h *host) decodeWait(a *Ask) time.Duration {
	streams, batch := h.streams(), h.batch()
	load := h.step() + h.step()*time.Duration(streams)/time.Duration(batch)
	if streams < batch || a.First {
		return load
	}
	over := streams - batch + 1
	return load + h.step()*time.Duration(a.output())*time.Duration(over)/time.Duration(batch)
}

func (h *host) cached(a *Ask, policy Policy) int {
	if policy != PolicyCache {
		return 0
	}
	return min(h.prefixes.Cached(a.Pieces)*engine.PieceTokens, a.Tokens)
}

// bucket bounds prompt tokens over time.
type bucket struct {
	level float64
	at    time.Time
}

// take spends n. More than there is leaves a debt.
func (b *bucket) take(now time.Time, rate, limit, n float64) {
	b.refill(now, rate, limit)
	b.level -= n
}

func (b *bucket) refill(now time.Time, rate, limit float64) {
	if b.at.IsZero() {
		b.level, b.at = limit, now
		return
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(limit, b.level+rate*passed.Seconds())
		b.at = now
	}
}
