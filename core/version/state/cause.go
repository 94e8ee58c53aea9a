package state

import (
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// lossLimit is the number of engines that a cause may cost before its trials
	// are spaced out.
	lossLimit = 3
	// testLimit is the number of engines that a cause may cost while requests are
	// tried to tell it apart from others.
	testLimit = 5
	// provenDelay is the delay of the first trial after lossLimit engines of a
	// cause that is known from complete answers, since it is more likely a victim
	// of other losses. It grows by delayFactor with each further loss; for a part
	// it becomes trialDelay after provenLimit losses.
	provenDelay = time.Second
	provenLimit = 5
	// trialDelay is the delay of the first trial after the last engine that may
	// be lost; it grows by delayFactor with each further loss, up to
	// maxTrialDelay.
	trialDelay    = time.Minute
	delayFactor   = 4
	maxTrialDelay = time.Hour
	// trialSlack is how long after its deadline a trial counts whose end was never
	// heard of, and maxTrialTime bounds the time until its deadline.
	trialSlack   = time.Second
	maxTrialTime = time.Minute
	// maxLostEngines bounds the lost engines that are kept for a cause.
	maxLostEngines = 32
	// trialPoll is when to ask again while a trial runs.
	trialPoll = 50 * time.Millisecond
)

// Cause is something that may crash the engines that begin an answer to a request
// which has it: the request itself, or a part of its prompt.
type Cause struct {
	Name   string `cbor:"1,keyasint"`
	Proven bool   `cbor:"2,keyasint,omitempty"` // answers to requests with it were completed before
	Part   bool   `cbor:"3,keyasint,omitempty"` // it is a part of prompts, not one request
}

// Loss reports that an engine was lost while it began an answer.
type Loss struct {
	Causes []Cause `cbor:"1,keyasint"`
	Engine string  `cbor:"2,keyasint"`           // and its start
	Trial  string  `cbor:"3,keyasint,omitempty"` // the attempt, if it was a trial
}

// Screening updates the record of causes and asks for a trial. Its steps are taken
// in the order of the fields.
type Screening struct {
	Loss   *Loss    `cbor:"1,keyasint,omitempty"`
	Clear  []string `cbor:"2,keyasint,omitempty"` // causes under which an answer was completed
	Trial  string   `cbor:"3,keyasint,omitempty"` // the attempt
	Causes []string `cbor:"4,keyasint,omitempty"` // all of the attempt
	Ended  bool     `cbor:"5,keyasint,omitempty"` // the trial ended and its engine goes on
	Unused bool     `cbor:"6,keyasint,omitempty"` // the trial wasn't sent to any engine

	Left time.Duration `cbor:"7,keyasint,omitempty"` // until the attempt's deadline, 0 for none
}

// Permission is the answer to the question for a trial.
type Permission struct {
	Allowed bool          `cbor:"1,keyasint"`
	Cause   string        `cbor:"2,keyasint,omitempty"` // that forbids it
	Wait    time.Duration `cbor:"3,keyasint,omitempty"` // until it is worth asking again
	Version uint64        `cbor:"4,keyasint,omitempty"` // of the state after the screening
}

// Screen applies a screening. It answers loads in which requests with one cause in
// common, at any number of instances, end each engine that begins an answer. A trial is granted for all of its causes or for
// none. Losses and open trials of a cause together never exceed lossLimit; after
// that many losses, one trial at a time is granted, ever later, or up to testLimit
// losses at once if it tells two causes apart. So what a cause can cost doesn't
// depend on how fast instances learn of a loss.
func (s *State) Screen(r Screening) Permission {
	if r.Loss != nil {
		s.recordLoss(r.Loss)
	}
	for _, name := range r.Clear {
		drop(s, &s.strikes, name)
	}
	p := Permission{Allowed: true}
	if r.Ended || r.Unused {
		s.endTrial(&r)
	} else if p = s.mayTry(&r); p.Allowed {
		s.addTrial(&r)
	}
	p.Version = s.version
	return p
}

// recordLoss records a lost engine with all causes that it may have.
func (s *State) recordLoss(l *Loss) {
	s.expireStrikes()
	for _, c := range l.Causes {
		v := s.causeToChange(c.Name)
		v.AddLoss(s.now, c, l.Engine, l.Trial)
		put(s, &s.strikes, v)
	}
}

// mayTry reports whether a trial may start with regard to all of its causes. If
// not, it names the one with the longest wait.
func (s *State) mayTry(r *Screening) Permission {
	p := Permission{Allowed: true}
	for _, name := range r.Causes {
		v, found := s.strikes.rows[name]
		if !found {
			continue
		}
		wait, allowed := v.MayTry(s.now, r.Trial, func() bool { return IsTest(v, r.Causes, maps.Values(s.strikes.rows)) })
		if !allowed && (p.Allowed || wait > p.Wait) {
			p = Permission{Cause: name, Wait: wait}
		}
	}
	return p
}

func (s *State) addTrial(r *Screening) {
	for _, name := range r.Causes {
		if v, found := s.strikes.rows[name]; found {
			v.AddTrial(s.now, r.Trial, r.Left)
			put(s, &s.strikes, v)
		}
	}
}

