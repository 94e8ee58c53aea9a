package infer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/answer"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/guide"
	"verbenahaven.example/entryd/trail"
)

const (
	maxAttempts  = 6
	maxWaits     = 200
	waitEach     = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	suspectRetry = time.Second
	// progress is the number of tokens from an engine that was lost then
	// which show that the request is hardly the cause.
	progress = 8
	// maxLost bounds the engines lost with one call aboard, progress or not.
	maxLost = 4
	// suspectWait is the least time before a suspect without progress is tried
	// again, and the range of a random part added to it: those with progress
	// must have shown more of it on their next engines by then.
	suspectWait   = 400 * time.Millisecond
	backendRetry  = 500 * time.Millisecond
	defaultOutput = 256
)

// carrying is the state of one call on its way.
type carrying struct {
	*Server
	call     *Call
	sink     Sink
	ask      route.Ask
	assembly answer.Assembly
	serial   int  // of the attempt
	number   int  // of attempts since the last that was moved
	suspect  bool // an engine was lost, or may have been
	proved   bool // it made progress on the engine that was lost
	waited   bool
	aboard   bool          // an engine may have begun to work on it
	waits    int           // for an engine, in the middle of the answer
	lost     int           // engines
	begun    int           // tokens delivered when the attempt began
	expected time.Duration // to the first token, when it was admitted
	admitted time.Duration // on the clock
	pledged  string
	unused   []string // pledges for engines that were lost before
}

// Complete carries a call. An error before the first token is a refusal that
// can still be answered with a status.
func (s *Server) Complete(ctx context.Context, call *Call, sink Sink) error {
	c := &carrying{Server: s, call: call, sink: sink}
	text := Prompt(&call.Request)
	c.ask = route.Ask{
		Request:     call.ID,
		Model:       call.Service.Model,
		Adapter:     call.Service.Adapter,
		Revision:    call.Service.Revision,
		Fingerprint: call.Fingerprint,
		First:       call.Service.Class == state.ClassFirst,
		Pieces:      route.Pieces(call.Service.Model, text),
		Tokens:      route.Tokens(text),
		Output:      call.Request.MaxTokens,
	}
	if c.ask.Output == 0 {
		c.ask.Output = defaultOutput
	}
	if err := c.judge(); err != nil {
		return err
	}
	c.draw()
	if err := c.admit(); err != nil {
		return err
	}
	return c.loop(ctx)
}

// judge refuses a request that has cost too many engines, at once and for
// good.
func (c *carrying) judge() error {
	now := c.clock.Now()
	verdict, until := c.strikes.Judge(now, c.call.Fingerprint, c.guide.Snapshot())
	switch verdict {
	case strike.Out:
		return struckOut(until.Sub(now))
	case strike.Trial:
		return fault.New(fault.CodeSuspect, "another copy of this request is being tried after an engine was lost").Retry(suspectRetry)
	case strike.Suspect:
		c.suspect = true
	}
	return nil
}

// draw sets what the engines are drawn by: the fingerprint, so that copies of
// a request which may crash engines meet the same ones. Requests that are
// known to succeed are spread, however many equal ones there are.
func (c *carrying) draw() {
	c.ask.Fingerprint = c.call.Fingerprint
	if !c.suspect && c.strikes.Proved(c.call.Fingerprint) {
		c.ask.Fingerprint = c.call.ID
	}
}

func struckOut(left time.Duration) error {
	return fault.New(fault.CodeStrikes, "engines were lost while they ran this request; it is refused until the strikes run out").
		Retry(left).Ran(once.RanYes)
}

// admit refuses at once what can't make its deadline.
func (c *carrying) admit() error {
	l, err := c.guide.Weigh(c.clock.Now(), &c.ask)
	c.call.Record.Decided(l.Decision)
	if err != nil {
		c.guide.Demand(c.call.Service.Name, c.ask.Tokens, c.ask.Output, true)
		return refusal(err)
	}
	c.expected, c.admitted = l.Plan.First, c.clock.Elapsed()
	reason, wait := admit.Decide(admit.Case{
		Class:   c.call.Service.Class,
		First:   l.Plan.First + c.margin(c.call.Service.Name, c.call.Limit),
		Step:    l.Step,
		Output:  c.ask.Output,
		Limit:   c.call.Limit,
		Left:    c.call.Left,
		Streams: l.Streams,
		Room:    l.Room,
	})
	c.guide.Demand(c.call.Service.Name, max(c.ask.Tokens-l.Plan.Cached, 0), c.ask.Output, reason != "")
	switch reason {
	case admit.ReasonDeadline:
		return fault.New(fault.CodeDeadline, fmt.Sprintf("expected first token in %v", l.Plan.First.Round(time.Millisecond))).Retry(wait)
	case admit.ReasonRoom:
		return fault.New(fault.CodeRoom, "the room left is reserved for the first class").Retry(wait)
	}
	return nil
}

