package flow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

const (
	// Uneven machines: one in unevenEvery takes fastFactor of the mean time.
	unevenEvery = 4
	fastFactor  = 0.55
	slowFactor  = 1.2
	// Slowdowns: each lasts slowdownTime, in which work takes slowdownFactor times as
	// long, for slowdownShare of the time.
	slowdownTime   = 600 * time.Millisecond
	slowdownFactor = 2.5
	slowdownShare  = 0.15
	// pausingTokens is the size of a prompt from which its computation pauses the
	// answers of its engine: smaller ones run between their steps.
	pausingTokens = 1024
)

// Questions are short prompts with long answers, whose callers notice pauses.
type Questions struct {
	Rate      float64 // per second, 0 for none
	Tokens    int     // of the prompt
	MaxOutput int
	Hint      int           // callers' estimate of the output, 0 for none
	Target    time.Duration // of the first event
	Gap       time.Duration // longest pause
	TimeLeft  time.Duration
}

// SmallEngines returns a fleet of 28 engines with small batches, and prompts and questions
// about as many as it can serve.
func SmallEngines() (Fleet, Load) {
	f := Fleet{
		Centres: 3, Instances: 90, Engines: 28, PrefillShare: 0.6, Rate: 200_000, Delay: 5 * time.Millisecond, Start: 7 * time.Millisecond,
		Step: 700 * time.Microsecond, Near: 100 * time.Microsecond, Far: 500 * time.Microsecond, Brokers: true,
		Spec: state.EngineSpec{BatchSize: 8, KVTokens: 100_000, KVBytesPerToken: 131_072, LinkMbps: 4_400_000, MaxTokensPerEvent: 75},
	}
	l := Load{
		Rate: 476, Swing: 0.5, Period: 2800 * time.Millisecond, Shared: 6300, Parts: 60, Own: 2890, MaxOutput: 100,
		Target: 200 * time.Millisecond, TimeLeft: 2 * time.Second, Length: 30 * time.Second,
		Questions: Questions{Rate: 7.57, Tokens: 220, MaxOutput: 5400, Target: 120 * time.Millisecond, Gap: 150 * time.Millisecond, TimeLeft: 15 * time.Second},
	}
	return f, l
}

// machine is how fast an engine works at which time.
type machine struct {
	factor    float64
	slowdowns []time.Duration // their beginnings, in order
}

// makeMachine returns the machine of an engine by its number. Its slowdowns don't depend
// on the requests.
func (r *run) makeMachine(i int) machine {
	f := &r.fleet
	fast := i%unevenEvery == 0
	if f.FastDecode { // decode engines are the last ones
		fast = i >= f.Engines-f.Engines/unevenEvery
		i = f.Engines - 1 - i // other slowdowns than without
	}
	m := machine{factor: 1}
	if f.Uneven || f.FastDecode {
		m.factor = slowFactor
		if fast {
			m.factor = fastFactor
		}
	}
	if !f.Slowdowns {
		return m
	}
	random := rand.New(rand.NewPCG(uint64(i), 1)) //nolint:gosec // reproducible on purpose
	mean := slowdownTime.Seconds() * (1 - slowdownShare) / slowdownShare
	for t := time.Duration(0); t < r.load.Length+r.load.TimeLeft+r.load.Questions.TimeLeft; t += slowdownTime {
		t += time.Duration(random.ExpFloat64() * mean * float64(time.Second))
		m.slowdowns = append(m.slowdowns, t)
	}
	return m
}

func (m *machine) scale(d time.Duration) time.Duration { return time.Duration(m.factor * float64(d)) }

// stretch returns how long work takes that begins now and takes d on a mean machine.
func (e *engine) stretch(d time.Duration) time.Duration {
	left, at := e.scale(d), e.run.now
	for _, begin := range e.slowdowns {
		if begin+slowdownTime <= at {
			continue
		}
		if at < begin {
			if at+left <= begin {
				break
			}
			left -= begin - at
			at = begin
		}
		rest := begin + slowdownTime - at
		if slowed := time.Duration(slowdownFactor * float64(left)); slowed <= rest {
			return at + slowed - e.run.now
		}
		left -= time.Duration(float64(rest) / slowdownFactor)
		at += rest
	}
	return at + left - e.run.now
}

// addPause records that a prompt's computation pauses the engine's answers.
func (e *engine) addPause(tokens int, took time.Duration) {
	if tokens > pausingTokens {
		e.paused += took
	}
}

// ask makes a question and schedules the next one.
func (r *run) ask() {
	q := &r.load.Questions
	if r.now >= r.load.Length {
		return
	}
	r.after(time.Duration(r.random.ExpFloat64()/q.Rate*float64(time.Second)), r.ask)
	r.result.Questions++
	id := fmt.Sprint("q", r.result.Questions)
	c := &call{
		run: r, arrived: r.now, centre: r.random.IntN(r.fleet.Centres), target: q.Target, left: q.TimeLeft, gap: q.Gap, id: id,
		prompt: &server.Prompt{Tokens: q.Tokens, MaxOutput: q.MaxOutput, OutputHint: q.Hint, Parts: []server.Part{{ID: "own" + id, Tokens: q.Tokens}}},
	}
	c.try(true)
}

// longAnswer is the answer to a question while it runs.
type longAnswer struct {
	began, last time.Duration
	tokens      int
	paused      bool
	pauses      time.Duration // engine's when the last event was sent
}

// nextEvent runs a long answer from one event to the next.
func (c *call) nextEvent(e *engine, a *longAnswer) {
	r := c.run
	stride := min(max(1, r.fleet.Spec.MaxTokensPerEvent), c.prompt.MaxOutput-a.tokens)
	if stride <= 0 {
		e.freeSlot()
		c.tell(&proto.PlaceEvent{Kind: proto.PlaceEnded, Took: max(r.now-a.began, 1), Tokens: c.prompt.MaxOutput})
		if a.paused {
			r.result.Paused++
		}
		if !a.paused && !c.late {
			r.result.Answered++
		}
		return
	}
	a.pauses = e.paused
	r.after(e.stretch(time.Duration(stride)*r.fleet.Step), func() { c.sendEvent(e, a, stride) })
}

// sendEvent sends an event, once no prompt pauses it any more.
func (c *call) sendEvent(e *engine, a *longAnswer, tokens int) {
	r := c.run
	if pause := e.paused - a.pauses; pause > 0 {
		a.pauses = e.paused
		r.after(pause, func() { c.sendEvent(e, a, tokens) })
		return
	}
	gap := r.now - a.last
	a.last, a.tokens = r.now, a.tokens+tokens
	a.paused = a.paused || gap > c.gap
	if a.tokens > 2*r.fleet.Spec.MaxTokensPerEvent {
		s, kind := c.node.gaps.Observe(r.clock(), e.name, gap, 1)
		if s.Gaps > 0 || s.SlowGaps > 0 {
			c.node.scheduler.ObserveSpeed(&s)
		}
		if kind != 0 {
			c.node.scheduler.Apply(r.clock(), &proto.PlaceEvent{Kind: kind, Engine: e.name})
		}
	}
	c.nextEvent(e, a)
}
