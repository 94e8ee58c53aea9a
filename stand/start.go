package main

import (
	"context"
	"fmt"

	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
	"verbenahaven.example/stand/infer"
	"verbenahaven.example/stand/plain"
	"verbenahaven.example/stand/proxy"
	"verbenahaven.example/stand/store"
)

// Types of fault targets.
const (
	typeEngine = "engine"
	typePlain  = "plain"
	typeProxy  = "proxy"
)

// cleanupStack holds clean-up functions, which run in reverse order.
type cleanupStack []func()

func (s *cleanupStack) push(f func()) {
	*s = append(*s, f)
}

func (s *cleanupStack) run() {
	for i := len(*s) - 1; i >= 0; i-- {
		(*s)[i]()
	}
}

// start starts all configured servers, the control API last, and returns the
// function that stops them.
func start(ctx context.Context, s *config.Settings) (func(), error) {
	var cleanups cleanupStack
	c := newControl()
	steps := []func() (func(), error){
		func() (func(), error) { return startPlatform(ctx, s) },
		func() (func(), error) { return startEngines(ctx, s, c) },
		func() (func(), error) { return startPlains(ctx, s, c) },
		func() (func(), error) { return startProxies(ctx, s, c) },
		func() (func(), error) { return startControl(ctx, s, c) },
	}
	for _, step := range steps {
		cleanup, err := step()
		cleanups.push(cleanup)
		if err != nil {
			cleanups.run()
			return nil, err
		}
	}
	return cleanups.run, nil
}

func startPlatform(ctx context.Context, s *config.Settings) (func(), error) {
	var cleanups cleanupStack
	if s.List.Listen != "" {
		cleanup, err := store.NewList(s.List).Listen(ctx)
		if err != nil {
			return cleanups.run, fmt.Errorf("start: %w", err)
		}
		cleanups.push(cleanup)
	}
	if s.Weights.Listen != "" {
		cleanup, err := store.NewWeights(s.Weights).Listen(ctx)
		if err != nil {
			return cleanups.run, fmt.Errorf("start: %w", err)
		}
		cleanups.push(cleanup)
	}
	return cleanups.run, nil
}

func startEngines(ctx context.Context, s *config.Settings, c *control) (func(), error) {
	var cleanups cleanupStack
	weights := ""
	if s.Weights.Listen != "" {
		weights = "http://" + s.Weights.Listen
	}
	for _, v := range s.Engines {
		e, stop := infer.New(ctx, v, weights)
		cleanups.push(stop)
		cleanup, err := e.Listen(ctx)
		if err != nil {
			return cleanups.run, fmt.Errorf("start: %w", err)
		}
		cleanups.push(cleanup)
		c.add(v.Name, typeEngine, e, e.History())
	}
	return cleanups.run, nil
}

func startPlains(ctx context.Context, s *config.Settings, c *control) (func(), error) {
	var cleanups cleanupStack
	for _, v := range s.Plains {
		p := plain.New(v)
		cleanup, err := p.Listen(ctx)
		if err != nil {
			return cleanups.run, fmt.Errorf("start: %w", err)
		}
		cleanups.push(cleanup)
		c.add(v.Name, typePlain, p, p.History())
	}
	return cleanups.run, nil
}

func startProxies(ctx context.Context, s *config.Settings, c *control) (func(), error) {
	var cleanups cleanupStack
	for _, v := range s.Proxies {
		injector, cleanup, err := startProxy(ctx, v)
		if err != nil {
			return cleanups.run, fmt.Errorf("start: %w", err)
		}
		cleanups.push(cleanup)
		c.add(v.Name, typeProxy, injector, nil)
	}
	return cleanups.run, nil
}

func startProxy(ctx context.Context, v config.Proxy) (faultInjector, func(), error) {
	if v.Kind == config.ProxyUDP {
		return startUDP(ctx, v)
	}
	p, cleanup, err := proxy.NewTCP(ctx, v)
	if err != nil {
		return nil, nil, fmt.Errorf("start proxy: %w", err)
	}
	return p, cleanup, nil
}

func startUDP(ctx context.Context, v config.Proxy) (faultInjector, func(), error) {
	p, cleanup, err := proxy.NewUDP(ctx, v)
	if err != nil {
		return nil, nil, fmt.Errorf("start proxy: %w", err)
	}
	return p, cleanup, nil
}

func startControl(ctx context.Context, s *config.Settings, c *control) (func(), error) {
	h := c.handler()
	_, cleanup, err := gate.Serve(ctx, s.Control.HTTP, h)
	if err != nil {
		return func() {}, fmt.Errorf("start control: %w", err)
	}
	return cleanup, nil
}
