package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/drain"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
)

const (
	headerTimeout = 5 * time.Second
	// maxOperatorStopTimeout bounds the wait for operators' calls in a shutdown.
	maxOperatorStopTimeout = 5 * time.Second
)

// operatorStopTimeout returns how long a shutdown waits for operators' calls. The rest of
// the grace is for the hand-over of the leadership.
func operatorStopTimeout(b *exit.Bound) time.Duration {
	return min(maxOperatorStopTimeout, b.Grace()/2)
}

// app is a stand-alone keepd, configured by a settings file.
type app struct {
	lead     *lead.Leader
	node     *node.Node
	listener net.Listener
	http     *drain.Server
}

// newApp registers the handlers and then opens the listeners: links must not be
// served before all handlers are registered.
func newApp(ctx context.Context, s *conf.Settings, k *links, l *lead.Leader, n *node.Node, api *serve.API, m *meter.Registry, t tlsConfig) (*app, error) {
	serve.Register(k.server, l)
	peers := slices.Sorted(maps.Keys(s.Peers))
	k.server.Allow(proto.KindRaft, peers...)
	k.server.Allow(proto.KindRun, peers...)
	_, closeLinks, err := k.server.Listen(s.Listen.Link, t)
	if err != nil {
		return nil, fmt.Errorf("serve links: %w", boot.ListenError("listen.link", s.Listen.Link, err))
	}
	k.close = closeLinks
	listener, err := boot.Listen(ctx, "listen.http", s.Listen.HTTP)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return &app{
		lead: l, node: n, listener: listener,
		http: newOperatorServer(api.Handler(), newIntake(s.Group.MemoryBytes, 0, m)),
	}, nil
}

// run serves until ctx ends, the member of the log fails or the HTTP server
// fails. It cancels ctx when it begins to stop.
func (a *app) run(ctx context.Context, cancel context.CancelFunc, stopTimeout time.Duration) error {
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { a.lead.Serve(ctx) })
	group.Go(func() {
		if err := a.http.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("HTTP server failed: %v", err)
			cancel()
		}
	})
	select {
	case <-ctx.Done():
	case <-a.node.Done():
		cancel()
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelShutdown()
	if err := a.http.Stop(shutdownCtx); err != nil {
		klog.Warningf("HTTP server not stopped cleanly: %v", err)
	}
	group.Wait()
	if err := a.node.Err(); err != nil {
		return fmt.Errorf("member failed: %w", err)
	}
	return nil
}

// refuseUntilWritable refuses operators' calls until writes to the data folder succeed, or
// ctx ends.
func refuseUntilWritable(ctx context.Context, s *conf.Settings) error {
	l, err := boot.Listen(ctx, "listen.http", s.Listen.HTTP)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	server := newIntake(s.Group.MemoryBytes, 0, meter.New()).Guard(newHTTPServer(http.HandlerFunc(serve.RefuseWithoutDisk)))
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
	waitWritable(ctx, s.Folder)
	_ = server.Close()
	group.Wait()
	return nil
}

// folderError attaches the exit code for an unusable data folder to errors of
// the file system.
func folderError(err error) error {
	var pathErr *os.PathError
	var syscallErr *os.SyscallError
	var errno syscall.Errno
	if errors.As(err, &pathErr) || errors.As(err, &syscallErr) || errors.As(err, &errno) {
		return boot.WithExitCode(boot.ExitFolder, err)
	}
	return err
}