// arrived learns from the first token how good the expectation was.
func (c *carrying) arrived(e *engine.Event) {
	if e.Token == 0 {
		c.learn(c.call.Service.Name, c.expected, c.clock.Elapsed()-c.admitted)
	}
}

func refusal(err error) error {
	if errors.Is(err, guide.ErrStale) {
		return fault.New(fault.CodeStale, err.Error()).Retry(backendRetry)
	}
	if errors.Is(err, route.ErrNone) {
		return fault.New(fault.CodeBackend, err.Error()).Retry(backendRetry)
	}
	return err
}

func (c *carrying) loop(ctx context.Context) error {
	for {
		c.number++
		c.serial++
		l, err := c.choose(ctx)
		if err != nil {
			none := errors.Is(err, route.ErrNone) || errors.Is(err, guide.ErrStale)
			if !none || !c.again(ctx) {
				return refusal(err)
			}
			continue
		}
		step := trail.Step{
			Attempt: c.attemptID(), At: c.clock.Now(), Prefill: l.Plan.Prefill.Name, Server: l.Plan.Decode.Name, Tokens: c.assembly.Next(),
		}
		c.begun = c.assembly.Next()
		f := c.attempt(ctx, l, step.Attempt)
		step.End = "done"
		if f != nil {
			step.End = string(f.reason) + ": " + f.err.Error()
		}
		c.call.Record.Stepped(step)
		if f == nil {
			c.finish(l)
			return nil
		}
		if err := c.failed(ctx, f); err != nil {
			return err
		}
	}
}

func (c *carrying) attemptID() string {
	return c.call.ID + "-" + strconv.Itoa(c.serial)
}

func (c *carrying) finish(l *guide.Lease) {
	c.strikes.Succeeded(c.call.Fingerprint)
	c.success(l.Plan.Prefill.Name, l.Plan.Decode.Name)
	if c.suspect || c.pledged != "" {
		c.strikes.Clear(c.call.Fingerprint)
	}
}

// choose picks engines; a suspect needs a pledge for them.
func (c *carrying) choose(ctx context.Context) (*guide.Lease, error) {
	c.ask.Request, c.ask.Suspect = c.attemptID(), c.suspect
	c.draw()
	l, err := c.guide.Weigh(c.clock.Now(), &c.ask)
	if c.serial > 1 {
		c.call.Record.Decided(l.Decision)
	}
	if err != nil {
		// Engines that failed this request before are better than none.
		c.ask.Avoid = nil
		return nil, err //nolint:wrapcheck // told apart by the caller
	}
	if c.suspect || l.Plan.Strayed {
		err = c.pledge(ctx, l)
	}
	return l, err
}

// pledge records the engines of a plan before a suspect goes there.
func (c *carrying) pledge(ctx context.Context, l *guide.Lease) error {
	if !c.suspect && !c.waited {
		// Perhaps a copy of this request was the cause. Its strikes will have
		// arrived after the wait.
		c.waited = true
		if err := c.pause(ctx); err != nil {
			return c.cancelled(ctx)
		}
		if err := c.judge(); err != nil {
			return err
		}
	}
	engines := []string{l.Plan.Decode.Name}
	if l.Plan.Split() {
		engines = []string{l.Plan.Prefill.Name, l.Plan.Decode.Name}
	}
	target := strike.Pledge(engines...)
	if target == c.pledged {
		return nil
	}
	c.pledged = target
	if len(c.unused) > 0 {
		// Whoever was aboard the engine that was lost has recorded it by then.
		if err := c.pause(ctx); err != nil {
			return c.cancelled(ctx)
		}
	}
	if c.strikes.Pledge(ctx, c.clock.Now(), c.call.Fingerprint, c.unused, engines...) || c.proved {
		return nil
	}
	return fault.New(fault.CodeSuspect, "another copy of this request is being tried after an engine was lost").
		Retry(suspectRetry).Ran(c.ran())
}

