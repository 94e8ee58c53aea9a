package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/version/state"
)

// maxWholeAnswer bounds an answer that is buffered before it is delivered, in
// bytes.
const maxWholeAnswer = 32 << 20

// wholeAnswer is a backend server's complete answer.
type wholeAnswer struct {
	response *http.Response
	head     server.ResponseHead
	body     []byte
	server   string
}

// ranToEnd reports whether the server ran the call and didn't fail.
func (a *wholeAnswer) ranToEnd() bool {
	return !a.head.NotExecuted && a.response.StatusCode < http.StatusInternalServerError
}

// forwardWhole forwards a call whose answer is delivered only once it is
// complete. Without a better answer, the last server's failure is delivered.
func (f *inflightCall) forwardWhole(ctx context.Context) {
	retryable := f.route.Kind == state.RouteIdempotent
	var lastFailure *wholeAnswer // delivered if no server succeeds
	reason := "no server can take the call"
	retryAfter := busyRetryAfter
	for {
		if err := f.holdBoth(ctx); err != nil {
			reason, retryAfter = err.Error(), retryAfterOf(err)
			break
		}
		v, release, err := f.fleet.pickServer(f.clock.Now(), f.targetPool.Name, f.route.Name, f.avoid, f.build)
		if err != nil {
			if limited := f.noServer(err); limited != nil {
				reason, retryAfter = "the servers' limits are used up", max(busyRetryAfter, limited.Wait())
			}
			break
		}
		f.tries++
		a, err := f.exchange(ctx, v)
		release(err == nil && a.ranToEnd())
		if errors.Is(err, body.ErrTooLarge) || errors.Is(err, body.ErrNoRoom) {
			// Any server would send the same answer.
			f.pass.Spared(true)
			f.meter.Count("answer", "too_large")
			reason = err.Error()
			break
		}
		if err != nil {
			reason = "the server gave no whole answer"
			f.recordServerLoss(ctx, v, err)
			if isLeaving(err) {
				reason, retryAfter = err.Error(), retryAfterOf(err)
				break
			}
		} else {
			switch {
			case a.head.NotExecuted:
				reason = "the server had no room"
				f.recordRejection(v.Name, a.response.StatusCode)
			case a.ranToEnd():
				f.pass.Completed()
				f.fleet.recordServerAnswer(f.clock.Now(), v.Name, true)
				f.recordOrigin(v.Build)
				f.deliver(a)
				return
			default:
				f.recordServerFailure(v.Name)
				lastFailure = a
			}
		}
		if !f.allowRetry(ctx, retryable) {
			break
		}
	}
	if lastFailure != nil && ctx.Err() == nil {
		f.deliver(lastFailure)
		return
	}
	f.endUnanswered(ctx, reason, retryAfter)
}

// holdBoth returns nil if the next attempt may be sent and there is memory for its
// answer.
func (f *inflightCall) holdBoth(ctx context.Context) error {
	if err := f.hold(ctx); err != nil {
		return err
	}
	if err := f.holdAnswer(ctx); err != nil {
		f.declined = true
		return err
	}
	err := f.checkLeaving(nil) // after the waits
	if err != nil {
		f.pass.Spared(false)
	}
	return err
}

// recordServerLoss records a failed exchange with a server.
func (f *inflightCall) recordServerLoss(ctx context.Context, v state.Server, err error) {
	if f.recordFailure(ctx, v.Name, server.HostPort(v.URL), false, err) {
		f.fleet.recordServerLoss(f.clock.Now(), v.Name)
	}
}

// recordServerFailure records that a server answered with a failure.
func (f *inflightCall) recordServerFailure(name string) {
	f.pass.Spared(true)
	f.fleet.recordServerAnswer(f.clock.Now(), name, false)
	f.avoid = append(f.avoid, name)
}

// noServer records that no server can take the call. It returns the error if their
// limits forbid it, else nil.
func (f *inflightCall) noServer(err error) *place.LimitedError {
	f.pass.Spared(false)
	limited := new(place.LimitedError)
	if !errors.As(err, &limited) {
		return nil
	}
	f.declined = true
	return limited
}

// recordRejection records that a server turned the call away without running it.
func (f *inflightCall) recordRejection(name string, status int) {
	f.pass.Spared(true)
	f.turnedAway = true
	f.fleet.recordServerRejection(f.clock.Now(), name)
	f.avoid = append(f.avoid, name)
	f.log.Info("not run", "request", f.call.ID, "server", name, "status", status, "ms", f.elapsedMS())
}

// exchange sends the call to a server and reads its complete answer.
func (f *inflightCall) exchange(ctx context.Context, v state.Server) (*wholeAnswer, error) {
	request := f.codec.EncodeRequest(&server.Request{Call: f.call, ServerID: v.Name, TimeLeft: f.timeLeft(), Priority: -1})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := f.do(ctx, v.Name, server.HostPort(v.URL), request, f.checkPlain)
	if err != nil {
		f.recordPossibleRun(v.Name, err)
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	head := f.parseHead(v.Name, a)
	if !head.NotExecuted {
		f.mayHaveRun = append(f.mayHaveRun, v.Name)
	}
	if a.StatusCode < http.StatusMultipleChoices && !head.Signed {
		return nil, fmt.Errorf("answer of %s: %w", v.Name, errUnsigned)
	}
	if head.NotExecuted {
		discard(a, cancel)
		return &wholeAnswer{response: a, head: head, server: v.Name}, nil
	}
	f.countUsage()
	content, err := f.buffer(ctx, a)
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", v.Name, err)
	}
	return &wholeAnswer{response: a, head: head, body: content, server: v.Name}, nil
}

// deliver sends a complete answer to the caller.
func (f *inflightCall) deliver(a *wholeAnswer) {
	h := f.w.Header()
	f.codec.CopyHeader(h, a.response)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	f.w.WriteHeader(a.response.StatusCode)
	f.delivering()
	_, err := f.w.Write(a.body)
	f.logAnswered(a.server, a.response.StatusCode, err, "framing", httpc.FramingOf(a.response))
}

// logAnswered logs and counts the end of a call that a backend server answered.
func (f *inflightCall) logAnswered(name string, status int, err error, attrs ...any) {
	f.meter.Count("answered", strconv.Itoa(status/100)+"xx")
	f.meter.Time(f.clock.Now().Sub(f.start), "answer", string(f.route.Kind))
	f.log.Info("answered", slices.Concat([]any{
		"request", f.call.ID, "route", f.route.Name, "table", f.tableNumber(), "server", name, "status", status, "tries", f.tries,
		"prefill_ms", f.prefillTime.Milliseconds(), "first_ms", f.timeToFirstEvent.Milliseconds(), "ms", f.elapsedMS(), "err", err,
	}, f.accountAttrs(), attrs)...)
}
