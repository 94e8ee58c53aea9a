// Package screen holds back requests that may crash the engines that begin an
// answer to them. Requests of that kind may have nothing in common but a part of
// their prompts, so the parts are suspected as well as the request itself.
//
// An engine that is lost while it begins an answer is a loss of all parts of its
// prompt; a completed answer clears them. Attempts of a suspected request need a
// permission of the keepers (state.State.Screen), which bounds what a cause can
// cost however many instances send such requests. An instance that reaches no
// keeper keeps to the same bound by its own record.
package screen

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

const (
	// recentCompletion is the age of a completed answer below which its parts
	// don't count as lost: a part that crashes engines completes none.
	recentCompletion = time.Second
	// completionCapacity is the least number of parts, and of requests, remembered.
	completionCapacity = 4096
	// askTimeout bounds the question for a permission, and recordTimeout other
	// changes of the record.
	askTimeout    = 250 * time.Millisecond
	recordTimeout = 1500 * time.Millisecond
	// skipTime is how long keepers that gave no permission aren't asked.
	skipTime = time.Second
	// trialWait is how long a request waits for the trial of another one. A trial
	// that goes well ends sooner.
	trialWait = 300 * time.Millisecond
	// clearInterval is the least time between two reports that clear a cause.
	clearInterval = 200 * time.Millisecond
	queueSize     = 4096
	// queueWorkers is the number of reports sent in parallel: each waits for a
	// quorum.
	queueWorkers = 4
)

// Snapshots gives the current version of the state.
type Snapshots interface {
	Snapshot() *view.Snapshot
}

// Screen decides which requests are sent. It is safe for concurrent use.
type Screen struct {
	keeper    proto.Keeper
	snapshots Snapshots
	meter     *meter.Registry
	log       *slog.Logger
	clock     clock.Clock
	reports   chan state.Screening

	mutex     sync.Mutex
	own       map[string]*ownRecord // by cause
	completed *strike.Completions   // of parts
	answered  *strike.Completions   // of requests, apart since these would push out the parts
	cleared   map[string]time.Time  // causes reported as cleared lately
	skipUntil time.Time             // keepers aren't asked before
}

// ownRecord holds the losses and trials of a cause on this instance while those of
// the keepers may lack them.
type ownRecord struct {
	state.Strike

	recorded uint64 // version of the state that has the losses, 0 while they aren't reported
}

// New returns a screen that knows no losses.
func New(k proto.Keeper, s Snapshots, m *meter.Registry, l *slog.Logger, c clock.Clock) *Screen {
	return &Screen{
		keeper: k, snapshots: s, meter: m, log: l, clock: c, reports: make(chan state.Screening, queueSize),
		own: make(map[string]*ownRecord), completed: strike.NewCompletions(completionCapacity), answered: strike.NewCompletions(completionCapacity),
		cleared: make(map[string]time.Time),
	}
}

// HeldError is the refusal of an attempt. It hasn't been sent.
type HeldError struct {
	Cause string
	Wait  time.Duration // until it may be worth trying again
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("engines were lost while they began answers to requests like this one (%s)", e.Cause)
}

// Run sends reports to the keepers until ctx ends.
func (s *Screen) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for range queueWorkers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case r := <-s.reports:
					s.send(ctx, r)
				}
			}
		})
	}
}

// send sends a report to the keepers.
func (s *Screen) send(ctx context.Context, r state.Screening) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	p, err := s.keeper.Screen(ctx, r)
	if err != nil {
		s.meter.Count("screen", "not_recorded")
		s.log.Warn("losses not recorded", "loss", r.Loss, "clear", r.Clear, "trial", r.Trial, "err", err)
		return
	}
	s.setRecorded(r.Loss, p.Version)
}

// setRecorded sets the version of the state that has a loss of this instance.
func (s *Screen) setRecorded(l *state.Loss, version uint64) {
	if l == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range l.Causes {
		if v := s.own[c.Name]; v != nil {
			v.recorded = version
		}
	}
}

// report queues a report, or drops and counts it if the queue is full.
func (s *Screen) report(r state.Screening) {
	select {
	case s.reports <- r:
	default:
		s.meter.Count("screen", "dropped")
	}
}

// causesOf returns the causes of a request: the parts of its prompt, and itself
// unless it is empty.
func causesOf(request string, parts []string) []string {
	if request == "" {
		return parts
	}
	return append(slices.Clip(parts), request)
}

// find returns what is known of a cause, here and from the keepers: the record
// with more losses. The caller holds the mutex.
func (s *Screen) find(now time.Time, snapshot *view.Snapshot, cause string) (state.Strike, bool) {
	own := s.own[cause]
	if own != nil && (!now.Before(own.ExpiresAt) || own.recorded > 0 && own.recorded <= snapshot.Version()) {
		delete(s.own, cause)
		own = nil
	}
	shared, found := snapshot.Strike(cause)
	if own != nil && (!found || len(own.LostEngines) > len(shared.LostEngines)) {
		return own.Strike, true
	}
	return shared, found
}

// suspected returns the causes with losses that no answer has refuted since, and
// the number of their losses. The caller holds the mutex.
func (s *Screen) suspected(now time.Time, snapshot *view.Snapshot, causes []string) (list []string, losses int) {
	for _, cause := range causes {
		v, found := s.find(now, snapshot, cause)
		if !found || len(v.LostEngines) == 0 {
			continue
		}
		if s.completedLately(now, cause) {
			s.clear(now, []string{cause})
			continue
		}
		list, losses = append(list, cause), losses+len(v.LostEngines)
	}
	return list, losses
}

