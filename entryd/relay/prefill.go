package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/server"
)

const (
	// releaseTimeout bounds the request that frees a KV cache.
	releaseTimeout = time.Second
	// maxPrefillAnswer bounds the answer to a prefill and other short answers,
	// in bytes.
	maxPrefillAnswer = 64 << 10
	// discardTimeout bounds the wait for the rest of an answer that isn't used.
	discardTimeout = 50 * time.Millisecond
)

// discard reads the rest of a short answer that isn't used, so that its connection is kept.
// cancel ends the exchange: an answer that goes on for longer isn't worth the wait.
func discard(a *http.Response, cancel func()) {
	defer time.AfterFunc(discardTimeout, cancel).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxPrefillAnswer))
}

// prefill computes the prompt on the plan's prefill engine and returns the
// handle of its KV cache. It doesn't count as a run of the call.
func (f *inflightCall) prefill(ctx context.Context, r *run) (string, error) {
	t, plan := r.ticket, &r.ticket.Plan
	name := plan.Prefill.Name
	progressCtx, stop := f.withPrefillTimeout(ctx, f.firstProgressTimeout(t))
	defer stop()
	send := &server.Request{Call: f.call, ServerID: name, TimeLeft: f.timeLeft(), PrefillOnly: true, Priority: f.enginePriority(&t.Decision)}
	if plan.FetchURL != "" {
		send.PrefixSource = server.HostPort(plan.FetchURL)
	}
	start := f.clock.Now()
	f.tries++
	a, err := f.do(progressCtx, name, server.HostPort(plan.Prefill.URL), f.codec.EncodeRequest(send), func() error { return f.checkSend(r) })
	if err != nil {
		f.recordEngineLoss(ctx, t, name, server.HostPort(plan.Prefill.URL), false, err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	defer func() { _ = a.Body.Close() }()
	content, err := body.Read(a.Body, maxPrefillAnswer)
	if err != nil {
		f.recordEngineLoss(ctx, t, name, server.HostPort(plan.Prefill.URL), false, err)
		return "", fmt.Errorf("prefill: %w", err)
	}
	f.parseHead(name, a)
	took := f.clock.Now().Sub(start)
	f.meter.Time(took, "prefill")
	f.prefillTime = took
	if a.StatusCode != http.StatusOK {
		return "", f.recordRefusal(t, name, a)
	}
	prefilled, err := f.codec.DecodePrefill(content)
	if err != nil {
		f.avoid = append(f.avoid, name)
		f.pass.Spared(true)
		t.engineFailed(name, false)
		return "", fmt.Errorf("prefill: %w", err)
	}
	f.prefillAccepted()
	f.pass.Prefilled()
	t.prefilled(took)
	return prefilled.KVHandle, nil
}

// releasePrefill frees the KV cache that was computed for a run that didn't use it.
func (f *inflightCall) releasePrefill(ctx context.Context, r *run) {
	if r.request.KVHandle != "" {
		go f.releaseKV(context.WithoutCancel(ctx), r.ticket.Plan.Prefill.Name, r.request.KVSource, r.request.KVHandle)
	}
}

// releaseKV frees a KV cache that no decode engine will fetch.
func (s *Proxy) releaseKV(ctx context.Context, name, address, handle string) {
	q := s.codec.EncodeRelease(name, address, handle)
	end, allowed := s.beginOwn(name, q)
	if !allowed {
		s.meter.Count("handle", "not_released")
		return
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	a, err := s.pool.Do(ctx, address, q)
	if err != nil {
		// The engine frees it later: the handle expires.
		s.meter.Count("handle", "not_released")
		return
	}
	discard(a, cancel)
	_ = a.Body.Close()
	if s.codec.ParseHead(a).Misdirected {
		s.meter.Count("handle", "not_released") // the engine is gone, and the handle with it
		return
	}
	s.meter.Count("handle", "released")
}
