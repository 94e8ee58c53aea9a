// Package plain proxies HTTP calls to plain services, with retries. Calls that
// must run at most once go through the run-once ledger instead, which stores
// their outcome under an idempotency key.
package plain

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
)

const (
	maxAttempts    = 4
	maxAnswerBytes = 8 << 20
	defaultTimeout = 30 * time.Second // for calls without a deadline
	retryAfter     = 500 * time.Millisecond
	// answerCopies is how many times the bytes of an answer are held while it is read: its
	// buffer grows by a copy.
	answerCopies = 2
)

// Settings configures the proxying of calls.
type Settings struct {
	Holder  string // name of this instance and start of its process
	Retry   retry.Policy
	Answers *body.Budget // memory of answers
}

// Dispatcher proxies calls to plain services.
type Dispatcher struct {
	settings Settings
	balancer *picker.Balancer
	pool     *pool.Pool
	keeper   proto.Keeper
	screen   *screen.Screen
	meter    *meter.Registry
	clock    clock.Clock
	recorder *recorder
	slowest  *leave.Slowest[string] // calls, by service

	mutex   sync.Mutex
	budgets *retry.Budgets
}

// New returns a dispatcher and a clean-up that waits until outcomes in progress
// are recorded.
func New(
	s Settings, g *picker.Balancer, p *pool.Pool, k proto.Keeper, n *screen.Screen, m *meter.Registry, c clock.Clock,
) (*Dispatcher, func()) {
	s.Answers = cmp.Or(s.Answers, body.NewBudget(body.DefaultSize))
	r, closeRecorder := newRecorder()
	v := &Dispatcher{settings: s, balancer: g, pool: p, keeper: k, screen: n, meter: m, clock: c, budgets: retry.NewBudgets(s.Retry), slowest: leave.NewSlowest[string](), recorder: r}
	return v, func() {
		v.EndRecording(context.Background())
		closeRecorder()
	}
}

// EndRecording waits until outcomes in progress are recorded. When ctx ends, it gives up
// those that aren't.
func (s *Dispatcher) EndRecording(ctx context.Context) { s.recorder.end(ctx) }

// Call is one call of a plain service.
type Call struct {
	ID        string
	Account   string
	Service   state.Service
	Key       string // idempotency key
	Method    string
	Target    string // path and query at the backend server
	Type      string // content type of the body
	Body      []byte
	TimeLimit time.Duration // time limit of the call, 0 for none
	IsRetry   bool
	Record    *trail.Record

	// MaySend returns the refusal of a call that must not be sent with a time left, or nil.
	// A nil function allows every call.
	MaySend func(timeLeft time.Duration) error

	memory *answerMemory // set by Do
}

// checkSend returns the refusal of a call that must not be sent now. ctx ends with its
// time limit. One without a limit is judged by the slowest recent calls of its service, if any
// are known.
func (s *Dispatcher) checkSend(ctx context.Context, c *Call) error {
	until, limited := ctx.Deadline()
	if c.MaySend == nil || !limited {
		return nil
	}
	left := time.Until(until)
	if bound, known := s.slowest.Bound(s.clock.Now(), c.Service.Name); known && c.TimeLimit == 0 {
		left = min(left, bound)
	}
	return c.MaySend(left)
}

// Answer is the response of a backend server.
type Answer struct {
	once.Result
	Replayed bool
	memory   *answerMemory
}

// Release gives up the memory of the answer.
func (a *Answer) Release() {
	if a.memory != nil {
		a.memory.release()
	}
}

// Do sends a call to a backend server and returns its response, whose memory counts until it
// is released.
func (s *Dispatcher) Do(ctx context.Context, c *Call) (Answer, error) {
	if c.Service.AtMostOnce {
		return s.doOnceUntilCut(ctx, c)
	}
	return s.doWithin(ctx, c, s.doRetryable)
}