func (s *State) endTrial(r *Screening) {
	for _, name := range r.Causes {
		if v, found := s.strikes.rows[name]; found && v.EndTrial(s.now, r.Trial, r.Unused) {
			put(s, &s.strikes, v)
		}
	}
}

// causeToChange returns the record of a cause, or a new one, for which it makes
// room.
func (s *State) causeToChange(name string) Strike {
	v, found := s.strikes.rows[name]
	if !found && len(s.strikes.rows) >= maxStrikes {
		drop(s, &s.strikes, s.earliestStrike())
	}
	v.Fingerprint = name
	return v
}

// AddLoss records a lost engine. A trial counts of its own, since an engine that
// restarts may keep its name.
func (s *Strike) AddLoss(now time.Time, c Cause, engine, trial string) {
	s.removeTrial(now, trial)
	if trial != "" {
		engine += "/" + trial
	}
	if slices.Contains(s.LostEngines, engine) {
		return
	}
	s.LostEngines = append(slices.Clone(s.LostEngines), engine)
	if n := len(s.LostEngines); n > maxLostEngines {
		s.LostEngines = s.LostEngines[n-maxLostEngines:]
	}
	s.Proven, s.Part = s.Proven || c.Proven, c.Part
	s.postpone(now)
}

// Exhausted reports whether the cause has cost so many engines that its trials are
// spaced out, and until when none may start.
func (s *Strike) Exhausted() (until time.Time, exhausted bool) {
	return s.NextTrial, len(s.LostEngines) >= lossLimit
}

// MayTry reports whether an attempt may be sent to an engine, and if not, when to
// ask again. isTest reports whether it tells the cause apart from another one.
func (s *Strike) MayTry(now time.Time, trial string, isTest func() bool) (wait time.Duration, allowed bool) {
	open := 0
	for _, t := range s.Trials {
		switch {
		case !now.Before(t.ExpiresAt):
		case t.ID != trial:
			open++
		case t.Spaced:
			return 0, true // the question came twice
		}
	}
	if len(s.LostEngines) < lossLimit {
		return trialPoll, len(s.LostEngines)+open < lossLimit
	}
	early := now.Before(s.NextTrial) && (len(s.LostEngines) >= testLimit || !isTest())
	switch {
	case early:
		return max(trialPoll, s.NextTrial.Sub(now)), false
	case open > 0:
		return trialPoll, false
	}
	return 0, true
}

// IsTest reports whether a request that has a cause would tell it apart from
// another one: the other one alone would explain all losses as well, and the
// request doesn't have it.
func IsTest(v Strike, causes []string, records iter.Seq[Strike]) bool {
	for other := range records {
		if len(other.LostEngines) < len(v.LostEngines) || slices.Contains(causes, other.Fingerprint) {
			continue
		}
		if !slices.ContainsFunc(v.LostEngines, func(engine string) bool { return !slices.Contains(other.LostEngines, engine) }) {
			return true
		}
	}
	return false
}

// AddTrial records an attempt before it is sent. left is the time until its
// deadline, 0 for none.
func (s *Strike) AddTrial(now time.Time, trial string, left time.Duration) {
	if left <= 0 || left > maxTrialTime {
		left = maxTrialTime
	}
	_, exhausted := s.Exhausted()
	s.removeTrial(now, trial)
	s.Trials = append(s.Trials, Trial{ID: trial, ExpiresAt: now.Add(left + trialSlack), Spaced: exhausted})
	if exhausted {
		s.postpone(now)
	}
}

// EndTrial removes an attempt under which no engine was lost, and reports whether
// there was one. If it wasn't sent, another one may be tried at once.
func (s *Strike) EndTrial(now time.Time, trial string, unused bool) bool {
	t, found := s.removeTrial(now, trial)
	if found && unused && t.Spaced {
		s.NextTrial = now
	}
	return found
}

// removeTrial removes a trial and those that have expired. It returns the trial and
// whether it was there.
func (s *Strike) removeTrial(now time.Time, trial string) (removed Trial, found bool) {
	s.Trials = slices.DeleteFunc(slices.Clone(s.Trials), func(t Trial) bool {
		if t.ID == trial {
			removed, found = t, true
		}
		return t.ID == trial || !now.Before(t.ExpiresAt)
	})
	return removed, found
}

// postpone sets when the next trial may start, and keeps the record for longer.
func (s *Strike) postpone(now time.Time) {
	n := len(s.LostEngines) - lossLimit
	delay := trialDelay
	switch {
	case n < 0:
		delay = 0
	case s.Proven && (!s.Part || n < provenLimit-lossLimit):
		delay = provenDelay
	case s.Proven:
		n -= provenLimit - lossLimit
	}
	for ; n > 0 && delay < maxTrialDelay; n-- {
		delay *= delayFactor
	}
	delay = min(delay, maxTrialDelay)
	s.NextTrial, s.ExpiresAt = now.Add(delay), now.Add(max(strikeTTL, 2*delay))
}
