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

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 5 * time.Second
)

// app is a keepd that is ready to run.
type app struct {
	lead     *lead.Lead
	member   *node.Node
	listener net.Listener
	http     *http.Server
}

// newApp binds the addresses. The links are served once all handlers are
// there.
func newApp(ctx context.Context, s *conf.Settings, k *links, l *lead.Lead, n *node.Node, api *serve.API, t tlsConfig) (*app, error) {
	serve.Register(k.server, l)
	peers := slices.Sorted(maps.Keys(s.Peers))
	k.server.Allow(proto.KindRaft, peers...)
	k.server.Allow(proto.KindRun, peers...)
	_, closeLinks, err := k.server.Listen(s.Listen.Link, t)
	if err != nil {
		return nil, fmt.Errorf("serve links: %w", boot.Unlistened("listen.link", s.Listen.Link, err))
	}
	k.close = closeLinks
	listener, err := boot.Listen(ctx, "listen.http", s.Listen.HTTP)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return &app{
		lead: l, member: n, listener: listener,
		http: &http.Server{Handler: api.Handler(), ReadHeaderTimeout: headerTimeout},
	}, nil
}

// run serves until ctx ends or the member fails.
func (a *app) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { a.lead.Serve(ctx) })
	group.Go(func() {
		if err := a.http.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.Errorf("serve HTTP: %v", err)
			cancel()
		}
	})
	select {
	case <-ctx.Done():
	case <-a.member.Done():
		cancel()
	}
	grace, end := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer end()
	if err := a.http.Shutdown(grace); err != nil {
		klog.Warningf("stop HTTP: %v", err)
	}
	group.Wait()
	if err := a.member.Err(); err != nil {
		return fmt.Errorf("member failed: %w", err)
	}
	return nil
}

// folderError maps a failure to use the data folder to its exit code.
func folderError(err error) error {
	var path *os.PathError
	var call *os.SyscallError
	var number syscall.Errno
	if errors.As(err, &path) || errors.As(err, &call) || errors.As(err, &number) {
		return boot.Fail(boot.ExitFolder, err)
	}
	return err
}
