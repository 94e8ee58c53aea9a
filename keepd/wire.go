//go:build wireinject

package main

import (
	"context"

	"github.com/google/wire"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/platform"
)

func setup(ctx context.Context, s *conf.Settings) (*app, func(), error) {
	wire.Build(
		meter.New,
		clock.System,
		store.New,
		loadKeys,
		newLinks,
		serverOf,
		newNode,
		wire.Bind(new(node.Log), new(*node.Node)),
		lead.NewNative,
		wire.Bind(new(lead.Engines), new(lead.Native)),
		lead.New,
		newAPI,
		newApp,
	)
	return nil, nil, nil
}

// buildSite makes a keeper on a platform.
func buildSite(s *platform.Settings, m metricsSetting) (*site, func(), error) {
	wire.Build(
		meter.New, clock.System, store.New,
		siteLog, siteKeys, siteConf, siteNode, siteClient, siteEngines, sitePool, newSite,
		newLinks, serverOf,
		wire.Bind(new(node.Log), new(*node.Node)),
		wire.Bind(new(lead.Engines), new(*platform.Client)),
		lead.New,
	)
	return nil, nil, nil
}

// buildPass makes a keeper without a disk.
func buildPass(s *platform.Settings, m metricsSetting) (*site, func(), error) {
	wire.Build(meter.New, siteLog, siteKeys, siteClient, newPass)
	return nil, nil, nil
}