// pause waits before a suspect is tried.
func (c *carrying) pause(ctx context.Context) error {
	return c.sleep(ctx, suspectWait+rand.N(suspectWait))
}

// again waits before another choice when no engine could be chosen, and
// reports whether there is one. An answer that has begun waits longer: engines
// come back from a change of role within seconds.
func (c *carrying) again(ctx context.Context) bool {
	if c.serial == 1 {
		return false
	}
	if c.assembly.Next() == 0 {
		return c.number < maxAttempts && c.wait(ctx, c.number) == nil
	}
	c.number--
	c.waits++
	c.meter.Count("stream", "waits")
	return c.waits <= maxWaits && c.sleep(ctx, waitEach) == nil
}

// failed decides what follows a failed attempt. It returns the error that
// ends the call, or nil for another attempt.
func (c *carrying) failed(ctx context.Context, f *failure) error {
	c.meter.Count("attempt", "failed", string(f.reason))
	c.aboard = c.aboard || f.aboard
	if ctx.Err() != nil {
		return c.cancelled(ctx)
	}
	if f.final {
		return f.err
	}
	if f.reason == retry.ReasonMoved {
		c.meter.Count("stream", "moved")
		c.number = 0
		return nil
	}
	lost := c.probe(ctx, f)
	c.settle(f, lost)
	if lost && f.aboard {
		if err := c.struck(ctx, f); err != nil {
			return err
		}
	}
	// Work that a lost engine had taken isn't added load elsewhere: only
	// failures of live engines spend from the budget.
	if c.number >= maxAttempts || (!lost && c.assembly.Next() == 0 && !c.spend(f.server.Name, c.call.Repeated)) {
		c.meter.Count("retry", "refused", string(f.reason))
		return fault.New(fault.CodeBroken, f.err.Error()).Ran(c.ran()).Retry(backendRetry)
	}
	c.meter.Count("retry", string(f.reason))
	if c.assembly.Next() > 0 {
		c.meter.Count("stream", "resumed")
		return nil
	}
	if err := c.wait(ctx, c.number); err != nil {
		return c.cancelled(ctx)
	}
	return nil
}

// settle draws what follows from a failed attempt for the next choice. An
// engine under a pledge that wasn't lost may be tried again; one that was lost
// before the request got aboard didn't use its pledge.
func (c *carrying) settle(f *failure, lost bool) {
	if c.assembly.Next()-c.begun >= progress && !lost {
		c.proved = true
	}
	if lost || c.pledged == "" {
		c.ask.Avoid = append(c.ask.Avoid, f.server.Name)
	}
	if lost && !f.aboard && c.pledged != "" {
		c.unused = append(c.unused, c.pledged)
	}
}

// struck records a strike. A request that was making progress goes on at once;
// one that wasn't waits, so that it doesn't meet those on their next engine.
func (c *carrying) struck(ctx context.Context, f *failure) error {
	now := c.clock.Now()
	c.strikes.Lost(ctx, now, c.call.Fingerprint, f.server.Name)
	c.suspect = true
	c.lost++
	c.proved = c.assembly.Next()-c.begun >= progress && c.lost < maxLost
	if c.proved {
		return nil
	}
	if verdict, until := c.strikes.Judge(now, c.call.Fingerprint, c.guide.Snapshot()); verdict == strike.Out {
		return struckOut(until.Sub(now))
	}
	if err := c.pause(ctx); err != nil {
		return c.cancelled(ctx)
	}
	return nil
}

// probe finds out whether the engine of a failed attempt is lost.
func (c *carrying) probe(ctx context.Context, f *failure) bool {
	switch f.reason {
	case retry.ReasonStatus, retry.ReasonRefused, retry.ReasonGap:
		return false
	case retry.ReasonSilent:
		c.pool.Discard(server.Address(f.server.URL))
	}
	if c.alive(ctx, f.server.URL) {
		return false
	}
	c.guide.Probe(c.clock.Now(), f.server.Name, false)
	return true
}

func (c *carrying) ran() once.Ran {
	if c.aboard || c.assembly.Next() > 0 {
		return once.RanYes
	}
	return once.RanNot
}

func (c *carrying) cancelled(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return fault.New(fault.CodeDeadline, "no answer before the deadline").Ran(once.RanYes)
	}
	return fault.New(fault.CodeCancelled, "the caller went away").Ran(once.RanYes)
}
