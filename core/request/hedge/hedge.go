// Package hedge decides when a stream whose engine has fallen silent moves to another
// engine. It answers engines that are silent for a second and go on, and engines that
// are gone without a sign: no answer may end for a silence, and none may run at two
// engines. So the first engine is left only once the second one answers or has kept the
// request for a short while, and nothing that the first one sends is used before the
// second attempt has ended.
package hedge

// phase is the state of a stream between its engine and a second one.
type phase int

const (
	reading   phase = iota // the engine is expected to go on
	preparing              // a second attempt is prepared beside the silent engine
	committed              // the second engine has the request and hasn't answered
	moved                  // the second engine goes on
)

// Stream is the state of one stream at one engine. It isn't safe for concurrent use.
type Stream struct{ phase phase }

// Silent records that the engine was silent for too long, and reports whether a second
// attempt may be prepared.
func (s *Stream) Silent() bool {
	if s.phase != reading {
		return false
	}
	s.phase = preparing
	return true
}

// Progress records that the engine went on or ended, and reports whether what it sent
// may be used now. If not, the end of the second attempt must be awaited.
func (s *Stream) Progress() bool {
	if s.phase == preparing {
		s.phase = reading
	}
	return s.phase == reading
}

// Commit reports whether the second attempt may be sent: the first engine is still
// silent.
func (s *Stream) Commit() bool {
	if s.phase != preparing {
		return false
	}
	s.phase = committed
	return true
}

// Conclude records the end of the second attempt. goesOn is true if the second engine goes
// on with the stream: then that has moved, if the attempt was committed.
func (s *Stream) Conclude(goesOn bool) {
	switch {
	case s.phase == committed && goesOn:
		s.phase = moved
	case s.phase == committed, s.phase == preparing:
		s.phase = reading
	}
}

// Moved reports whether the stream has moved to the second engine.
func (s *Stream) Moved() bool { return s.phase == moved }

// Bounds are the bounds of the attempts of one call.
type Bounds struct {
	Runs, MaxRuns   int // engines that run it or may have run it
	Tries, MaxTries int // sends to engines
	Suspected       bool
}

// Allow reports whether a second attempt may begin beside one that is silent. A call
// that is suspected of crashing engines has one attempt at a time.
func (b Bounds) Allow() bool {
	return !b.Suspected && b.Runs < max(1, b.MaxRuns) && b.Tries < b.MaxTries
}
