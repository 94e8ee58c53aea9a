package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/listed"
	"verbenahaven.example/entryd/poll"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/entryd/watch"
)

const (
	leavePoll = 20 * time.Millisecond
	// leaveShare is the share of the grace that may pass until the others
	// know that this instance is leaving; the rest is for its requests.
	leaveShare = 0.5
)

// app is one entry instance.
type app struct {
	settings *setup.Settings
	front    *front.Front
	watch    *watch.Watch
	beat     *beat.Beat
	poll     *poll.Poll
	quota    *quota.Quota
	infer    *infer.Server
	strikes  *infer.Strikes
	listed   *listed.Listed
	link     *link.Server
}

// run serves until ctx ends, then shuts down gracefully.
func (a *app) run(ctx context.Context) error {
	l, err := boot.Listen(ctx, "listen.http", a.settings.Listen.HTTP)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	for _, f := range []func(context.Context){
		a.watch.Run, a.watch.RunPeers, a.beat.Run, a.poll.Run, a.quota.Run, a.infer.Run, a.strikes.Run,
		a.listed.Run,
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			f(duties)
		}()
	}
	server := a.front.Server()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	klog.InfoS("serving", "name", a.settings.Name, "http", l.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return a.stop(context.WithoutCancel(ctx), server)
}

// stop leaves the address answers, serves until the cached ones have run out,
// and finishes what is in progress.
func (a *app) stop(ctx context.Context, server *http.Server) error {
	klog.InfoS("leaving", "name", a.settings.Name)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.settings.Stop.Grace))
	defer cancel()
	a.beat.Leave()
	a.front.Leave()
	a.left(ctx)
	clock.Sleep(ctx, time.Duration(a.settings.Address.Life))
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		_ = server.Close()
		return fmt.Errorf("requests were cut at the end of stop.grace: %w", err)
	}
	if err != nil {
		return fmt.Errorf("stop serving: %w", err)
	}
	klog.InfoS("stopped", "name", a.settings.Name)
	return nil
}

// left waits until no other instance gives this one's address any more.
func (a *app) left(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(a.settings.Stop.Grace)*leaveShare))
	defer cancel()
	for ctx.Err() == nil && !a.beat.Left() {
		clock.Sleep(ctx, leavePoll)
	}
}
