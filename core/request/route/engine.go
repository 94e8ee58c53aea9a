package route

import (
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// Values assumed for an engine that hasn't reported yet, a request without a
// limit and KV transfers.
const (
	defaultPrefillRate  = 20_000.0 // prompt tokens per second
	defaultStepTime     = 20 * time.Millisecond
	defaultBatchSize    = 32
	defaultOutputTokens = 256       // output tokens of a request without a limit
	transferRate        = 2_000_000 // tokens of KV cache per second between engines

	// recentLoss is the time after the loss of an engine in which strikes for
	// it may not have reached all instances.
	recentLoss = 3 * time.Second
)

// sentWork is the work of one request that this instance sent to an engine.
type sentWork struct {
	sentAt        time.Time
	prefillTokens int // prompt tokens to compute
	decode        bool
	firstClass    bool // the request is of the first class
}

// engineView is what this instance knows of one engine.
type engineView struct {
	engine            state.Engine
	alive             bool
	lostAt            time.Time // time of the last change from alive to dead
	reported          bool
	load              engine.LoadReport
	sent              map[string]sentWork
	prefixes          PrefixIndex
	shortPromptBudget tokenBucket
	instances         int // instances that send requests, this one included
}

// unusableReason returns the reason why an engine can't take a request, "" if
// it can.
func (v *engineView) unusableReason(req *Request) string {
	switch {
	case v.engine.Phase != state.PhaseServing:
		return "not_serving"
	case !v.alive:
		return "dead"
	case req.Adapter != "" && v.engine.Adapter != req.Adapter:
		return "other_adapter"
	case req.Revision != "" && v.engine.Revision != req.Revision:
		return "other_revision"
	case req.Continues != nil && OutputOf(&v.engine) != *req.Continues:
		return "other_output"
	}
	for _, name := range req.Avoid {
		if name == v.engine.Name {
			return "avoided"
		}
	}
	return ""
}

func (v *engineView) prefillRate() float64 {
	if v.load.PrefillRate > 0 {
		return v.load.PrefillRate
	}
	return defaultPrefillRate
}

func (v *engineView) stepTime() time.Duration {
	if v.load.TPOT > 0 {
		return v.load.TPOT
	}
	return defaultStepTime
}

func (v *engineView) batchSize() int {
	if v.load.MaxBatch > 0 {
		return v.load.MaxBatch
	}
	return defaultBatchSize
}

// queuedTokens estimates the prompt tokens queued ahead of a new request: those
// of the last load report plus the requests sent since it was taken. Engines
// serve the first class earlier. For it the reported queue counts only in part,
// by the share of the first class in this instance's own work.
func (v *engineView) queuedTokens(firstClass bool) int {
	ownTokens, ownFirstTokens, newTokens, newFirstTokens := 0, 0, 0, 0
	for _, s := range v.sent {
		ownTokens += s.prefillTokens
		if s.firstClass {
			ownFirstTokens += s.prefillTokens
		}
		if v.reported && !s.sentAt.After(v.load.MeasuredAt) {
			continue
		}
		newTokens += s.prefillTokens
		if s.firstClass {
			newFirstTokens += s.prefillTokens
		}
	}
	// Each other instance is assumed to have sent as much since the report.
	newTokens *= max(1, v.instances)
	newFirstTokens *= max(1, v.instances)
	if !firstClass {
		return v.load.PrefillQueueTokens + newTokens
	}
	if ownTokens == 0 {
		return newFirstTokens
	}
	return v.load.PrefillQueueTokens*ownFirstTokens/ownTokens + newFirstTokens
}

// streams estimates the number of answers running or queued at the engine.
func (v *engineView) streams() int {
	n := v.load.Running + v.load.Waiting
	for _, s := range v.sent {
		if s.decode && (!v.reported || s.sentAt.After(v.load.MeasuredAt)) {
			n++
		}
	}
	return n
}

// prefillTime returns the expected time until the engine has computed the
// uncached part of the prompt, queueing included.
func (v *engineView) prefillTime(req *Request, cached int) time.Duration {
	tokens := v.queuedTokens(req.FirstClass) + req.PromptTokens - cached
	return time.Duration(float64(tokens) / v.prefillRate() * float64(time.Second))
}

// decodeWait returns the expected time until the engine's batch has a free slot
// and the first token has been decoded. A request of the first class is assumed
// to wait for no slot.
func (v *engineView) decodeWait(req *Request) time.Duration {
	streams, batchSize := v.streams(), v.batchSize()
	step := v.stepTime() + v.stepTime()*time.Duration(streams)/time.Duration(batchSize)
	if streams < batchSize || req.FirstClass {
		return step
	}
	excess := streams - batchSize + 1
	return step + v.stepTime()*time.Duration(req.outputTokens())*time.Duration(excess)/time.Duration(batchSize)
}

// cachedTokens returns how many tokens of the prompt the engine's prefix cache
// holds.
func (v *engineView) cachedTokens(req *Request, policy Policy) int {
	if policy != PolicyCache {
		return 0
	}
	return min(v.prefixes.CachedBlocks(req.BlockHashes)*engine.BlockTokens, req.PromptTokens)
}

// tokenBucket is a token bucket that may be overdrawn.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// take deducts n; the balance may become negative.
func (b *tokenBucket) take(now time.Time, rate, capacity, n float64) {
	b.refill(now, rate, capacity)
	b.tokens -= n
}

// refill adds what has accrued since the last call; the first call fills the
// bucket.
func (b *tokenBucket) refill(now time.Time, rate, capacity float64) {
	if b.at.IsZero() {
		b.tokens, b.at = capacity, now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+rate*elapsed.Seconds())
		b.at = now
	}
}
