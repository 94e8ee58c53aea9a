package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/kept"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/place"
)

const (
	// leastSilence is the shortest time without progress after which a request
	// that may be repeated is taken from an engine.
	leastSilence = 600 * time.Millisecond
	// silenceShare is how many times the expected time an engine may take.
	silenceShare = 4
	// gapShare is how many times the longest pause that is on time may pass
	// between two events: callers leave after eight.
	gapShare = 6
	// elsewhereRetry is when to come back to another instance.
	elsewhereRetry = 10 * time.Millisecond
	// releaseTime bounds the call that frees a KV cache.
	releaseTime = time.Second
	// maxHead bounds the answer to a prefill, in bytes.
	maxHead = 64 << 10
	// chunk is the size of reads from a stream.
	chunk = 16 << 10
)

var (
	errUnsigned = errors.New("the answer isn't the server's own")
	errStatus   = errors.New("the engine answered with a failure")
	errNotRun   = errors.New("the engine had no room")
	errBusy     = errors.New("the engines are too busy for its time")
	errSilent   = errors.New("no progress")
	errCaller   = errors.New("the caller's connection failed")
	errAnswered = errors.New("the engine's failure was passed on")
)

// stream is the answer to a generation as far as the caller has it.
type stream struct {
	begun  bool   // the head was sent
	last   string // identifier of the last whole event
	events int
	rest   []byte // of an event that isn't whole yet
}

// generate carries a generation: prefill and decode on engines that fit, and
// once more elsewhere if that is allowed.
func (f *flight) generate(ctx context.Context) {
	ask := &place.Ask{ID: f.call.ID, Pool: f.target.Name, Prompt: f.call.Prompt}
	var out stream
	reason := "no engine can take the request"
	wait := roomRetry
	first := true
	for {
		ask.Avoid = f.avoid
		plan, err := f.fleet.pick(f.clock.Now(), ask)
		if err != nil {
			if len(f.avoid) == 0 || !f.pause(ctx) {
				break
			}
			f.avoid = nil
			continue
		}
		if left, leaving := f.leaving(); first && leaving && f.fleet.lasts(f.target.Name, ask) > left {
			reason, wait = "the instance is shutting down before the answer could end", elsewhereRetry
			break
		}
		if first {
			if plan, err = f.admit(ask, plan); err != nil {
				reason, wait = err.Error(), f.later(plan.Expected-f.route.Target)
				break
			}
		}
		first = false
		f.log.Info("placed", "request", f.call.ID, "prefill", plan.Prefill.Name, "decode", plan.Decode.Name, "fetch", plan.Fetch,
			"expected_ms", plan.Expected.Milliseconds(), "work", plan.Work, "later", ask.Later, "after", out.last, "state", f.snapshot.Version(),
			"heard_ms", f.fleet.age(f.clock.Now()).Milliseconds(), "ms", f.spent())
		err = f.attempt(ctx, ask, &plan, &out)
		if err == nil {
			f.answered(plan.Decode.Name, http.StatusOK, nil)
			f.fleet.lasted(f.target.Name, ask, f.clock.Now().Sub(f.began)-f.firstAfter)
			return
		}
		if errors.Is(err, errAnswered) {
			return
		}
		if errors.Is(err, errCaller) {
			f.meter.Count("caller", "left")
			return
		}
		reason = err.Error()
		if !f.again(ctx, f.route.Resume) {
			break
		}
	}
	if out.begun {
		f.endBroken(ctx, &out, reason)
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
	f.giveUp(ctx, reason, wait)
}

// endBroken logs the end of a stream that isn't whole. A caller that left is no
// fault; the end of the instance cuts streams as well.
func (f *flight) endBroken(ctx context.Context, out *stream, reason string) {
	left, leaving := f.leaving()
	if errors.Is(ctx.Err(), context.Canceled) && (!leaving || left > 0) {
		f.meter.Count("caller", "left")
		f.log.Info("caller left", "request", f.call.ID, "route", f.route.Name, "events", out.events, "ran", f.ran, "ms", f.spent())
		return
	}
	f.meter.Count("stream", "broken")
	f.log.Warn("stream broken", "request", f.call.ID, "route", f.route.Name, "events", out.events, "ran", f.ran,
		"leaving", leaving, "reason", reason, "ms", f.spent())
}

// pause waits a little before all engines that failed are tried again.
func (f *flight) pause(ctx context.Context) bool {
	if f.tries >= maxTries {
		return false
	}
	f.tries++
	select {
	case <-ctx.Done():
		return false
	case <-time.After(roomRetry / 3):
		return true
	}
}

// attempt carries the call to the engines of one plan.
func (f *flight) attempt(ctx context.Context, ask *place.Ask, plan *place.Plan, out *stream) error {
	f.fleet.sent(f.clock.Now(), ask, plan)
	defer f.fleet.done(ask, plan)
	send := &server.Send{Call: f.call, Engine: plan.Decode.Name, After: out.last, Priority: urgency(ask)}
	if plan.Split() {
		handle, err := f.prefill(ctx, ask, plan)
		if err != nil {
			return err
		}
		send.Source, send.Handle = server.Address(plan.Prefill.URL), handle
	} else if plan.Fetch != "" {
		send.Fetch = server.Address(plan.Fetch)
	}
	f.tries++
	err := f.decode(ctx, ask, plan, send, out)
	if err != nil && send.Handle != "" && (errors.Is(err, errNotRun) || out.events == 0) {
		go f.release(context.WithoutCancel(ctx), send.Source, send.Handle)
	}
	return err
}

// release frees a KV cache that nobody takes.
func (s *Relay) release(ctx context.Context, address, handle string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	a, err := s.pool.Do(ctx, address, s.codec.Release(address, handle))
	if err != nil {
		// It runs out by itself.
		s.meter.Count("handle", "not_released")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHead)) // so that the connection is kept
	_ = a.Body.Close()
	s.meter.Count("handle", "released")
}

