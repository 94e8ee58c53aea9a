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
		lead.New,
		newAPI,
		newApp,
	)
	return nil, nil, nil
}
