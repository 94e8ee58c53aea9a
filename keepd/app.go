package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
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

// newApp binds the addresses: the links are served once the handlers are
// there. The clean-up ends the links.
func newApp(s *conf.Settings, server *link.Server, l *lead.Lead, n *node.Node, api *serve.API, t tlsConfig) (*app, func(), error) {
	serve.Register(server, l)
	_, closeLink, err := server.Listen(s.Listen.Link, t)
	if err != nil {
		return nil, nil, boot.Fail(boot.ExitAddress, err)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.Listen.HTTP)
	if err != nil {
		closeLink()
		return nil, nil, boot.Fail(boot.ExitAddress, fmt.Errorf("listen on %s: %w", s.Listen.HTTP, err))
	}
	a := &app{
		lead: l, member: n, listener: listener,
		http: &http.Server{Handler: api.Handler(), ReadHeaderTimeout: headerTimeout},
	}
	return a, closeLink, nil
}

// run serves until ctx ends or the member fails.
func (a *app) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { a.lead.Run(ctx) })
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
