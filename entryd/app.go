package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/drain"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/listed"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/poll"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/entryd/watch"
)

const (
	leavePollPeriod = 20 * time.Millisecond
	// leaveGraceShare is the share of stop.grace that may pass until the other
	// instances know that this one is leaving; the rest is for its requests.
	leaveGraceShare = 0.5
	// recordShare is the share of stop.grace after which outcomes of run-once calls that
	// aren't recorded are given up.
	recordShare = 0.97
)

// app is one entry instance.
type app struct {
	settings *setup.Settings
	front    *front.API
	watch    *watch.Watch
	beat     *beat.Beat
	poll     *poll.Poll
	quota    *quota.Quota
	infer    *infer.Dispatcher
	plain    *plain.Dispatcher
	strikes  *infer.Strikes
	screen   *screen.Screen
	listed   *listed.Listed
	link     *link.Server
	bound    *exit.Bound
	intake   *intake.Intake
}

// run serves until ctx ends, then shuts down gracefully.
func (a *app) run(ctx context.Context) error {
	l, err := boot.Listen(ctx, "listen.http", a.settings.Listen.HTTP)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	for _, f := range []func(context.Context){
		a.watch.Run, a.watch.RunPeers, a.beat.Run, a.poll.Run, a.quota.Run, a.infer.Run, a.strikes.Run,
		a.screen.Run, a.listed.Run,
	} {
		group.Add(1)
		go func() {
			defer group.Done()
			f(background)
		}()
	}
	calls, cut := context.WithCancelCause(background)
	defer cut(nil)
	callers := a.front.Server(calls)
	a.intake.Install(callers)
	server := drain.New(callers)
	server.Wrap(a.intake.Listener)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	klog.InfoS("serving", "name", a.settings.Name, "http", l.Addr().String())
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return a.stop(context.WithoutCancel(ctx), server, func() { cut(leave.ErrCut) })
}

// stop shuts down gracefully: it withdraws this instance from the address
// answers, serves until cached answers have expired, and finishes the requests
// in progress. Those that still run shortly before the end of the grace are cut, so that
// their callers learn whether they ran.
func (a *app) stop(ctx context.Context, server *drain.Server, cut func()) error {
	began, grace := a.bound.Begin(), time.Duration(a.settings.Stop.Grace)
	times := leave.NewSchedule(grace)
	recording, cancelRecording := context.WithDeadline(ctx, began.Add(time.Duration(recordShare*float64(grace))))
	defer cancelRecording()
	ctx, cancel := context.WithDeadline(ctx, began.Add(times.End))
	defer cancel()
	cutAt := began.Add(times.Cut)
	defer time.AfterFunc(time.Until(cutAt), cut).Stop()
	a.beat.Leave()
	a.front.BeginShutdown(cutAt)
	server.Leave()
	klog.InfoS("leaving", "name", a.settings.Name)
	a.serveCached(ctx, began.Add(times.Close))
	err := server.Stop(ctx)
	if err != nil {
		_ = server.Close()
	}
	a.plain.EndRecording(recording)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("requests were still running at the end of stop.grace: %w", err)
	}
	if err != nil {
		return fmt.Errorf("stop serving: %w", err)
	}
	klog.InfoS("stopped", "name", a.settings.Name)
	return nil
}

// serveCached waits until cached address answers have expired, at most until a time.
func (a *app) serveCached(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	a.awaitLeaveConfirmed(ctx)
	clock.Sleep(ctx, time.Duration(a.settings.Address.Life))
}

// awaitLeaveConfirmed waits until no other instance lists this one's address any
// more, at most for leaveGraceShare of the grace.
func (a *app) awaitLeaveConfirmed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(a.settings.Stop.Grace)*leaveGraceShare))
	defer cancel()
	for ctx.Err() == nil && !a.beat.LeaveConfirmed() {
		clock.Sleep(ctx, leavePollPeriod)
	}
}
