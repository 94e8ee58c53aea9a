package place

import (
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
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
	otherWork    proto.EngineWork     // work of the other instances
	sent         map[string]sentWork  // by the request's ID
	ownWork      proto.EngineWork     // sum of sent
	slowdown     float64              // prefill time relative to the pool's engines of the same role
	roleSlowdown *float64             // prefill time of the pool's engines of this role relative to initialPrefillRate
	cachedParts  map[string]time.Time // shared parts in the engine's cache and when each was last sent
	hash         uint64               // fixed order of the engines of a pool
	reported     bool
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
	// observationWeight is the weight of a new observation of an engine's
	// speed.
	observationWeight = 0.05
	// maxSlowdown bounds the effect of one observation, and by which factor an
	// engine may differ from the others of its pool and role.
	maxSlowdown = 4.0
	// maxRoleSlowdown bounds by which factor the engines of a pool may differ
	// from initialPrefillRate.
	maxRoleSlowdown = 8.0
)

// observePrefill adjusts the estimated prefill speeds to an observed prefill
// time.
func (v *engineView) observePrefill(plan *Plan, took time.Duration) {
	expected := plan.QueueWait + v.prefillTime(plan.PrefillTokens)
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1/maxSlowdown), maxSlowdown)
	// An instance observes one engine rarely, but all of them together often
	// enough, so the common factor follows faster.
	*v.roleSlowdown = min(max(*v.roleSlowdown*(1+(ratio-1)*observationWeight), 1/maxRoleSlowdown), maxRoleSlowdown)
	v.slowdown = min(max(v.slowdown*(1+(ratio-1)*observationWeight/2), 1/maxSlowdown), maxSlowdown)
}

// prefillTime returns the time in which the engine computes prompt tokens.
func (v *engineView) prefillTime(tokens int) time.Duration {
	d := float64(tokens) * v.slowdown * *v.roleSlowdown / initialPrefillRate * float64(time.Second)
	if v.engine.Role != state.RolePrefill {
		d /= decodePrefillShare
	}
	return time.Duration(d)
}

// queueWait returns the expected time that a request waits in the prefill
// queue.
func (v *engineView) queueWait(req *Request) time.Duration {
	tokens := v.ownWork.PrefillTokens + v.otherWork.PrefillTokens
	if req.Deferred {
		tokens += v.ownWork.DeferredTokens + v.otherWork.DeferredTokens
	}
	return v.prefillTime(tokens)
}

// streams returns the number of answers running or queued at the engine.
func (v *engineView) streams() int {
	return max(v.ownWork.Streams+v.otherWork.Streams, v.lastReport.Running+v.lastReport.Waiting)
}

// memoryUse returns the used share of the engine's KV cache memory.
func (v *engineView) memoryUse() float64 {
	share := v.lastReport.KVUsage
	if v.spec.KVTokens > 0 {
		share = max(share, float64(v.ownWork.KVTokens+v.otherWork.KVTokens)/float64(v.spec.KVTokens))
	}
	return share
}

// slotWait returns the expected time until the engine has a free batch slot and
// free memory.
func (v *engineView) slotWait() time.Duration {
	var wait time.Duration
	if use := v.memoryUse(); use >= fullMemoryShare {
		wait = time.Duration(use * float64(fullMemoryCost))
	}
	if excess := v.streams() + spareSlots - v.spec.BatchSize; v.spec.BatchSize > 0 && excess > 0 {
		wait = max(wait, time.Duration(excess)*slotOccupancy/time.Duration(v.spec.BatchSize))
	}
	return wait
}

// loadCost returns the cost of decoding one more answer on the engine, as time.
func (v *engineView) loadCost() time.Duration {
	share := v.memoryUse()
	if v.spec.BatchSize > 0 {
		share = max(share, float64(v.streams())/float64(v.spec.BatchSize))
	}
	return v.slotWait() + time.Duration(share*float64(fullBatchCost))
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
	if len(v.cachedParts) > maxTrackedParts {
		for id, at := range v.cachedParts {
			if now.Sub(at) > partTTL {
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
	tokens := 0
	for _, part := range req.sharedParts() {
		if at, found := v.cachedParts[part.ID]; !found || now.Sub(at) > partTTL {
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

// OutputTokens returns the expected length of the answer in tokens.
func (r *Request) OutputTokens() int {
	if r.Prompt.OutputHint > 0 {
		return min(r.Prompt.OutputHint, r.Prompt.MaxOutput)
	}
	return r.Prompt.MaxOutput
}

// isLong reports whether the answer has so many events that pauses between them
// matter.
func (p *Placer) isLong(req *Request) bool {
	stride := 1
	if list := p.pools[req.Pool]; len(list) > 0 {
		stride = max(1, list[0].spec.MaxTokensPerEvent)
	}
	return req.OutputTokens() > longAnswerEvents*stride
}
