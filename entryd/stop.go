package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/abort"
	"verbenahaven.example/core/conn/drain"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/platform"
)

// httpServer is an http.Server or one that can be stopped without cutting requests.
type httpServer interface {
	Serve(l net.Listener) error
	Close() error
}

// callServer returns a server for the calls of callers, or of other instances. Calls are
// cut when ctx ends.
func (s *site) callServer(ctx context.Context, h http.Handler) *drain.Server {
	server := &http.Server{
		Handler: s.countCalls(h), ReadHeaderTimeout: siteHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: siteMaxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	abort.Install(server)
	s.intake.Install(server)
	d := drain.New(server)
	d.Wrap(s.intake.Listener)
	return d
}

// smallServer returns a server for calls that are answered at once.
func (s *site) smallServer(h http.Handler) httpServer {
	return s.intake.Guard(&http.Server{
		Handler: h, ReadHeaderTimeout: siteHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: siteMaxHeaderBytes,
	})
}

// refuseCalls returns the handler of calls that arrive too late in a shutdown to be
// served. Other instances give the call to a third one.
func (s *site) refuseCalls(ofPeer bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.meter.Count("refused", "stopping")
		platform.Codec{}.WriteRefusal(w, server.Refusal{
			Kind: server.RefuseNotExecuted, RetryAfter: s.fleet.ReturnAfterLeaving(), Message: "the instance is shutting down", Unable: ofPeer,
		})
	})
}

// stop withdraws this instance from the address answers at once, keeps serving
// callers that cached an older answer, and returns within the grace period. Until then
// each request on an accepted connection is answered. cut cuts the running calls.
func (s *site) stop(ctx context.Context, cut func(), callers, peers *drain.Server) {
	began, grace := s.bound.Begin(), s.bound.Grace()
	times := leave.NewSchedule(grace)
	cutAt := began.Add(times.Cut)
	s.leaving.begin(cutAt)
	callers.Leave()
	peers.Leave()
	s.beat.Leave()
	s.log.Info("leaving", "name", s.settings.Name, "calls", s.leaving.calls.Load(), "grace_ms", grace.Milliseconds())
	clock.Sleep(ctx, time.Until(began.Add(times.Refuse)))
	callers.Refuse(s.refuseCalls(false))
	peers.Refuse(s.refuseCalls(true))
	clock.Sleep(ctx, time.Until(began.Add(times.Close)))
	ctx, cancel := context.WithDeadline(ctx, began.Add(times.End))
	defer cancel()
	defer time.AfterFunc(time.Until(cutAt), cut).Stop()
	var peerErr error
	var group sync.WaitGroup
	group.Go(func() { peerErr = peers.Stop(ctx) })
	err := callers.Stop(ctx)
	group.Wait()
	flush, cancelFlush := context.WithTimeout(ctx, usageFlushTimeout)
	defer cancelFlush()
	s.beat.FlushUsage(flush)
	s.log.Info("stopped", "name", s.settings.Name, "calls", s.leaving.calls.Load(), "ms", time.Since(began).Milliseconds(), "err", errors.Join(err, peerErr))
}
