package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/broker"
)

// Broker sends messages to other instances, given by their link addresses:
// scheduling requests to the one that schedules for the data centre, and the
// origins of streams to any.
type Broker interface {
	Ask(ctx context.Context, link string, r *proto.PlaceRequest) (*proto.PlaceReply, error)
	Tell(link string, e *proto.PlaceEvent)
	Share(link string, origins []proto.StreamOrigin)
	TellLimits(link string, limits []proto.ServerLimit)
	TellNotices(link string, notices []proto.ServerNotice)
	Find(ctx context.Context, links []string, id string) *proto.StreamOrigin
}

// ticket is a scheduled generation. What happens to it is told to the instance
// that scheduled it.
type ticket struct {
	sched.Decision

	fleet  *Fleet
	id     string
	pool   string
	broker string // link address of the instance that scheduled it; empty for this one
}

// schedule asks the broker for engines, or chooses them here if it isn't there.
func (f *Fleet) schedule(ctx context.Context, now time.Time, r *sched.Request) (*ticket, error) {
	f.mutex.Lock()
	link, ask := f.delegate.Broker(now)
	r.Avoid = append(slices.Clone(r.Avoid), f.notices.Waiting(now)...)
	f.mutex.Unlock()
	if ask {
		if t := f.askBroker(ctx, link, r); t != nil {
			return t, nil
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	d, err := f.local.Decide(now, r)
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names the pool
	}
	t := &ticket{Decision: d, fleet: f, id: r.ID, pool: r.Pool}
	if !t.Refused {
		t.countInFlight(1)
	}
	return t, nil
}

// askBroker returns the broker's decision, or nil if there is none that can be
// used.
func (f *Fleet) askBroker(ctx context.Context, link string, r *sched.Request) *ticket {
	ask := &proto.PlaceRequest{
		ID: r.ID, Pool: r.Pool, Tokens: r.Prompt.Tokens, MaxOutput: r.Prompt.MaxOutput, Hint: r.Prompt.OutputHint,
		Target: r.Target, TimeLeft: r.TimeLeft, Avoid: r.Avoid, Admit: r.Admit, Deferred: r.Deferred, Build: r.Build, GapTarget: r.GapTarget,
		Account: r.Account, Priority: r.Priority,
	}
	for _, p := range r.Prompt.Parts {
		ask.Parts = append(ask.Parts, proto.PlacePart{ID: p.ID, Tokens: p.Tokens})
	}
	reply, err := f.broker.Ask(ctx, link, ask)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ctx.Err() == nil && !errors.Is(err, broker.ErrUnfit) {
		f.delegate.Record(f.clock.Now(), err == nil)
	}
	if err != nil {
		f.meter.Count("broker", "no_reply")
		return nil
	}
	t := &ticket{fleet: f, id: r.ID, pool: r.Pool, broker: link}
	if !t.apply(reply, r.Build, f.servingEngine) {
		f.meter.Count("broker", "not_used")
		f.broker.Tell(link, &proto.PlaceEvent{Kind: proto.PlaceEnded, ID: r.ID})
		return nil
	}
	r.Deferred = t.Deferred
	if !t.Refused {
		t.countInFlight(1)
	}
	return t
}

// apply sets the decision to that of a reply. It returns false if the reply
// names no engine, or one that isn't serving in the pool or is of another build than asked
// for, as far as this instance knows: then it decides itself. An engine that can't be
// fetched from is left out.
func (t *ticket) apply(r *proto.PlaceReply, build *string, engine func(pool, name string) (state.Engine, bool)) bool {
	if r.Refused && r.Decode == "" {
		t.Refused, t.RetryAfter = true, r.RetryAfter
		return true
	}
	decode, found := engine(t.pool, r.Decode)
	if !found || build != nil && decode.Build != *build {
		return false
	}
	var prefill state.Engine
	if r.Prefill != "" {
		if prefill, found = engine(t.pool, r.Prefill); !found {
			return false
		}
	}
	t.Plan.Prefill, t.Plan.Decode = prefill, decode
	if t.fleet.mayFetch(t.pool, r.Fetch) {
		t.Plan.FetchURL = r.Fetch
	}
	t.Plan.TimeToFirstEvent, t.Plan.PrefillTokens = r.Expected, r.PrefillTokens
	t.Plan.QueuedTokens, t.Plan.QueueWait = r.QueuedTokens, r.QueueWait
	t.Deferred, t.Refused, t.RetryAfter, t.Margin, t.Limit = r.Deferred, r.Refused, r.RetryAfter, r.Margin, r.Limit
	t.Preferred = r.Preferred
	return true
}

// countInFlight adds the generation to those in flight at its engines, or
// removes it. The caller holds the mutex.
func (t *ticket) countInFlight(n int) {
	for _, name := range []string{t.Plan.Prefill.Name, t.Plan.Decode.Name} {
		if name == "" {
			continue
		}
		if t.fleet.inFlight[name] += n; t.fleet.inFlight[name] == 0 {
			delete(t.fleet.inFlight, name)
		}
	}
}

// tell tells the instance that scheduled the generation what happened to it.
func (t *ticket) tell(e *proto.PlaceEvent) {
	e.ID = t.id
	if t.broker != "" {
		t.fleet.broker.Tell(t.broker, e)
		return
	}
	t.fleet.mutex.Lock()
	defer t.fleet.mutex.Unlock()
	t.fleet.local.Apply(t.fleet.clock.Now(), e)
}

// prefilled records that the prompt was computed at the prefill engine.
func (t *ticket) prefilled(took time.Duration) {
	t.tell(&proto.PlaceEvent{Kind: proto.PlacePrefilled, Took: took})
}

// firstEvent records the time from the request to the decode engine, and from
// the caller's, to the first event.
func (t *ticket) firstEvent(took, since time.Duration) {
	t.tell(&proto.PlaceEvent{Kind: proto.PlaceStarted, Took: took, Since: since})
}

// end removes the generation from its engines. Took is the time of its answer
// after the first event, 0 if it has no complete one, and tokens the most that it
// may hold, 0 if that isn't known.
func (t *ticket) end(took time.Duration, tokens int) {
	t.fleet.mutex.Lock()
	t.countInFlight(-1)
	t.fleet.mutex.Unlock()
	t.tell(&proto.PlaceEvent{Kind: proto.PlaceEnded, Took: took, Tokens: tokens})
}

// engineFailed records that an engine answered with a failure, or that it
// couldn't be reached or broke the connection.
func (t *ticket) engineFailed(name string, lost bool) {
	if !lost {
		t.engineEvent(proto.PlaceFailed, name)
		return
	}
	t.engineEvent(proto.PlaceLost, name)
	t.fleet.mutex.Lock()
	defer t.fleet.mutex.Unlock()
	t.fleet.losses.add(t.fleet.clock.Now(), lossReport{engine: name, pool: t.pool, broker: t.broker})
}

// engineRejected records that an engine turned the generation away.
func (t *ticket) engineRejected(name string) { t.engineEvent(proto.PlaceRejected, name) }

// engineEvent records an event of an engine here and at the instance that scheduled the
// generation.
func (t *ticket) engineEvent(kind proto.PlaceEventKind, name string) {
	if t.broker != "" {
		t.tell(&proto.PlaceEvent{Kind: kind, Engine: name})
	}
	t.fleet.mutex.Lock()
	defer t.fleet.mutex.Unlock()
	t.fleet.local.Apply(t.fleet.clock.Now(), &proto.PlaceEvent{Kind: kind, Engine: name})
}

// Place schedules a request of another instance. It implements
// broker.Handler.
func (f *Fleet) Place(r *proto.PlaceRequest) (proto.PlaceReply, bool) {
	prompt := &server.Prompt{Tokens: r.Tokens, MaxOutput: r.MaxOutput, OutputHint: r.Hint}
	for _, p := range r.Parts {
		prompt.Parts = append(prompt.Parts, server.Part{ID: p.ID, Tokens: p.Tokens})
	}
	request := &sched.Request{TimeLeft: r.TimeLeft, Admit: r.Admit, Account: r.Account, Priority: r.Priority}
	request.ID, request.Pool, request.Prompt, request.Target = r.ID, r.Pool, prompt, r.Target
	request.Avoid, request.Deferred, request.Build, request.GapTarget = r.Avoid, r.Deferred, r.Build, r.GapTarget
	f.mutex.Lock()
	defer f.mutex.Unlock()
	d, err := f.local.Decide(f.clock.Now(), request)
	if err != nil {
		return proto.PlaceReply{}, false // the asking instance decides itself
	}
	return proto.PlaceReply{
		ID: r.ID, Prefill: d.Plan.Prefill.Name, Decode: d.Plan.Decode.Name, Fetch: d.Plan.FetchURL,
		Expected: d.Plan.TimeToFirstEvent, PrefillTokens: d.Plan.PrefillTokens, QueuedTokens: d.Plan.QueuedTokens, QueueWait: d.Plan.QueueWait,
		Deferred: d.Deferred, Refused: d.Refused, RetryAfter: d.RetryAfter, Margin: d.Margin, Limit: d.Limit,
		Preferred: d.Preferred,
	}, true
}

// Apply records an event of a request that this instance scheduled for another.
// It implements broker.Handler.
func (f *Fleet) Apply(e *proto.PlaceEvent) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.local.Apply(f.clock.Now(), e)
}
