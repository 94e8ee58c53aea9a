package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/stream"
)

// readBufferSize is the size of reads from an event stream, in bytes.
const readBufferSize = 16 << 10

// answerStream tracks how much of a streamed answer the caller has received. It
// spans the attempts of a call.
type answerStream struct {
	headSent    bool   // the HTTP header was sent
	lastEventID string // of the last complete event
	events      int
	framing     httpc.Framing // of the last engine's answer
}

// resumable reports whether another attempt can go on after what the caller has.
func (o *answerStream) resumable() bool { return !o.headSent || o.lastEventID != "" }

// mayGoOn reports whether another attempt may go on after what the caller has.
func (f *inflightCall) mayGoOn(o *answerStream) bool { return f.route.Resumable && o.resumable() }

// goesOnWith reports whether an answer may follow what the caller has. An engine may report
// an error with the status of success.
func (o *answerStream) goesOnWith(a *http.Response) bool {
	return !o.headSent || stream.IsStream(a.Header)
}

// answerTime returns the time since the first event.
func (f *inflightCall) answerTime() time.Duration {
	return f.clock.Now().Sub(f.start) - f.timeToFirstEvent
}

// tokensIn returns the most tokens that the events of an answer may hold.
func (f *inflightCall) tokensIn(out *answerStream) int {
	return out.events * max(1, f.targetPool.Spec.MaxTokensPerEvent)
}

// handleNonStream handles an engine's answer that isn't an event stream. A
// failure that the engine itself reports is delivered to the caller, unless the
// call may be retried on another engine.
func (f *inflightCall) handleNonStream(ctx context.Context, t *ticket, name string, a *http.Response, out *answerStream) error {
	content, err := f.buffer(ctx, a)
	f.avoid = append(f.avoid, name)
	f.pass.Spared(true)
	t.engineFailed(name, false)
	head := f.codec.ParseHead(a)
	retryable := f.route.Resumable && len(f.mayHaveRun) < f.route.MaxAttempts
	if err != nil || out.headSent || !head.Signed || retryable || ctx.Err() != nil {
		return fmt.Errorf("engine %s: status %d: %w", name, a.StatusCode, errStatus)
	}
	f.deliver(&wholeAnswer{response: a, head: head, body: content, server: name})
	return errFailureDelivered
}

// forwardStream forwards a run's complete events to the caller as they arrive. It
// returns errMoved if the stream goes on at another engine. Only complete events are
// progress: an engine that sends parts of one, or comments, now and then is silent.
func (f *inflightCall) forwardStream(ctx context.Context, r *run, s *standby, out *answerStream) error {
	a := r.answer
	out.framing = httpc.FramingOf(a)
	buffer := make([]byte, readBufferSize)
	control := http.NewResponseController(f.w)
	ahead, stop := newReadAhead(a.Body, f.memory.events.Hold(f.urgency()), func() { r.cancel(nil) })
	defer stop()
	unsent, release := newUnsent(f.memory.events.Hold(f.urgency()))
	defer release()
	var cursor stream.Cursor
	for {
		end, err := readEvents(ahead, buffer, &cursor, unsent)
		if s.settle(err == nil || errors.Is(err, io.EOF)) != nil {
			return errMoved
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			end = len(unsent.bytes) // also the end of an answer that isn't an event stream
		}
		if end > 0 {
			if ahead.active() {
				r.lastGap = time.Time{}
			}
			ahead.beginWrite()
			err := f.forwardEvents(control, r, out, unsent.bytes[:end])
			ahead.endWrite()
			if err != nil {
				return err
			}
			unsent.remove(end)
		}
		switch {
		case ended && !out.headSent:
			return f.writeEvents(control, a, out, nil)
		case ended:
			return nil
		case err != nil:
			f.countUnsent(err)
			return err //nolint:wrapcheck // wrapped by decode
		}
		s.arm(ctx, f.eventTimeout())
	}
}

// forwardEvents forwards complete events, and observes when they came.
func (f *inflightCall) forwardEvents(control *http.ResponseController, r *run, out *answerStream, events []byte) error {
	if stream.IsStream(r.answer.Header) && !stream.ValidEvents(events, f.codec.EventFields()...) {
		return fmt.Errorf("engine %s: %w", r.name, errNoStream)
	}
	arrived, before := f.clock.Now(), out.events
	if !r.begun {
		f.beginEvents(r)
	}
	if err := f.writeEvents(control, r.answer, out, events); err != nil {
		return err
	}
	f.observeGap(r, arrived, out.events-before)
	return nil
}

// readEvents reads until an event has ended or the answer ends. It returns the length of the
// complete events. If more arrives without the end of an event than the largest one may
// have, be it comments, it returns stream.ErrTooLarge.
func readEvents(r io.Reader, buffer []byte, cursor *stream.Cursor, unsent *unsent) (end int, err error) {
	before := cursor.Ended()
	for err == nil && cursor.Ended() == before {
		if len(unsent.bytes) > stream.MaxEventBytes {
			return 0, stream.ErrTooLarge
		}
		var n int
		n, err = r.Read(buffer)
		if length := cursor.Advance(buffer[:n]); length > 0 {
			end = len(unsent.bytes) + length
		}
		if full := unsent.add(buffer[:n]); full != nil {
			return 0, full
		}
	}
	return end, err //nolint:wrapcheck // io.EOF is compared by value
}

// writeEvents writes complete events to the caller, preceded by the header of
// the first engine's answer, and keeps the ID of the last event to resume from.
func (f *inflightCall) writeEvents(control *http.ResponseController, a *http.Response, out *answerStream, events []byte) error {
	if !out.headSent {
		f.codec.CopyHeader(f.w.Header(), a)
		f.w.WriteHeader(a.StatusCode)
		out.headSent = true
	}
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			out.lastEventID = string(bytes.TrimSpace(id))
			out.events++
		}
	}
	if _, err := f.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCallerConn, err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerConn, err)
	}
	return nil
}
