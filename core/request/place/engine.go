package place

import (
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/cost"
	"verbenahaven.example/core/version/state"
)

// sentWork is the work of one request that this instance sent to an engine.
type sentWork struct {
	prefillTokens int  // prompt tokens to compute
	deferred      bool // the prefill waits behind requests that aren't deferred
	decode        bool
	longAnswer    bool // the answer is long
	memoryTokens  int  // KV cache that the answer is expected to use
}

// toShare returns the work in the form that is sent to other instances.
func (s sentWork) toShare() proto.EngineWork {
	w := proto.EngineWork{KVTokens: s.memoryTokens}
	if s.deferred {
		w.DeferredTokens = s.prefillTokens
	} else {
		w.PrefillTokens = s.prefillTokens
	}
	if s.decode {
		w.Streams = 1
		if s.deferred {
			w.DeferredStreams = 1
		}
	}
	if s.longAnswer {
		w.LongStreams = 1
	}
	return w
}

// engineView is what this instance knows of one engine.
type engineView struct {
	health
	engine       state.Engine
	spec         state.EngineSpec
	lastReport   proto.Report
	heardWork    proto.EngineWork     // work of the other instances when it was last heard of
	otherWork    proto.EngineWork     // what is left of it
	freshness    float64              // share of the answers then that still counts
	rejected     float64              // current share of requests that the engine turns away
	sent         map[string]sentWork  // by the request's ID
	ownWork      proto.EngineWork     // sum of sent
	prefillRate  float64              // expected, in prompt tokens per second
	prefillDelay time.Duration        // expected time of a prefill besides its tokens
	startTime    time.Duration        // expected, from the request for an answer whose prompt is prefilled to its first event
	cachedParts  map[string]time.Time // shared parts in the engine's cache and when each was last sent
	hash         uint64               // fixed order of the engines of a pool
	reported     bool
	decision     uint64 // last one that compared it with a part of its pool
	slowdown
}

// addWork records the work of a request; it replaces what was recorded before.
func (v *engineView) addWork(id string, s sentWork) {
	v.removeWork(id)
	v.sent[id] = s
	w := s.toShare()
	v.ownWork.Add(&w, 1)
}

// removeWork removes the work of a request.
func (v *engineView) removeWork(id string) {
	s, found := v.sent[id]
	if !found {
		return
	}
	delete(v.sent, id)
	w := s.toShare()
	v.ownWork.Add(&w, -1)
}

const (
	// cacheTurnover is how many times its memory an engine may compute in
	// prompt tokens while a part that isn't used again stays cached: it
	// computes for a part of the time only.
	cacheTurnover = 3.0
	// minPartTTL and maxPartTTL bound the time that a part is assumed to stay
	// cached.
	minPartTTL = time.Second
	maxPartTTL = 30 * time.Second
)

// computeTime returns the time in which the engine computes prompt tokens.
func (v *engineView) computeTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / v.prefillRate * v.factor() * float64(time.Second))
}

// prefillTime returns the time of a prefill that computes prompt tokens.
func (v *engineView) prefillTime(tokens int) time.Duration {
	return v.prefillDelay + v.computeTime(tokens)
}

// fetchTime returns the time in which another engine's KV cache of prompt
// tokens is fetched; a transfer between data centres takes twice as long.
func (v *engineView) fetchTime(tokens int) time.Duration {
	const setup = time.Millisecond
	if v.spec.LinkMbps <= 0 {
		return setup
	}
	bits := 8 * float64(tokens) * float64(v.spec.KVBytesPerToken)
	return setup + time.Duration(2*bits/(v.spec.LinkMbps*1e6)*float64(time.Second))
}

// partTTL returns how long a part is assumed to stay in the engine's cache.
func (v *engineView) partTTL() time.Duration {
	ttl := time.Duration(cacheTurnover * float64(v.spec.KVTokens) / v.prefillRate * float64(time.Second))
	return min(max(ttl, minPartTTL), maxPartTTL)
}

// queuedTokens returns the prompt tokens that a request waits for in the prefill
// queue.
func (v *engineView) queuedTokens(req *Request) int {
	tokens := v.ownWork.PrefillTokens + v.otherWork.PrefillTokens
	if req.Deferred {
		tokens += v.ownWork.DeferredTokens + v.otherWork.DeferredTokens
	}
	return tokens
}

// queueWait returns the expected time that a request waits in the prefill
// queue.
func (v *engineView) queueWait(req *Request) time.Duration {
	return v.computeTime(v.queuedTokens(req))
}

// streams returns the number of answers running or queued at the engine.
func (v *engineView) streams() int {
	return max(v.ownWork.Streams+v.otherWork.Streams, v.aged(v.lastReport.Running+v.lastReport.Waiting))
}

// streamsBefore returns the number of answers that run or get a slot before
// that of a request: all but the deferred ones that wait, if it isn't deferred.
func (v *engineView) streamsBefore(req *Request) int {
	streams := v.streams()
	if req.Deferred || v.spec.BatchSize <= 0 {
		return streams
	}
	waiting := max(0, streams-v.spec.BatchSize)
	return streams - min(waiting, v.ownWork.DeferredStreams+v.otherWork.DeferredStreams)
}

