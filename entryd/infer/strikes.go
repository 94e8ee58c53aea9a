package infer

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/view"
)

const (
	strikeLife    = 10 * time.Minute
	strikeTimeout = 1500 * time.Millisecond
	clearRoom     = 1024
	provedRoom    = 4096
)

// Strikes shares strikes with the other instances. Where the shared record
// can't be reached, the own record decides, so that a lost control plane
// doesn't keep answers from being resumed.
type Strikes struct {
	keeper proto.Keeper
	meter  *meter.Registry
	limit  int
	clears chan string

	mutex  sync.Mutex
	table  *strike.Table
	proved *strike.Proved
}

// NewStrikes returns an empty record.
func NewStrikes(k proto.Keeper, m *meter.Registry, limit int) *Strikes {
	return &Strikes{
		keeper: k,
		meter:  m,
		limit:  limit,
		clears: make(chan string, clearRoom),
		table:  strike.NewTable(limit, strikeLife),
		proved: strike.NewProved(provedRoom),
	}
}

// Judge tells what a request may do now, and until when.
func (s *Strikes) Judge(now time.Time, fingerprint string, v *view.Snapshot) (strike.Verdict, time.Time) {
	shared, known := v.Strike(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Judge(now, fingerprint, shared, known)
}

// Proved reports whether an equal request succeeded here not long ago.
func (s *Strikes) Proved(fingerprint string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proved.Has(fingerprint)
}

// Succeeded remembers that a request succeeded.
func (s *Strikes) Succeeded(fingerprint string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proved.Add(fingerprint)
}

// Lost records that an engine was lost with the request aboard.
func (s *Strikes) Lost(ctx context.Context, now time.Time, fingerprint, engine string) {
	s.meter.Count("strike", "lost")
	s.record(ctx, now, fingerprint, engine)
}

// Pledge records engines before a suspect goes to them, and reports whether
// the suspect may go. Pledges that the suspect didn't use don't count.
func (s *Strikes) Pledge(ctx context.Context, now time.Time, fingerprint string, unused []string, engines ...string) bool {
	s.meter.Count("strike", "pledge")
	own, shared := s.record(ctx, now, fingerprint, strike.Pledge(engines...))
	return strike.Allowed(without(own, unused), s.limit) && strike.Allowed(without(shared, unused), s.limit)
}

func without(list, drop []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(drop, name) })
}

func (s *Strikes) record(ctx context.Context, now time.Time, fingerprint, engine string) (own, shared []string) {
	s.mutex.Lock()
	s.proved.Forget(fingerprint)
	own = s.table.Add(now, fingerprint, engine)
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, strikeTimeout)
	defer cancel()
	r, err := s.keeper.Strike(ctx, proto.StrikeRequest{Fingerprint: fingerprint, Engine: engine})
	if err != nil {
		s.meter.Count("strike", "own_record")
		return own, nil
	}
	return own, r.Engines
}

// Clear forgets the strikes of a request that succeeded.
func (s *Strikes) Clear(fingerprint string) {
	s.mutex.Lock()
	s.table.Clear(fingerprint)
	s.mutex.Unlock()
	select {
	case s.clears <- fingerprint:
	default:
		// The shared record runs out by itself.
		s.meter.Count("strike", "clear_dropped")
	}
}

// Run sends the shared record's clears until ctx ends.
func (s *Strikes) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.clears:
			try, cancel := context.WithTimeout(ctx, strikeTimeout)
			_, err := s.keeper.Strike(try, proto.StrikeRequest{Fingerprint: f, Clear: true})
			cancel()
			if err != nil {
				s.meter.Count("strike", "clear_failed")
				klog.V(1).InfoS("strikes not cleared", "fingerprint", f, "err", err)
			}
		}
	}
}
