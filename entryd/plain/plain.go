// Package plain carries calls to plain services. Calls of services that must
// not be repeated go through the run-once ledger.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/guide"
	"verbenahaven.example/entryd/trail"
)

const (
	maxAttempts  = 4
	maxAnswer    = 8 << 20
	callLimit    = 30 * time.Second // without any deadline
	backendRetry = 500 * time.Millisecond
)

var errAnswer = errors.New("answer too large")

// Settings shape how calls are carried.
type Settings struct {
	Holder string // name and start of this instance
	Retry  retry.Policy
}

// Server carries calls to plain services.
type Server struct {
	settings Settings
	guide    *guide.Guide
	pool     *pool.Pool
	keeper   proto.Keeper
	meter    *meter.Registry
	clock    clock.Clock
	group    sync.WaitGroup

	mutex   sync.Mutex
	budgets *retry.Budgets
}

// New returns a server. The clean-up waits for outcomes that are still being
// recorded.
func New(s Settings, g *guide.Guide, p *pool.Pool, k proto.Keeper, m *meter.Registry, c clock.Clock) (*Server, func()) {
	v := &Server{settings: s, guide: g, pool: p, keeper: k, meter: m, clock: c, budgets: retry.NewBudgets(s.Retry)}
	return v, v.group.Wait
}

// Call is one call of a plain service.
type Call struct {
	ID       string
	Account  string
	Service  state.Service
	Key      string // idempotency key
	Method   string
	Target   string // path and query at the server
	Type     string // content type of the body
	Body     []byte
	Left     time.Duration // 0 for no bound
	Repeated bool
	Record   *trail.Record
}

// Answer is the answer of a backend server.
type Answer struct {
	once.Result
	Replayed bool
}

// Do carries a call.
func (s *Server) Do(ctx context.Context, c *Call) (Answer, error) {
	limit := callLimit
	if c.Left > 0 {
		limit = c.Left
	}
	if c.Service.Once {
		// The outcome must be recorded also when the caller goes away.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		return s.once(ctx, c)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.plain(ctx, c)
}

// plain carries a call that may be repeated.
func (s *Server) plain(ctx context.Context, c *Call) (Answer, error) {
	var avoid []string
	for number := 1; ; number++ {
		v, back, err := s.guide.Server(s.clock.Now(), c.Service.Name, avoid)
		if errors.Is(err, guide.ErrStale) {
			return Answer{}, fault.New(fault.CodeStale, err.Error()).Retry(backendRetry)
		}
		if err != nil {
			return Answer{}, fault.New(fault.CodeBackend, "no server of "+c.Service.Name+" is serving").Retry(backendRetry)
		}
		r, _, err := s.send(ctx, c, v, number, s.pool.Do)
		back()
		c.Record.Stepped(s.step(c, v, number, err))
		if err == nil {
			s.success(v.Name)
			return Answer{Result: r}, nil
		}
		reason := pool.Reason(err)
		s.meter.Count("attempt", "failed", string(reason))
		s.failed(v, reason)
		avoid = append(avoid, v.Name)
		if ctx.Err() != nil {
			return Answer{}, fault.New(fault.CodeDeadline, "no answer before the deadline").Ran(once.RanUnknown)
		}
		if number >= maxAttempts || !s.spend(v.Name, c.Repeated) {
			s.meter.Count("retry", "refused", string(reason))
			return Answer{}, fault.New(fault.CodeBroken, err.Error()).Ran(once.RanUnknown).Retry(backendRetry)
		}
		s.meter.Count("retry", string(reason))
		s.pause(ctx, number)
	}
}

func (s *Server) step(c *Call, v state.Server, number int, err error) trail.Step {
	t := trail.Step{Attempt: attempt(c, number), At: s.clock.Now(), Server: v.Name, End: "done"}
	if err != nil {
		t.End = err.Error()
	}
	return t
}

func attempt(c *Call, number int) string {
	return fmt.Sprintf("%s-%d", c.ID, number)
}

// send makes one attempt and reads the whole answer.
func (s *Server) send(
	ctx context.Context, c *Call, v state.Server, number int,
	do func(*http.Request) (*http.Response, error),
) (once.Result, bool, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, v.URL+c.Target, bytes.NewReader(c.Body))
	if err != nil {
		return once.Result{}, false, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Attempt", attempt(c, number))
	if c.Key != "" {
		r.Header.Set("Call-Id", c.Account+"/"+c.Key)
	}
	if c.Type != "" {
		r.Header.Set("Content-Type", c.Type)
	}
	a, err := do(r)
	if err != nil {
		return once.Result{}, false, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return once.Result{}, true, fmt.Errorf("read answer: %w", err)
	}
	if len(b) > maxAnswer {
		return once.Result{}, true, errAnswer
	}
	return once.Result{Status: a.StatusCode, Type: a.Header.Get("Content-Type"), Body: b}, true, nil
}

func (s *Server) failed(v state.Server, reason retry.Reason) {
	switch reason {
	case retry.ReasonDial:
		s.guide.Failed(s.clock.Now(), v.Name)
	case retry.ReasonSilent:
		s.pool.Discard(host(v.URL))
	}
}

func (s *Server) success(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budgets.Success(name)
}

func (s *Server) spend(name string, repeated bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.Spend(name, repeated)
}

func (s *Server) pause(ctx context.Context, number int) {
	clock.Sleep(ctx, s.settings.Retry.Wait(number, rand.Float64()))
}
