package screen

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
)

// maxIDBytes is the length above which the ID of a call is hashed.
const maxIDBytes = 128

// Pass screens the attempts of one call. It is used by one goroutine.
type Pass struct {
	screen  *Screen
	id      string
	request string   // cause: the request itself, or empty
	parts   []string // causes: the shared parts of its prompt

	attempts int
	trial    string      // the attempt that was permitted last, empty without one
	tried    []string    // its causes
	losses   int         // of these when it was permitted
	sent     bool        // an engine got a request of it
	loss     *state.Loss // not reported yet
}

// Begin returns the pass of a call, given the cause that is the request itself, if
// any, and those that are parts of its prompt.
func (s *Screen) Begin(id, request string, parts []string) *Pass {
	return &Pass{screen: s, id: strike.ShortID(id, maxIDBytes), request: request, parts: parts}
}

func (p *Pass) causes() []string { return causesOf(p.request, p.parts) }

// Held returns the refusal of a call that no attempt is permitted for, or nil.
func (p *Pass) Held() error {
	s := p.screen
	now, snapshot := s.clock.Now(), s.snapshots.Snapshot()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list, _ := s.suspected(now, snapshot, p.causes())
	for _, cause := range list {
		v, _ := s.find(now, snapshot, cause)
		if _, exhausted := v.Exhausted(); !exhausted {
			continue
		}
		wait, allowed := v.MayTry(now, "", func() bool { return s.isTest(v, snapshot, p.causes()) })
		if !allowed && wait > trialWait {
			s.meter.Count("screen", "refused")
			return &HeldError{Cause: cause, Wait: wait}
		}
	}
	return nil
}

// Permit returns nil if the next attempt of the call may be sent, also repeatedly
// before the sends of one attempt. It waits for a short time while another request
// with the same cause is tried.
func (p *Pass) Permit(ctx context.Context) error {
	s := p.screen
	waitUntil := s.clock.Now().Add(trialWait)
	for {
		snapshot := s.snapshots.Snapshot()
		s.mutex.Lock()
		list, losses := s.suspected(s.clock.Now(), snapshot, p.causes())
		s.mutex.Unlock()
		if len(list) == 0 || p.trial != "" && losses <= p.losses && !slices.ContainsFunc(list, p.untried) {
			return nil
		}
		if p.trial == "" {
			p.attempts++
			p.trial = p.id + "/" + strconv.Itoa(p.attempts)
		}
		answer := s.ask(ctx, state.Screening{Loss: p.loss, Trial: p.trial, Causes: p.causes(), Left: timeLeft(ctx)})
		p.loss = nil
		if answer.Allowed {
			s.meter.Count("screen", "tried")
			p.tried, p.losses = p.causes(), losses
			return nil
		}
		if answer.Wait > trialWait || !s.clock.Now().Before(waitUntil) {
			s.meter.Count("screen", "refused")
			s.log.Info("held back", "request", p.id, "cause", answer.Cause, "wait_ms", answer.Wait.Milliseconds(), "losses", losses)
			p.end(false)
			return &HeldError{Cause: answer.Cause, Wait: max(answer.Wait, trialWait)}
		}
		select {
		case <-ctx.Done():
			p.end(false)
			return fmt.Errorf("wait for another trial: %w", context.Cause(ctx))
		case <-time.After(answer.Wait):
		}
	}
}

// timeLeft returns the time until the deadline of ctx, or 0 without one.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, found := ctx.Deadline(); found {
		return max(time.Until(deadline), time.Millisecond)
	}
	return 0
}

// Suspected reports whether the current attempt is a trial of a suspected cause.
func (p *Pass) Suspected() bool { return p.trial != "" }

func (p *Pass) untried(cause string) bool { return !slices.Contains(p.tried, cause) }

// Lost records that an engine was lost under an attempt. begun reports whether the
// engine had begun the answer: then its parts are no cause.
func (p *Pass) Lost(engine string, begun bool) {
	s, now := p.screen, p.screen.clock.Now()
	parts := p.parts
	if begun {
		parts = nil
	}
	p.flush()
	l := s.lossOf(now, p.request, parts, engine, p.trial)
	p.trial, p.tried, p.sent = "", nil, false
	if len(l.Causes) == 0 {
		return
	}
	s.meter.Count("screen", "lost")
	s.log.Info("engine lost under a request", "request", p.id, "engine", engine, "begun", begun, "causes", namesOf(l.Causes), "trial", l.Trial)
	s.recordLoss(now, l)
	p.loss = l
}

func namesOf(causes []state.Cause) []string {
	list := make([]string, 0, len(causes))
	for _, c := range causes {
		list = append(list, c.Name)
	}
	return list
}

// Prefilled records that an engine got a request of the attempt, and that another one
// follows.
func (p *Pass) Prefilled() { p.sent = true }

// Spared records that an attempt ended and that its engine goes on. sent reports
// whether the engine got it.
func (p *Pass) Spared(sent bool) { p.end(!sent) }

// Completed records that the call was answered completely.
func (p *Pass) Completed() {
	p.screen.recordCompletion(p.screen.clock.Now(), p.request, p.parts)
	p.trial, p.tried, p.sent = "", nil, false
}

// Close reports what the call hasn't reported yet. A trial whose end isn't known
// counts until it expires.
func (p *Pass) Close() { p.flush() }

// flush reports the last loss, unless the question for a permission did.
func (p *Pass) flush() {
	if p.loss != nil {
		p.screen.report(state.Screening{Loss: p.loss})
		p.loss = nil
	}
}

// end ends the current trial, under which no engine was lost.
func (p *Pass) end(unused bool) {
	if p.trial == "" {
		return
	}
	s, now := p.screen, p.screen.clock.Now()
	unused = unused && !p.sent
	if len(p.tried) > 0 {
		s.report(state.Screening{Trial: p.trial, Causes: p.tried, Ended: !unused, Unused: unused})
		s.mutex.Lock()
		for _, cause := range p.tried {
			if v := s.own[cause]; v != nil {
				v.EndTrial(now, p.trial, unused)
			}
		}
		s.mutex.Unlock()
	}
	p.trial, p.tried, p.sent = "", nil, false
}