// doWithin runs a call within its time limit.
func (s *Dispatcher) doWithin(ctx context.Context, c *Call, do func(context.Context, *Call) (Answer, error)) (Answer, error) {
	limit := defaultTimeout
	if c.TimeLimit > 0 {
		limit = c.TimeLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := s.clock.Elapsed()
	c.memory = newAnswerMemory(s.settings.Answers)
	a, err := do(ctx, c)
	if err != nil {
		c.memory.release()
	} else {
		a.memory = c.memory
	}
	if err == nil || ctx.Err() != nil { // one that was ended would have taken longer still
		s.slowest.Observe(s.clock.Now(), c.Service.Name, s.clock.Elapsed()-began)
	}
	return a, err
}

// doRetryable sends a call that may be retried on other servers.
func (s *Dispatcher) doRetryable(ctx context.Context, c *Call) (Answer, error) {
	var avoid []string
	ran := once.NotExecuted
	pass := s.beginPass(c)
	defer pass.Close()
	for number := 1; ; number++ {
		if err := s.checkSend(ctx, c); err != nil {
			return Answer{}, fault.FromError(err).Execution(ran)
		}
		if err := pass.Permit(ctx); err != nil {
			return Answer{}, heldFault(err, ran)
		}
		v, release, err := s.balancer.ReserveServer(s.clock.Now(), c.Service.Name, avoid)
		if err != nil {
			pass.Spared(false)
			return Answer{}, noServerFault(c, err).Execution(ran)
		}
		var refusal error
		r, _, err := s.send(pool.WithSendCheck(ctx, func() error {
			refusal = s.checkSend(ctx, c)
			return refusal
		}), c, v, number, s.pool.Do)
		release()
		c.Record.AddStep(s.traceStep(c, v, number, err))
		if err != nil && refusal != nil {
			pass.Spared(false)
			return Answer{}, fault.FromError(refusal).Execution(ran)
		}
		if err == nil {
			pass.Completed()
			s.recordSuccess(v.Name)
			return Answer{Result: r}, nil
		}
		reason := retryReason(err)
		if reason != retry.ReasonDial {
			ran = once.ExecutionUnknown
		}
		s.meter.Count("attempt", "failed", string(reason))
		s.recordFailure(v, reason)
		screenFailure(pass, v.Name, reason, err)
		avoid = append(avoid, v.Name)
		if ctx.Err() != nil {
			return Answer{}, endedFault(ctx, ran)
		}
		if number >= maxAttempts || !s.tryRetry(v.Name, c.IsRetry) {
			s.meter.Count("retry", "refused", string(reason))
			return Answer{}, fault.New(fault.CodeBackendFailed, err.Error()).Execution(ran).RetryAfter(retryAfter)
		}
		s.meter.Count("retry", string(reason))
		s.backOff(ctx, number)
	}
}

// noServerFault returns the fault of a call that no server can take.
func noServerFault(c *Call, err error) *fault.Error {
	if errors.Is(err, picker.ErrIsolated) {
		return fault.New(fault.CodeStale, err.Error()).RetryAfter(retryAfter)
	}
	return fault.New(fault.CodeNoBackend, "no server of "+c.Service.Name+" can take the call: "+err.Error()).RetryAfter(picker.RetryAfter(err, retryAfter))
}

// endedFault returns the fault of a call whose context has ended.
func endedFault(ctx context.Context, ran once.Execution) error {
	if errors.Is(context.Cause(ctx), leave.ErrCut) {
		return fault.New(fault.CodeStopping, leave.ErrCut.Error()).Execution(ran).RetryAfter(retryAfter)
	}
	return fault.New(fault.CodeDeadline, "no answer before the deadline").Execution(ran)
}

// retryReason returns the retry reason of a failed attempt. One that wasn't made, since its
// server wants no requests, is like one that reached no server.
func retryReason(err error) retry.Reason {
	if errors.Is(err, notice.ErrQuiet) || errors.Is(err, notice.ErrLeaving) {
		return retry.ReasonDial
	}
	return pool.RetryReason(err)
}

// beginPass returns the pass of a call, which is the only cause of what it crashes:
// calls of plain services have no parts that others share.
func (s *Dispatcher) beginPass(c *Call) *screen.Pass {
	return s.screen.Begin(c.ID, strike.RequestCause(c.Service.Name+"/"+c.Account+"/"+fingerprint(c)), nil)
}

// screenFailure records what a failed attempt means for a server.
func screenFailure(p *screen.Pass, server string, reason retry.Reason, err error) {
	if reason == retry.ReasonDial || isTooLarge(err) {
		p.Spared(reason != retry.ReasonDial)
		return
	}
	p.Lost(server, false)
}

// isTooLarge reports whether an answer was larger than one may be, or than there was room for.
func isTooLarge(err error) bool {
	return errors.Is(err, body.ErrTooLarge) || errors.Is(err, body.ErrNoRoom)
}

// heldFault returns the refusal of a call that may crash servers, or the error
// itself if it is another one.
func heldFault(err error, ran once.Execution) error {
	var held *screen.HeldError
	if !errors.As(err, &held) {
		return fault.New(fault.CodeDeadline, err.Error()).Execution(ran)
	}
	return fault.New(fault.CodeStrikes, held.Error()).RetryAfter(held.Wait).Execution(ran)
}

func (s *Dispatcher) traceStep(c *Call, v state.Server, number int, err error) trail.Step {
	t := trail.Step{Attempt: attemptID(c, number), At: s.clock.Now(), Server: v.Name, End: "done"}
	if err != nil {
		t.End = err.Error()
	}
	return t
}

func attemptID(c *Call, number int) string {
	return fmt.Sprintf("%s-%d", c.ID, number)
}

// send makes one attempt and reads the whole response. It also reports whether a
// response had begun.
func (s *Dispatcher) send(
	ctx context.Context, c *Call, v state.Server, number int,
	do func(*http.Request) (*http.Response, error),
) (once.Result, bool, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, v.URL+c.Target, bytes.NewReader(c.Body))
	if err != nil {
		return once.Result{}, false, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Attempt", attemptID(c, number))
	if c.Key != "" {
		r.Header.Set("Call-Id", c.Account+"/"+c.Key)
	}
	if c.Type != "" {
		r.Header.Set("Content-Type", c.Type)
	}
	ticket, err := s.balancer.BeginSend(s.clock.Now(), v.Name)
	if err != nil {
		return once.Result{}, false, fmt.Errorf("ask %s: %w", v.Name, err)
	}
	a, err := do(r)
	s.balancer.EndSend(s.clock.Now(), ticket, a)
	if err != nil {
		return once.Result{}, false, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := c.memory.Read(stream.Whole(a), maxAnswerBytes, a.ContentLength, answerCopies)
	if err != nil {
		s.countTooLarge(err)
		return once.Result{}, true, fmt.Errorf("read answer: %w", err)
	}
	return once.Result{Status: a.StatusCode, Type: a.Header.Get("Content-Type"), Body: b}, true, nil
}

// countTooLarge counts an answer that was given up for its size.
func (s *Dispatcher) countTooLarge(err error) {
	switch {
	case errors.Is(err, body.ErrNoRoom):
		s.meter.Count("memory", "answers", "refused")
	case errors.Is(err, body.ErrTooLarge):
		s.meter.Count("answer", "too_large")
	}
}

func (s *Dispatcher) recordFailure(v state.Server, reason retry.Reason) {
	switch reason {
	case retry.ReasonDial:
		s.balancer.AvoidServer(s.clock.Now(), v.Name)
	case retry.ReasonStalled:
		s.pool.Discard(hostOf(v.URL))
	}
}

func (s *Dispatcher) recordSuccess(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.RecordSuccess(name)
}

func (s *Dispatcher) tryRetry(name string, isRetry bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.TryRetry(name, isRetry)
}

func (s *Dispatcher) backOff(ctx context.Context, number int) {
	clock.Sleep(ctx, s.settings.Retry.Backoff(number, rand.Float64()))
}
