//go:build wireinject

package main

import (
	"context"
	"log/slog"

	"github.com/google/wire"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/platform"
)

func buildApp(ctx context.Context, s *conf.Settings) (*app, func(), error) {
	wire.Build(
		meter.New,
		clock.System,
		store.New,
		loadKeys,
		newLinks,
		linkServer,
		newNode,
		wire.Bind(new(node.Log), new(*node.Node)),
		lead.NewNativeClient,
		wire.Bind(new(lead.EngineClient), new(lead.NativeClient)),
		lead.New,
		newAPI,
		newApp,
	)
	return nil, nil, nil
}

// buildPlatformApp makes a keeper on a platform.
func buildPlatformApp(s *platform.Settings, a metricsSetting, m *meter.Registry, l *slog.Logger) (*platformApp, func(), error) {
	wire.Build(
		clock.System, store.New,
		newUnauthenticatedKeys, platformConf, newPlatformNode, newKeeperClient, newPlatformClient, newConnPool, newPlatformApp,
		newLinks, linkServer,
		wire.Bind(new(node.Log), new(*node.Node)),
		wire.Bind(new(lead.EngineClient), new(*platform.Client)),
		lead.New,
	)
	return nil, nil, nil
}

// buildForwardingApp makes a keeper without a disk.
func buildForwardingApp(s *platform.Settings, a metricsSetting, m *meter.Registry, l *slog.Logger) (*platformApp, func(), error) {
	wire.Build(newUnauthenticatedKeys, newKeeperClient, newLinks, newForwardingApp)
	return nil, nil, nil
}
