package infer

import (
	"context"
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

// maxSilences is how many silence timeouts an answer that has begun waits for its engine
// without a successor. A connection may be silent for good while new ones work.
const maxSilences = 10

// successor reports whether another attempt could go on with a call whose engine
// is silent. A silent engine may go on, so leaving it at once without a successor would
// end an answer that it would have completed. It runs beside the attempt and
// has its own copy of what changes during it.
type successor struct {
	completion *completion // only what doesn't change during a call, or is locked
	server     state.Engine
	triesLeft  bool
	pledged    bool // the call would be sent to the same engine again

	mutex    sync.Mutex
	request  route.Request // of the next attempt
	begun    bool          // tokens were delivered
	progress bool          // the attempt makes the call an unlikely cause of a loss
}

// newSuccessor returns the successor of an attempt at a server.
func (c *completion) newSuccessor(server state.Engine) *successor {
	s := &successor{
		completion: c, server: server, request: c.routeRequest,
		triesLeft: c.attemptsSinceMove < maxAttempts, pledged: c.currentPledge != "",
	}
	if !s.pledged {
		s.request.Avoid = append(slices.Clone(s.request.Avoid), server.Name)
	}
	s.update()
	return s
}

// update records the progress of the attempt. The attempt calls it.
func (s *successor) update() {
	c := s.completion
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.request.Continues = c.routeRequest.Continues
	s.begun = c.assembly.NextToken() > 0
	s.progress = c.assembly.NextToken()-c.tokensBefore >= minProgressTokens && c.lostEngines+1 < maxLostEngines
}

// mayLeave reports whether the call may leave its engine after a silence: a successor is at
// hand, or the answer has begun and has waited for long.
func (s *successor) mayLeave(silence time.Duration) bool {
	if s.atHand() {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.begun && silence >= maxSilences*s.completion.settings.SilenceTimeout
}

// atHand reports whether a try, a permission and another engine are left for the call, and
// either a retry in the budget or the certainty that it needs none, since its engine is lost.
func (s *successor) atHand() bool {
	s.mutex.Lock()
	request, begun, progress := s.request, s.begun, s.progress
	s.mutex.Unlock()
	c, now := s.completion, s.completion.clock.Now()
	if !s.triesLeft || c.pass.Held() != nil {
		return false
	}
	if _, err := c.balancer.Choose(now, &request); err != nil {
		return false
	}
	mayLose := progress || c.strikes.WithstandsLoss(now, c.call.Fingerprint, s.server.Name, c.balancer.Snapshot())
	if mayLose && !s.pledged && (begun || c.holdRetry(s.server.Name)) {
		return true
	}
	if !c.alive(context.Background(), s.server.URL) {
		c.balancer.RecordProbe(now, s.server.Name, false)
		return mayLose
	}
	return !s.pledged && (begun || c.holdRetry(s.server.Name))
}

// holdRetry takes a retry from an engine's budget before the engine is left, and
// reports whether there was one.
func (c *completion) holdRetry(name string) bool {
	if c.heldRetry.Load() != nil {
		return true
	}
	if !c.takeRetry(name, c.call.IsRetry) {
		return false
	}
	c.heldRetry.Store(&name)
	return true
}

// spendRetry reports whether there is a retry for the call: the one that it
// holds or one from an engine's budget.
func (c *completion) spendRetry(name string) bool {
	return c.heldRetry.Swap(nil) != nil || c.takeRetry(name, c.call.IsRetry)
}

// returnHeldRetry returns a retry that the call holds and didn't need.
func (c *completion) returnHeldRetry() {
	if name := c.heldRetry.Swap(nil); name != nil {
		c.returnRetry(*name)
	}
}
