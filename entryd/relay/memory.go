package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/server"
)

const (
	// memoryShare is the part of the instance's memory that is held for callers. The Go
	// runtime may use twice the live heap, and the rest of the process needs room.
	memoryShare = 3
	// memoryKinds is the number of equal parts that this is divided into: request
	// bodies, whole answers and unread events can't push each other out.
	memoryKinds = 3
	// defaultMemory is assumed if the settings name no limit. It allows two whole
	// answers of the largest size.
	defaultMemory = 2 * maxWholeAnswer * memoryShare * memoryKinds
	// bodyCopies is how many times a request body is held: as it was read, and encoded
	// with the head while it is sent.
	bodyCopies = 2
	// answerStart is taken for an answer before its request is sent, so that a call for
	// whose answer there is no room is refused before it runs.
	answerStart = 4 << 10
)

var errNoMemory = errors.New("the instance has no memory left for the answer")

// memory bounds what the instance holds for callers.
type memory struct {
	bodies  *body.Budget // request bodies
	answers *body.Budget // whole answers
	events  *body.Budget // events that callers haven't read
}

func newMemory(limit int64) *memory {
	part := limit / memoryShare / memoryKinds
	return &memory{bodies: body.NewBudget(part), answers: body.NewBudget(part), events: body.NewBudget(part)}
}

// SetMemory sets the memory limit of the process in bytes, 0 for a default. It must be
// called before the first request.
func (s *Proxy) SetMemory(limit int64) {
	if limit > 0 {
		s.memory = newMemory(limit)
	}
}

// setMemoryGauges reports what is held.
func (s *Proxy) setMemoryGauges() {
	for name, b := range map[string]*body.Budget{"bodies": s.memory.bodies, "answers": s.memory.answers, "events": s.memory.events} {
		now, peak := b.Used()
		s.meter.Set(now, "memory", name)
		s.meter.Set(peak, "memory", name, "peak")
		s.meter.Set(b.Size(), "memory", name, "limit")
	}
}

// urgency returns the priority at which the call competes for memory: its account's, or
// else its route's.
func (f *inflightCall) urgency() int {
	if f.account != nil {
		if priority, found := f.account.EnginePriority(); found {
			return priority
		}
	}
	return max(0, f.route.Priority)
}

// readBody reads the request's body within the memory for bodies. A body that doesn't
// fit is refused before it is read.
func (f *inflightCall) readBody(r io.Reader, length, limit int64) ([]byte, error) {
	b := f.memory.bodies
	if !b.Fits(min(max(length, 0), limit) * bodyCopies) {
		return nil, body.ErrNoRoom
	}
	h := b.Hold(0)
	f.releases = append(f.releases, h.Release)
	return h.Read(r, limit, length, bodyCopies) //nolint:wrapcheck // matched by the caller
}

// refuseMemory returns the refusal of a call for which there is no memory.
func (f *inflightCall) refuseMemory(kind string) *server.Refusal {
	f.meter.Count("memory", kind, "refused")
	return &server.Refusal{
		Kind: server.RefuseNotExecuted, RetryAfter: busyRetryAfter, Message: "the instance has no memory left for the request", Unable: f.ofPeer,
	}
}

// holdAnswer takes memory for the start of a whole answer, before the call is sent. It
// waits for it for a while.
func (f *inflightCall) holdAnswer(ctx context.Context) error {
	if f.answerHold != nil {
		return nil
	}
	h := f.memory.answers.Hold(f.urgency())
	if err := h.Wait(ctx, answerStart); err != nil {
		f.meter.Count("memory", "answers", "refused")
		return errNoMemory
	}
	f.answerHold = h
	f.releases = append(f.releases, h.Release)
	return nil
}

// buffer reads a complete answer, whose memory counts until the call ends.
func (f *inflightCall) buffer(ctx context.Context, a *http.Response) ([]byte, error) {
	h := f.memory.answers.Hold(f.urgency())
	f.releases = append(f.releases, h.Release)
	if f.answerHold != nil {
		f.answerHold.Release()
		f.answerHold = nil
	}
	if n := a.ContentLength; n > 0 && n <= maxWholeAnswer && n <= f.memory.answers.Size() {
		// With all of it at once, no two answers wait for each other's memory.
		if err := h.Wait(ctx, n); err != nil {
			return nil, err //nolint:wrapcheck // wrapped by the callers
		}
	}
	content, err := h.Read(a.Body, maxWholeAnswer, a.ContentLength, 1)
	if err != nil {
		h.Release()
		return nil, err //nolint:wrapcheck // wrapped by the callers
	}
	f.answerHold = h
	return content, nil
}

// delivering lets an answer that its caller reads slowly be given up, if others wait for
// its memory.
func (f *inflightCall) delivering() {
	if f.answerHold == nil {
		return
	}
	control := http.NewResponseController(f.w)
	f.answerHold.Delivering(func() {
		f.meter.Count("memory", "answers", "cut")
		_ = control.SetWriteDeadline(time.Unix(1, 0)) // fails only with the connection
	})
}

// releaseAll returns all memory of the call.
func (f *inflightCall) releaseAll() {
	for _, release := range f.releases {
		release()
	}
}
