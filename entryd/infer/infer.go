// Package infer serves completions: it carries one request to its engines and
// gives the caller one whole answer, whatever happens to an engine on the way.
package infer

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/guide"
	"verbenahaven.example/entryd/trail"
)

// Settings shape how answers are made whole.
type Settings struct {
	Silence time.Duration
	Retry   retry.Policy
}

// Server carries completions.
type Server struct {
	settings Settings
	guide    *guide.Guide
	pool     *pool.Pool
	strikes  *Strikes
	meter    *meter.Registry
	clock    clock.Clock
	cancels  chan cancel

	mutex   sync.Mutex
	budgets *retry.Budgets
	gaps    map[string]*admit.Gap // by service
}

type cancel struct {
	url     string
	attempt string
}

const cancelRoom = 1024

// New returns a server.
func New(
	s Settings, g *guide.Guide, p *pool.Pool, k *Strikes, m *meter.Registry, c clock.Clock,
) *Server {
	return &Server{
		settings: s,
		guide:    g,
		pool:     p,
		strikes:  k,
		meter:    m,
		clock:    c,
		cancels:  make(chan cancel, cancelRoom),
		budgets:  retry.NewBudgets(s.Retry),
		gaps:     make(map[string]*admit.Gap),
	}
}

// Call is one completion that a caller asked for.
type Call struct {
	ID          string
	Service     state.Service
	Request     engine.Request // public part, with the model resolved
	Path        string         // engine.PathChat or engine.PathComplete
	Fingerprint string
	Limit       time.Duration // until the first token is due; 0 for none
	Left        time.Duration // until the whole answer is due; 0 for none
	Repeated    bool          // the caller says that this is a retry
	Record      *trail.Record
}

// Sink takes the tokens of an answer.
type Sink interface {
	// Token passes on an event. It is flushed if no other waits.
	Token(e *engine.Event, more bool) error
	// End passes on the end mark.
	End() error
}

// Run sends the cancels of attempts that were given up, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancels:
			s.sendCancel(ctx, c)
		}
	}
}

func (s *Server) sendCancel(ctx context.Context, c cancel) {
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
	drain(a.Body)
}

func (s *Server) giveUp(url, attempt string) {
	select {
	case s.cancels <- cancel{url: url, attempt: attempt}:
	default:
		s.meter.Count("cancel", "dropped")
	}
}

// margin is what the expected time to a service's first token falls short.
func (s *Server) margin(service string, limit time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gaps[service]
	if g == nil {
		return 0
	}
	return g.Margin(s.clock.Now(), limit)
}

func (s *Server) learn(service string, expected, actual time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gaps[service]
	if g == nil {
		g = &admit.Gap{}
		s.gaps[service] = g
	}
	g.Learn(s.clock.Now(), expected, actual)
}

func (s *Server) success(names ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range names {
		if name != "" {
			s.budgets.Success(name)
		}
	}
}

func (s *Server) spend(name string, repeated bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budgets.Spend(name, repeated)
}

func (s *Server) wait(ctx context.Context, number int) error {
	return s.sleep(ctx, s.settings.Retry.Wait(number, rand.Float64()))
}

func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx) //nolint:wrapcheck // the cause says it all
	case <-t.C:
		return nil
	}
}

// alive asks an engine over a new connection whether it still runs.
func (s *Server) alive(ctx context.Context, url string) bool {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+engine.PathState, http.NoBody)
	if err != nil {
		return false
	}
	a, _, err := s.pool.Fresh(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	drain(a.Body)
	return a.StatusCode == http.StatusOK
}