// memoryUse returns the used share of the engine's KV cache memory.
func (v *engineView) memoryUse() float64 {
	share := v.freshness * v.lastReport.KVUsage
	if v.spec.KVTokens > 0 {
		share = max(share, float64(v.ownWork.KVTokens+v.otherWork.KVTokens)/float64(v.spec.KVTokens))
	}
	return share
}

// slotWait returns the expected time until the engine has a free batch slot.
// Answers that aren't known here count as long.
func (v *engineView) slotWait(req *Request, t answerTimes) time.Duration {
	streams := v.streams()
	excess := v.streamsBefore(req) + spareSlots - v.spec.BatchSize
	if v.spec.BatchSize <= 0 || excess <= 0 {
		return 0
	}
	short := v.ownWork.Streams + v.otherWork.Streams - v.ownWork.LongStreams - v.otherWork.LongStreams
	short = min(max(short, 0), streams)
	ended := float64(short)/(t.short+v.startTime).Seconds() + float64(streams-short)/t.long.Seconds() // a second, if all had a slot
	ended *= min(1, float64(v.spec.BatchSize)/float64(streams))
	return time.Duration(float64(excess) / ended * float64(time.Second))
}

// memoryWait returns the cost of memory that is full, as the time until it is
// free.
func (v *engineView) memoryWait(req *Request) time.Duration {
	if use := v.memoryUse(); use >= fullMemoryShare {
		return time.Duration(use * float64(req.share(fullMemoryCostShare)))
	}
	return 0
}

// admissionWait returns the expected time until the engine has a free batch slot
// and free memory.
func (v *engineView) admissionWait(req *Request, t answerTimes) time.Duration {
	return max(v.slotWait(req, t), v.memoryWait(req))
}

// loadCost returns the cost of decoding one more answer on the engine, as time.
func (v *engineView) loadCost(req *Request, t answerTimes) time.Duration {
	share := v.memoryUse()
	if v.spec.BatchSize > 0 {
		share = max(share, float64(v.streams())/float64(v.spec.BatchSize))
	}
	return v.admissionWait(req, t) + time.Duration(share*float64(req.share(fullBatchShare)))
}

// usable reports whether the engine may take a request.
func (v *engineView) usable(now time.Time, req *Request) bool {
	if v.engine.Phase != state.PhaseServing || slices.Contains(req.Avoid, v.engine.Name) || !v.healthy(now) {
		return false
	}
	dead := v.reported && !v.lastReport.Alive && now.Sub(v.lastReport.At) < reportTTL
	return !dead
}

// recordParts records that the engine will cache the shared parts of a prompt.
func (v *engineView) recordParts(now time.Time, req *Request) {
	if ttl := v.partTTL(); len(v.cachedParts) > maxTrackedParts {
		for id, at := range v.cachedParts {
			if now.Sub(at) > ttl {
				delete(v.cachedParts, id)
			}
		}
	}
	if len(v.cachedParts) > maxTrackedParts {
		clear(v.cachedParts)
	}
	for _, part := range req.sharedParts() {
		v.cachedParts[part.ID] = now
	}
}

// cachedTokens returns the number of prompt tokens that the engine is assumed
// to have cached.
func (v *engineView) cachedTokens(now time.Time, req *Request) int {
	tokens, ttl := 0, v.partTTL()
	for _, part := range req.sharedParts() {
		if at, found := v.cachedParts[part.ID]; !found || now.Sub(at) > ttl {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// sharedParts returns the parts of a prompt that other requests may share: all
// but the last, which is the request's own.
func (r *Request) sharedParts() []server.Part {
	if len(r.Prompt.Parts) < 2 {
		return nil
	}
	return r.Prompt.Parts[:len(r.Prompt.Parts)-1]
}

// sharedTokens returns the number of tokens in the shared parts of the prompt.
func (r *Request) sharedTokens() int {
	tokens := 0
	for _, part := range r.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// OutputTokens returns the expected length of the answer in tokens: the median of
// what was learned, else the caller's estimate.
func (r *Request) OutputTokens() int {
	if r.length.Median > 0 {
		return min(r.length.Median, r.Prompt.MaxOutput)
	}
	return r.CallersTokens()
}

// CallersTokens returns the caller's estimate of the length of the answer, or its
// limit without one.
func (r *Request) CallersTokens() int {
	if r.Prompt.OutputHint > 0 {
		return min(r.Prompt.OutputHint, r.Prompt.MaxOutput)
	}
	return r.Prompt.MaxOutput
}

// guess returns what the request says of the length of the answer.
func (r *Request) guess() cost.Guess {
	return cost.Guess{Tokens: r.CallersTokens(), Limit: r.Prompt.OutputHint <= 0}
}

// isLong reports whether the answer has so many events that pauses between them
// matter.
func (p *Placer) isLong(req *Request) bool {
	stride := 1
	if x := p.pools[req.Pool]; x != nil {
		stride = max(1, x.all[0].spec.MaxTokensPerEvent)
	}
	return req.OutputTokens() > longAnswerEvents*stride
}
