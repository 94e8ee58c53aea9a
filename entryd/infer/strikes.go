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
	// strikeTTL is how long a strike counts after the last one for the request.
	strikeTTL = 10 * time.Minute
	// keeperTimeout bounds a request to the shared record.
	keeperTimeout  = 1500 * time.Millisecond
	clearQueueSize = 1024
	// succeededCapacity is the least number of recent successes remembered, as
	// fingerprints.
	succeededCapacity = 4096
)

// Strikes counts the engines lost while they ran a request, by its fingerprint,
// so that a request which crashes engines is refused. A pledge names an engine
// that such a suspect request is about to be sent to, and counts until it
// succeeds. Strikes and pledges are shared with the other instances; if the
// shared record can't be reached, the local one decides, so that answers can
// still be resumed without a control plane.
type Strikes struct {
	keeper        proto.Keeper
	meter         *meter.Registry
	limit         int         // engines that may be lost while running one request
	pendingClears chan string // fingerprints to be cleared in the shared record

	mutex     sync.Mutex
	local     *strike.Table           // record of this instance
	succeeded *strike.RecentSuccesses // recent successes
}

// NewStrikes returns an empty record that refuses a request after limit lost
// engines.
func NewStrikes(keeper proto.Keeper, meter *meter.Registry, limit int) *Strikes {
	return &Strikes{
		keeper:        keeper,
		meter:         meter,
		limit:         limit,
		pendingClears: make(chan string, clearQueueSize),
		local:         strike.NewTable(limit, strikeTTL),
		succeeded:     strike.NewRecentSuccesses(succeededCapacity),
	}
}

// Verdict returns whether a request may run now, and until when this holds.
func (s *Strikes) Verdict(now time.Time, fingerprint string, snapshot *view.Snapshot) (strike.Verdict, time.Time) {
	shared, known := snapshot.Strike(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.local.Evaluate(now, fingerprint, shared, known)
}

// RecentlySucceeded reports whether an equal request succeeded recently on this
// instance.
func (s *Strikes) RecentlySucceeded(fingerprint string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.succeeded.Contains(fingerprint)
}

// RecordSuccess records that a request succeeded.
func (s *Strikes) RecordSuccess(fingerprint string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.succeeded.Add(fingerprint)
}

// RecordLoss records that an engine was lost while it ran the request.
func (s *Strikes) RecordLoss(ctx context.Context, now time.Time, fingerprint, engine string) {
	s.meter.Count("strike", "lost")
	s.record(ctx, now, fingerprint, engine)
}

// Pledge records engines before a suspect request is sent to them, and reports
// whether it may be sent. Pledges that the request didn't use don't count.
func (s *Strikes) Pledge(ctx context.Context, now time.Time, fingerprint string, unused []string, engines ...string) bool {
	s.meter.Count("strike", "pledge")
	local, shared := s.record(ctx, now, fingerprint, strike.Pledge(engines...))
	return strike.Allowed(exclude(local, unused), s.limit) && strike.Allowed(exclude(shared, unused), s.limit)
}

// WithstandsLoss reports whether a request may run on after the loss of one more
// engine.
func (s *Strikes) WithstandsLoss(now time.Time, fingerprint, engine string, snapshot *view.Snapshot) bool {
	shared, _ := snapshot.Strike(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, engines := range [][]string{s.local.Engines(now, fingerprint), shared.LostEngines} {
		if lost, _ := strike.Count(append(exclude(engines, []string{engine}), engine)); lost >= s.limit {
			return false
		}
	}
	return true
}

// exclude returns a copy of list without the excluded names.
func exclude(list, excluded []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(excluded, name) })
}

// record adds a lost or pledged engine to the local and the shared record of a
// request, and returns all engines of both. Without an answer from the shared
// record it returns none for that.
func (s *Strikes) record(ctx context.Context, now time.Time, fingerprint, engine string) (local, shared []string) {
	s.mutex.Lock()
	s.succeeded.Remove(fingerprint)
	local = s.local.Add(now, fingerprint, engine)
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	reply, err := s.keeper.Strike(ctx, proto.StrikeRequest{Fingerprint: fingerprint, Engine: engine})
	if err != nil {
		s.meter.Count("strike", "own_record")
		return local, nil
	}
	return local, reply.Engines
}

// Clear removes the strikes of a request that succeeded. The shared record
// follows in Run.
func (s *Strikes) Clear(fingerprint string) {
	s.mutex.Lock()
	s.local.Clear(fingerprint)
	s.mutex.Unlock()
	select {
	case s.pendingClears <- fingerprint:
	default:
		// The shared record expires on its own.
		s.meter.Count("strike", "clear_dropped")
	}
}

// Run clears strikes in the shared record until ctx ends.
func (s *Strikes) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fingerprint := <-s.pendingClears:
			callCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
			_, err := s.keeper.Strike(callCtx, proto.StrikeRequest{Fingerprint: fingerprint, Clear: true})
			cancel()
			if err != nil {
				s.meter.Count("strike", "clear_failed")
				klog.V(1).InfoS("strikes not cleared", "fingerprint", fingerprint, "err", err)
			}
		}
	}
}
