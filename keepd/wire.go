//go:build wireinject

package main

import (
	"github.com/google/wire"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
)

func setup(s *conf.Settings) (*app, func(), error) {
	wire.Build(
		meter.New,
		clock.System,
		store.New,
		loadKeys,
		link.NewServer,
		newNode,
		wire.Bind(new(node.Log), new(*node.Node)),
		lead.New,
		newAPI,
		newApp,
	)
	return nil, nil, nil
}