// lastCompletion returns when an answer to a request with a cause was last completed
// here. The caller holds the mutex.
func (s *Screen) lastCompletion(cause string) (time.Time, bool) {
	if at, found := s.completed.Last(cause); found {
		return at, true
	}
	return s.answered.Last(cause)
}

// completedLately reports whether an answer to a request with a cause was completed
// here so lately that it can't be the cause of a loss. The caller holds the mutex.
func (s *Screen) completedLately(now time.Time, cause string) bool {
	at, found := s.lastCompletion(cause)
	return found && now.Sub(at) < recentCompletion
}

// clear removes causes from the records, at most every clearInterval. The caller
// holds the mutex.
func (s *Screen) clear(now time.Time, causes []string) {
	var due []string
	for _, cause := range causes {
		delete(s.own, cause)
		if now.Sub(s.cleared[cause]) >= clearInterval {
			s.cleared[cause] = now
			due = append(due, cause)
		}
	}
	if len(s.cleared) > completionCapacity {
		clear(s.cleared)
	}
	if len(due) > 0 {
		s.meter.Count("screen", "cleared")
		s.report(state.Screening{Clear: due})
	}
}

// ask asks the keepers for a permission. If none answers, this instance's own
// record decides.
func (s *Screen) ask(ctx context.Context, r state.Screening) state.Permission {
	now := s.clock.Now()
	s.mutex.Lock()
	skip := now.Before(s.skipUntil)
	s.mutex.Unlock()
	if !skip {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		p, err := s.keeper.Screen(askCtx, r)
		cancel()
		if err == nil {
			s.setRecorded(r.Loss, p.Version)
			return p
		}
		s.meter.Count("screen", "own_record")
		s.log.Warn("no permission from the keepers, deciding here", "trial", r.Trial, "causes", r.Causes, "err", err)
	}
	if r.Loss != nil {
		s.report(state.Screening{Loss: r.Loss})
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !skip && ctx.Err() == nil {
		s.skipUntil = s.clock.Now().Add(skipTime)
	}
	return s.decide(now, r)
}

// decide decides on a trial by what is known here. The caller holds the mutex.
func (s *Screen) decide(now time.Time, r state.Screening) state.Permission {
	snapshot := s.snapshots.Snapshot()
	records := make(map[string]*state.Strike, len(r.Causes))
	for _, cause := range r.Causes {
		v, found := s.find(now, snapshot, cause)
		if !found {
			continue
		}
		if own := s.own[cause]; own != nil {
			v.Trials = own.Trials
		}
		if wait, allowed := v.MayTry(now, r.Trial, func() bool { return s.isTest(v, snapshot, r.Causes) }); !allowed {
			return state.Permission{Cause: cause, Wait: wait}
		}
		records[cause] = &v
	}
	for cause, v := range records {
		v.AddTrial(now, r.Trial, r.Left)
		s.own[cause] = &ownRecord{Strike: *v}
	}
	return state.Permission{Allowed: true}
}

// isTest reports whether a request with these causes would tell one of them apart
// from others. The caller holds the mutex.
func (s *Screen) isTest(v state.Strike, snapshot *view.Snapshot, causes []string) bool {
	return state.IsTest(v, causes, func(yield func(state.Strike) bool) {
		for _, own := range s.own {
			if !yield(own.Strike) {
				return
			}
		}
		snapshot.Strikes()(yield)
	})
}

// recordLoss adds a loss to this instance's own record.
func (s *Screen) recordLoss(now time.Time, l *state.Loss) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.own) > completionCapacity {
		for cause, v := range s.own {
			if !now.Before(v.ExpiresAt) {
				delete(s.own, cause)
			}
		}
	}
	for _, c := range l.Causes {
		v := s.own[c.Name]
		if v == nil {
			v = &ownRecord{Strike: state.Strike{Fingerprint: c.Name}}
			s.own[c.Name] = v
		}
		v.recorded = 0
		v.AddLoss(now, c, l.Engine, l.Trial)
	}
}

// lossOf returns the loss of an engine with the causes of a request that may have
// caused it: the request itself, or parts of its prompt.
func (s *Screen) lossOf(now time.Time, request string, parts []string, engine, trial string) *state.Loss {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := &state.Loss{Engine: engine, Trial: trial}
	for _, cause := range causesOf(request, parts) {
		if s.completedLately(now, cause) {
			continue
		}
		_, proven := s.lastCompletion(cause)
		l.Causes = append(l.Causes, state.Cause{Name: cause, Proven: proven, Part: cause != request})
	}
	return l
}

// recordCompletion records a completed answer, which clears the causes of its
// request.
func (s *Screen) recordCompletion(now time.Time, request string, parts []string) {
	snapshot := s.snapshots.Snapshot()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var suspected []string
	for _, cause := range causesOf(request, parts) {
		if _, found := s.find(now, snapshot, cause); found {
			suspected = append(suspected, cause)
		}
	}
	for _, part := range parts {
		s.completed.Add(now, part)
	}
	if request != "" {
		s.answered.Add(now, request)
	}
	if len(suspected) > 0 {
		s.clear(now, suspected)
	}
}
