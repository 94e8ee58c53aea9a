package link

import (
	"time"

	"verbenahaven.example/core/process/pace"
)

const (
	// dialAnswerTimeout is how long a dial waits for the first packet of its peer. QUIC
	// repeats its own first packet at growing intervals, so a peer that begins to listen a
	// moment after one would be reached a second later.
	dialAnswerTimeout = 250 * time.Millisecond
	// dialTimeout bounds a handshake with a peer that answers.
	dialTimeout = 2 * time.Second
	// dialPeriod is how long a dial goes on with a peer that doesn't answer or is busy.
	dialPeriod = 2 * time.Second

	// dialJitter bounds the random pause between the first soonDials attempts that aren't
	// answered: they cost the peer next to nothing, and it may be about to listen. The mean
	// pause after the next one is minSilentPause, and grows like the others.
	dialJitter     = 50 * time.Millisecond
	soonDials      = 4
	minSilentPause = 100 * time.Millisecond
	// minDialPause is the mean pause after the first attempt that cost the peer something.
	// maxDialPause bounds the mean pause, maxUrgentPause that of urgent clients.
	minDialPause   = 25 * time.Millisecond
	maxDialPause   = time.Second
	maxUrgentPause = 100 * time.Millisecond
	// steadyAge is the age from which a connection that breaks counts as one that worked.
	steadyAge = 10 * time.Second

	// maxSilenceTimeout bounds the silence after which a connection is given up.
	maxSilenceTimeout = 2 * time.Second
)

// redial decides when a client tries to connect to its peer again, and how long it takes a
// silent connection for one that is only slow. A handshake is the dearest work that a client
// can ask of its peer, so the load of all clients together must fall while their attempts
// fail: pauses are random, and grow across calls with each attempt that cost the peer
// something, or that may wait unread at a peer that is far behind.
type redial struct {
	costly     pace.Backoff // attempts that the peer refused or didn't finish, and connections that didn't last
	unanswered pace.Backoff // attempts that weren't answered, beyond the first ones
	soon       int          // attempts that weren't answered, up to soonDials
	silent     int          // connections in a row that were soon given up as silent
}

func newRedial(limit time.Duration) redial {
	return redial{costly: pace.NewBackoff(minDialPause, limit), unanswered: pace.NewBackoff(minSilentPause, limit)}
}

// attempted records the result of an attempt.
func (r *redial) attempted(result dialResult) {
	if result == dialUnanswered {
		if r.soon < soonDials {
			r.soon++
		} else {
			r.unanswered.Fail()
		}
		return
	}
	r.soon = 0
	r.unanswered.Reset()
	if result != dialConnected {
		r.costly.Fail()
	}
}

// ended records that a connection of some age ended, given up as silent or not.
func (r *redial) ended(age time.Duration, silent bool) {
	if age >= steadyAge {
		r.costly.Reset()
		r.silent = 0
		return
	}
	r.costly.Fail()
	if silent {
		r.silent++
	}
}

// pause returns the time to wait before the next attempt, given a random number from 0 to 1
// and the time since the last attempt or connection ended: a peer that nobody has called for
// long has had its rest.
func (r *redial) pause(random float64, rested time.Duration) time.Duration {
	pause := max(r.costly.Pause(random), r.unanswered.Pause(random))
	if pause == 0 && r.soon > 0 {
		pause = time.Duration(random * float64(dialJitter))
	}
	return max(0, pause-rested)
}

// silenceTimeout returns how long a connection may bring no packet while calls wait.
func (r *redial) silenceTimeout() time.Duration {
	return pace.Doubled(silenceTimeout, r.silent, maxSilenceTimeout)
}
