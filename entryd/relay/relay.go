// Package relay passes opaque requests on to backend servers: it matches them
// to routes, chooses where they run, bounds how often, and gives the caller
// one whole answer or a truthful refusal.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/kept"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/infer"
)

const (
	// startRetry is when to come back to an instance that has just started.
	startRetry = 500 * time.Millisecond
	// roomRetry is when to come back after the backend servers had no room.
	roomRetry = 300 * time.Millisecond
	// strikeRetry is when to come back with a request that cost engines.
	strikeRetry = 10 * time.Second
	// headerOverhead is what a header field takes besides its name and value.
	headerOverhead = 4
	// bodyTime bounds the reading of a body where the routing table sets none.
	bodyTime = 10 * time.Second
	// maxBody bounds a body where the routing table sets no limit, in bytes.
	maxBody = 8 << 20
	// callTime bounds a call without a time of its own and without a timeout.
	callTime = time.Minute
	// maxTries bounds the sends of one call, refused ones included.
	maxTries = 4
)

// Relay serves callers.
type Relay struct {
	codec   server.Codec
	pool    *kept.Pool
	fleet   *Fleet
	strikes *infer.Strikes
	meter   *meter.Registry
	log     *slog.Logger
	clock   clock.Clock
	losses  chan loss
	leaving func() (left time.Duration, on bool)
}

// New returns a relay. Leaving tells whether the instance shuts down, and when
// it cuts what still runs.
func New(
	c server.Codec, p *kept.Pool, f *Fleet, k *infer.Strikes, m *meter.Registry, l *slog.Logger, t clock.Clock, leaving func() (left time.Duration, on bool),
) *Relay {
	return &Relay{
		codec: c, pool: p, fleet: f, strikes: k, meter: m, log: l, clock: t, losses: make(chan loss, lossRing), leaving: leaving,
	}
}

// flight is one call on its way.
type flight struct {
	*Relay
	w        http.ResponseWriter
	call     *server.Call
	snapshot *view.Snapshot
	route    state.Route
	target   state.Pool
	began    time.Time
	until    time.Time
	tries    int      // sends to backend servers, refused ones included
	ran      []string // backend servers that may have run it
	avoid    []string // backend servers that failed it
	print    string   // fingerprint

	prefillTook time.Duration // by an engine of its own
	firstAfter  time.Duration // from the start to the first event
	why         []any         // inputs of the decision to admit, for the log
}

// ServeHTTP implements http.Handler.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := s.clock.Now()
	if _, on := s.leaving(); on {
		w.Header().Set("Connection", "close")
	}
	call, err := s.codec.Read(r)
	if err != nil {
		s.refuse(w, "", server.Refusal{Kind: server.RefuseBad, Text: err.Error()}, began)
		return
	}
	snapshot, end := s.fleet.Begin()
	defer end()
	f := &flight{Relay: s, w: w, call: call, snapshot: snapshot, began: began}
	table := snapshot.Routing()
	if table == nil {
		f.refuse(server.Refusal{Kind: server.RefuseNotRun, Retry: startRetry, Text: "no routing table is known yet"})
		return
	}
	if refusal := f.read(r, table.Limits); refusal != nil {
		f.refuse(*refusal)
		return
	}
	var found bool
	if f.route, found = table.Match(hostname(call.Host), call.Path); !found {
		f.refuse(server.Refusal{Kind: server.RefuseRoute, Text: "no route for this host and path"})
		return
	}
	name := f.route.Choose(xxhash.Sum64String(call.ID))
	f.target, _ = table.Pool(name)
	f.print = f.fingerprint()
	if verdict, _ := s.strikes.Judge(began, f.print, snapshot); verdict == strike.Out {
		f.refuse(server.Refusal{Kind: server.RefuseNotRun, Retry: strikeRetry, Text: "engines were lost while they ran this request"})
		return
	}
	f.carry(r.Context())
}

// carry passes a call on within its time.
func (f *flight) carry(ctx context.Context) {
	limit := callTime
	if f.route.Timeout > 0 {
		limit = f.route.Timeout
	}
	if f.call.Left > 0 {
		limit = min(limit, f.call.Left)
	}
	f.until = f.began.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, f.until)
	defer cancel()
	f.fleet.request(f.clock.Elapsed(), f.target.Name)
	if f.target.Spec != nil && f.call.Prompt != nil {
		f.generate(ctx)
		return
	}
	f.plain(ctx)
}

