package relay

import (
	"errors"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/stream"
)

// maxUncounted is the size up to which the unsent part of a stream isn't counted, in bytes:
// an event of usual size finds room however many others there are.
const maxUncounted = 2 * readBufferSize

// unsent is what has been read of a stream and not been sent to the caller: the start of an
// event, of which servers in trouble send as much as is read.
type unsent struct {
	bytes   []byte
	hold    *body.Hold
	counted int64 // in hold
}

// newUnsent returns an empty buffer, and a function that returns its memory.
func newUnsent(hold *body.Hold) (*unsent, func()) { return &unsent{hold: hold}, hold.Release }

// add appends what was read. It returns body.ErrNoRoom if that doesn't fit beside what is held
// for other calls.
func (u *unsent) add(b []byte) error {
	if need := len(u.bytes) + len(b); need > cap(u.bytes) {
		size := max(2*cap(u.bytes), need)
		if more := int64(size-maxUncounted) - u.counted; more > 0 {
			if !u.hold.GrowFairly(more) {
				return body.ErrNoRoom
			}
			u.counted += more
		}
		u.bytes = append(make([]byte, 0, size), u.bytes...)
	}
	u.bytes = append(u.bytes, b...)
	return nil
}

// remove removes the first n bytes.
func (u *unsent) remove(n int) {
	rest := u.bytes[n:]
	if u.counted == 0 || len(rest) > maxUncounted {
		u.bytes = append(u.bytes[:0], rest...)
		return
	}
	u.bytes = append(make([]byte, 0, maxUncounted), rest...)
	u.hold.Shrink(u.counted)
	u.counted = 0
}

// countUnsent counts a stream that was given up for the size of an event.
func (f *inflightCall) countUnsent(err error) {
	switch {
	case errors.Is(err, body.ErrNoRoom):
		f.meter.Count("memory", "events", "refused")
	case errors.Is(err, stream.ErrTooLarge):
		f.meter.Count("event", "too_large")
	}
}
