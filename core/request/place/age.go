package place

import (
	"time"

	"verbenahaven.example/core/conn/proto"
)

// othersGrace is how long the work of other instances counts in full after it was heard
// of: replies of the leader, which renew it, are at most this far apart in fleets of up to
// 400 instances.
const othersGrace = 300 * time.Millisecond

// ageOthers reduces the known work of other instances by what the engine has computed
// since it was heard of: an instance that hears no leader would otherwise count it forever.
func (v *engineView) ageOthers(sinceHeard time.Duration, t answerTimes) {
	elapsed := sinceHeard - othersGrace
	if elapsed <= 0 {
		v.otherWork, v.freshness = v.heardWork, 1
		return
	}
	w := v.heardWork
	computed := int(min(v.prefillRate*elapsed.Seconds(), float64(w.PrefillTokens+w.DeferredTokens)))
	first := min(computed, w.PrefillTokens)
	v.freshness = max(0, 1-elapsed.Seconds()/t.long.Seconds())
	v.otherWork = proto.EngineWork{
		Engine: w.Engine, PrefillTokens: w.PrefillTokens - first, DeferredTokens: w.DeferredTokens - (computed - first),
		Streams: v.aged(w.Streams), LongStreams: v.aged(w.LongStreams), DeferredStreams: v.aged(w.DeferredStreams), KVTokens: v.aged(w.KVTokens),
	}
}

// aged returns what is left of a number of answers, or of the memory that they use.
func (v *engineView) aged(n int) int { return int(v.freshness * float64(n)) }