// read takes the body and checks the limits of the routing table.
func (f *flight) read(r *http.Request, l state.Limits) *server.Refusal {
	if l.Header > 0 && headerSize(r) > l.Header {
		return &server.Refusal{Kind: server.RefuseHeader, Text: fmt.Sprintf("the header is larger than %d bytes", l.Header)}
	}
	most := int64(maxBody)
	if l.Body > 0 {
		most = l.Body
	}
	if r.ContentLength == 0 {
		return nil
	}
	patience := bodyTime
	if l.Idle > 0 {
		patience = l.Idle
	}
	control := http.NewResponseController(f.w)
	if err := control.SetReadDeadline(f.began.Add(patience)); err != nil {
		f.meter.Count("front", "no_read_deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(f.w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &server.Refusal{Kind: server.RefuseBody, Text: fmt.Sprintf("the body is larger than %d bytes", most)}
	case err != nil:
		return &server.Refusal{Kind: server.RefuseBad, Text: "the body was cut short"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		f.meter.Count("front", "no_read_deadline")
	}
	f.call.Body = body
	return nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerOverhead
		}
	}
	return n
}

// hostname is a host without its port, in lower case.
func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// fingerprint is the same for a request that comes again.
func (f *flight) fingerprint() string {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{f.call.Method, f.call.Host, f.call.Target} {
		_, _ = d.WriteString(text) // a digest takes all
		_, _ = d.WriteString("\n")
	}
	_, _ = d.Write(f.call.Body)
	return strconv.FormatUint(d.Sum64(), 16)
}

func (f *flight) left() time.Duration {
	return f.until.Sub(f.clock.Now())
}

// refuse ends the call and logs why.
func (f *flight) refuse(r server.Refusal) {
	f.Relay.refuse(f.w, f.call.ID, r, f.began, append([]any{
		"route", f.route.Name, "table", f.number(), "pool", f.target.Name, "tries", f.tries, "ran", f.ran,
	}, f.why...)...)
}

func (f *flight) number() uint64 {
	if t := f.snapshot.Routing(); t != nil {
		return t.Number
	}
	return 0
}

func (s *Relay) refuse(w http.ResponseWriter, id string, r server.Refusal, began time.Time, more ...any) {
	s.meter.Count("refused", string(r.Kind))
	s.log.Info("refused", append([]any{
		"request", id, "kind", r.Kind, "reason", r.Text, "retry_ms", r.Retry.Milliseconds(), "ms", s.clock.Now().Sub(began).Milliseconds(),
	}, more...)...)
	s.codec.Refuse(w, r)
}

// giveUp ends a call that no backend server answered.
func (f *flight) giveUp(ctx context.Context, reason string, retry time.Duration) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		f.meter.Count("caller", "left")
		f.log.Info("caller left", "request", f.call.ID, "route", f.route.Name, "tries", f.tries, "ran", f.ran, "ms", f.spent())
	case len(f.ran) == 0:
		f.refuse(server.Refusal{Kind: server.RefuseNotRun, Retry: retry, Text: reason})
	case ctx.Err() != nil:
		f.refuse(server.Refusal{Kind: server.RefuseLate, Text: reason})
	default:
		f.refuse(server.Refusal{Kind: server.RefuseUnknown, Text: reason})
	}
}

func (f *flight) spent() int64 {
	return f.clock.Now().Sub(f.began).Milliseconds()
}

// again tells whether the call may be sent once more.
func (f *flight) again(ctx context.Context, repeatable bool) bool {
	switch {
	case ctx.Err() != nil, f.tries >= maxTries:
		return false
	case len(f.ran) > 0 && (!repeatable || len(f.ran) >= max(1, f.route.Attempts)):
		return false
	case !f.fleet.spend(f.clock.Elapsed(), f.target.Name):
		f.meter.Count("retry", "refused", "budget")
		return false
	}
	f.meter.Count("retry", "spent")
	return true
}

// failed notes a failed exchange with a backend server.
func (f *flight) failed(ctx context.Context, name, address string, err error) {
	f.avoid = append(f.avoid, name)
	sent := kept.Sent(err)
	f.log.Info("exchange failed", "request", f.call.ID, "server", name, "sent", sent, "err", err.Error(), "ms", f.spent())
	f.meter.Count("exchange", "failed")
	if ctx.Err() != nil {
		return
	}
	f.fleet.lost(f.clock.Now(), name)
	f.pool.Discard(address)
	if sent {
		f.strike(name)
	}
}

const (
	lossRing = 1024
	// lossWorkers record losses at once; each waits for a quorum.
	lossWorkers = 4
)

// loss is a backend server that was lost with a request aboard.
type loss struct {
	print, server string
}

func (f *flight) strike(name string) {
	select {
	case f.losses <- loss{f.print, name}:
	default:
		f.meter.Count("strike", "dropped")
	}
}

// Run records losses until ctx ends.
func (s *Relay) Run(ctx context.Context) {
	done := make(chan struct{})
	for range lossWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-ctx.Done():
					return
				case l := <-s.losses:
					s.strikes.Lost(ctx, s.clock.Now(), l.print, l.server)
				}
			}
		}()
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for ended := 0; ended < lossWorkers; {
		select {
		case <-done:
			ended++
		case now := <-ticker.C:
			s.pool.Sweep(now)
		}
	}
}