// prefill computes the prompt at the plan's first engine. It isn't a run.
func (f *flight) prefill(ctx context.Context, ask *place.Ask, plan *place.Plan) (string, error) {
	name := plan.Prefill.Name
	inner, watch := f.watch(ctx, f.silence(ask, plan))
	defer watch.end()
	send := &server.Send{Call: f.call, Engine: name, Left: f.left(), Prefill: true, Priority: urgency(ask)}
	if plan.Fetch != "" {
		send.Fetch = server.Address(plan.Fetch)
	}
	began := f.clock.Now()
	f.tries++
	a, err := f.pool.Do(inner, server.Address(plan.Prefill.URL), f.codec.Encode(send))
	if err != nil {
		f.failed(ctx, name, server.Address(plan.Prefill.URL), err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxHead))
	if err != nil {
		f.failed(ctx, name, server.Address(plan.Prefill.URL), err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	took := f.clock.Now().Sub(began)
	f.meter.Time(took, "prefill")
	f.prefillTook = took
	if a.StatusCode != http.StatusOK {
		return "", f.unfit(name, a)
	}
	p, err := f.codec.Prefilled(body)
	if err != nil {
		f.avoid = append(f.avoid, name)
		f.fleet.answered(f.clock.Now(), name, false)
		return "", fmt.Errorf("prefill: %w", err)
	}
	f.fleet.answered(f.clock.Now(), name, true)
	f.fleet.prefilled(ask, plan, took)
	return p.Handle, nil
}

// unfit notes that an engine answered with a failure.
func (f *flight) unfit(name string, a *http.Response) error {
	f.avoid = append(f.avoid, name)
	judged := f.codec.Judge(a)
	f.log.Info("engine refused", "request", f.call.ID, "engine", name, "status", a.StatusCode, "not_run", judged.NotRun, "ms", f.spent())
	f.meter.Count("engine", "refused")
	if judged.NotRun {
		return fmt.Errorf("engine %s: %w", name, errNotRun)
	}
	f.fleet.answered(f.clock.Now(), name, false)
	return fmt.Errorf("engine %s: status %d: %w", name, a.StatusCode, errStatus)
}

// mayHaveRun notes that a backend server may have run the call.
func (f *flight) mayHaveRun(name string, err error) {
	if kept.Sent(err) {
		f.ran = append(f.ran, name)
	}
}

// decode runs the call at the plan's last engine and passes its stream on.
func (f *flight) decode(ctx context.Context, ask *place.Ask, plan *place.Plan, send *server.Send, out *stream) error {
	name, where := plan.Decode.Name, server.Address(plan.Decode.URL)
	patience := time.Duration(0)
	if f.route.Resume {
		patience = f.silence(ask, plan)
	}
	inner, watch := f.watch(ctx, patience)
	defer watch.end()
	send.Left = f.left()
	began := f.clock.Now()
	a, err := f.pool.Do(inner, where, f.codec.Encode(send))
	if err != nil {
		f.mayHaveRun(name, err)
		f.failed(ctx, name, where, err)
		return fmt.Errorf("decode: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	if f.codec.Judge(a).NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxHead)) // so that the connection is kept
		return f.unfit(name, a)
	}
	f.ran = append(f.ran, name)
	if a.StatusCode != http.StatusOK || !f.codec.Judge(a).Signed {
		return f.odd(ctx, name, a, out)
	}
	err = f.pass(a, watch, out, func() {
		took := f.clock.Now().Sub(began)
		f.firstAfter = f.clock.Now().Sub(f.began)
		if len(f.avoid) == 0 && ask.Prompt.Tokens > 0 && !ask.Later {
			f.fleet.learnFirst(f.clock.Now(), f.target.Name, plan.Expected, f.firstAfter)
		}
		f.meter.Time(f.firstAfter, "first")
		f.fleet.prefilled(ask, plan, took)
	})
	switch {
	case err == nil:
		f.fleet.answered(f.clock.Now(), name, true)
		return nil
	case errors.Is(err, errCaller):
		return err
	}
	f.failed(ctx, name, where, err)
	return fmt.Errorf("decode: %w", err)
}

// odd takes an answer of an engine that is no stream. A failure of its own is
// passed on unless the call may go on elsewhere.
func (f *flight) odd(ctx context.Context, name string, a *http.Response, out *stream) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	f.avoid = append(f.avoid, name)
	f.fleet.answered(f.clock.Now(), name, false)
	judged := f.codec.Judge(a)
	repeat := f.route.Resume && len(f.ran) < f.route.Attempts
	if err != nil || out.begun || !judged.Signed || repeat || ctx.Err() != nil {
		return fmt.Errorf("engine %s: status %d: %w", name, a.StatusCode, errStatus)
	}
	f.deliver(&whole{head: a, judged: judged, body: body, server: name})
	return errAnswered
}

// pass passes whole events on as they arrive. First is called at the first.
func (f *flight) pass(a *http.Response, watch *watch, out *stream, first func()) error {
	out.rest = out.rest[:0]
	buffer := make([]byte, chunk)
	control := http.NewResponseController(f.w)
	for {
		n, err := a.Body.Read(buffer)
		out.rest = append(out.rest, buffer[:n]...)
		end := bytes.LastIndex(out.rest, []byte("\n\n")) + 2
		ended := errors.Is(err, io.EOF)
		if ended {
			end = len(out.rest)
		}
		if end >= 2 {
			if first != nil {
				first()
				first = nil
			}
			watch.feed(f.gap())
			if err := f.write(control, a, out, out.rest[:end]); err != nil {
				return err
			}
			out.rest = append(out.rest[:0], out.rest[end:]...)
		}
		switch {
		case ended && !out.begun:
			return f.write(control, a, out, nil)
		case ended:
			return nil
		case err != nil:
			return err //nolint:wrapcheck // wrapped by decode
		}
	}
}

func (f *flight) gap() time.Duration {
	if !f.route.Resume {
		return 0
	}
	return max(leastSilence, gapShare*f.route.Gap)
}

// write passes whole events on, after the head of the first engine's answer.
func (f *flight) write(control *http.ResponseController, a *http.Response, out *stream, events []byte) error {
	if !out.begun {
		f.codec.Pass(f.w.Header(), a)
		f.w.WriteHeader(a.StatusCode)
		out.begun = true
	}
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			out.last = string(bytes.TrimSpace(id))
			out.events++
		}
	}
	if _, err := f.w.Write(events); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// watch ends an exchange that makes no progress.
type watch struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// silence is how long an engine may take for the first sign of progress.
func (f *flight) silence(ask *place.Ask, plan *place.Plan) time.Duration {
	if ask.Later {
		return f.left()
	}
	return max(leastSilence, silenceShare*plan.Expected)
}

// watch returns a context that ends after a time without progress; 0 is never.
func (f *flight) watch(ctx context.Context, patience time.Duration) (context.Context, *watch) {
	inner, cancel := context.WithCancelCause(ctx)
	w := &watch{cancel: cancel}
	if patience > 0 {
		w.timer = time.AfterFunc(patience, func() { cancel(errSilent) })
	}
	return inner, w
}

// feed tells of progress, and how long the next may take.
func (w *watch) feed(patience time.Duration) {
	if w.timer != nil && patience > 0 {
		w.timer.Reset(patience)
	}
}

func (w *watch) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
