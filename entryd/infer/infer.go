// Package infer runs completions on inference engines. It applies admission
// control, runs prefill and decode on the engines that the router picks, and
// resumes the answer on another engine if one fails, so that the caller gets
// one complete answer. It also limits how many engines a request that crashes
// them can take down.
package infer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
)

// Settings configure how failed attempts are detected and retried.
type Settings struct {
	SilenceTimeout time.Duration // longest time without progress of an engine
	Retry          retry.Policy
	Answers        *body.Budget // memory of answers
}

// Dispatcher runs completions on engines. It is safe for concurrent use.
type Dispatcher struct {
	settings Settings
	balancer *picker.Balancer
	pool     *pool.Pool
	strikes  *Strikes
	screen   *screen.Screen
	meter    *meter.Registry
	clock    clock.Clock
	cancels  chan cancelRequest

	mutex            sync.Mutex
	budgets          *retry.Budgets
	firstTokenErrors map[string]*admit.PredictionError // by service, of the expected time to the first token
}

// cancelRequest asks an engine to abort an attempt.
type cancelRequest struct {
	url     string
	attempt string
}

const cancelQueueSize = 1024

// New returns a dispatcher.
func New(
	settings Settings, balancer *picker.Balancer, pool *pool.Pool, strikes *Strikes, screen *screen.Screen, meter *meter.Registry, clock clock.Clock,
) *Dispatcher {
	settings.Answers = cmp.Or(settings.Answers, body.NewBudget(body.DefaultSize))
	return &Dispatcher{
		settings:         settings,
		balancer:         balancer,
		pool:             pool,
		strikes:          strikes,
		screen:           screen,
		meter:            meter,
		clock:            clock,
		cancels:          make(chan cancelRequest, cancelQueueSize),
		budgets:          retry.NewBudgets(settings.Retry),
		firstTokenErrors: make(map[string]*admit.PredictionError),
	}
}

// Call is one completion that a caller asked for.
type Call struct {
	ID              string
	Service         state.Service
	Request         engine.Request // the caller's fields, with the model resolved
	Path            string         // engine.PathChat or engine.PathComplete
	Fingerprint     string
	FirstTokenLimit time.Duration // until the first token is due; 0 for none
	AnswerLimit     time.Duration // until the whole answer is due; 0 for none
	IsRetry         bool          // the caller says that this is a retry
	Record          *trail.Record

	// MaySend returns the refusal of a call that must not be sent to an engine now, or nil.
	// It is asked until the answer has begun, with the time that is expected until then. A
	// nil function allows every call.
	MaySend func(expectedFirst time.Duration) error
}

// Sink receives the tokens of an answer.
type Sink interface {
	// Token writes an event to the caller, and flushes it unless more events
	// are waiting.
	Token(e *engine.Event, more bool) error
	// End writes the end marker of the stream.
	End() error
}

// Run sends the queued cancel requests to the engines until ctx ends.
func (s *Dispatcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancels:
			s.sendCancel(ctx, c)
		}
	}
}

func (s *Dispatcher) sendCancel(ctx context.Context, c cancelRequest) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	body, err := json.Marshal(engine.Cancel{Attempt: c.attempt})
	if err != nil {
		panic("infer: cancel can't be encoded: " + err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+engine.PathCancel, bytes.NewReader(body))
	if err != nil {
		s.meter.Count("cancel", "failed")
		return
	}
	a, err := s.pool.Do(r)
	if err != nil {
		s.meter.Count("cancel", "failed")
		return
	}
	defer func() { _ = a.Body.Close() }()
	drainBody(a.Body)
}

// cancelAttempt queues a cancel request for an attempt, or drops and counts it
// if the queue is full.
func (s *Dispatcher) cancelAttempt(url, attempt string) {
	select {
	case s.cancels <- cancelRequest{url: url, attempt: attempt}:
	default:
		s.meter.Count("cancel", "dropped")
	}
}

// firstTokenMargin returns the time to be added to an expected time to the
// first token, learned from how much later the first tokens of the service came
// than expected.
func (s *Dispatcher) firstTokenMargin(service string, limit time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.firstTokenErrors[service]
	if e == nil {
		return 0
	}
	return e.Margin(s.clock.Now(), limit)
}

// learnFirstToken records the expected and the actual time to a first token.
func (s *Dispatcher) learnFirstToken(service string, expected, actual time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.firstTokenErrors[service]
	if e == nil {
		e = &admit.PredictionError{}
		s.firstTokenErrors[service] = e
	}
	e.Observe(s.clock.Now(), expected, actual)
}

// recordSuccesses adds to the retry budgets of the engines that answered.
func (s *Dispatcher) recordSuccesses(names ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range names {
		if name != "" {
			s.budgets.RecordSuccess(name)
		}
	}
}

// takeRetry takes a retry from an engine's budget and reports whether there was
// one. A request that is itself a retry of its caller gets none.
func (s *Dispatcher) takeRetry(name string, isRetry bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.TryRetry(name, isRetry)
}

// returnRetry returns a retry to an engine's budget.
func (s *Dispatcher) returnRetry(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.ReturnRetry(name)
}

// backOff waits before the retry with the given number, with jitter.
func (s *Dispatcher) backOff(ctx context.Context, retryNumber int) error {
	return s.sleep(ctx, s.settings.Retry.Backoff(retryNumber, rand.Float64()))
}

func (s *Dispatcher) sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // the cause is complete
	case <-timer.C:
		return nil
	}
}

// alive reports whether an engine answers a state request over a new
// connection.
func (s *Dispatcher) alive(ctx context.Context, url string) bool {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+engine.PathState, http.NoBody)
	if err != nil {
		return false
	}
	a, _, err := s.pool.DoUnpooled(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	drainBody(a.Body)
	return a.StatusCode == http.StatusOK
}
