//go:build wireinject

package main

import (
	"github.com/google/wire"

	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/poll"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/entryd/trail"
	"verbenahaven.example/entryd/watch"
)

// build makes an entry instance and its clean-up.
func build(s *setup.Settings) (*app, func(), error) {
	wire.Build(
		clock.System, meter.New, view.New, trail.New, pool.New,
		provideTLS, provideKeeper, provideGuide, provideStrikes, provideRetry, provideInfer, provideHolder, providePlain,
		provideFront, provideWatch, providePoll, provideQuota, provideMember, provideLink, provideListed,
		infer.New, plain.New, watch.New, beat.New, poll.New, front.New,
		wire.Bind(new(front.Lease), new(*beat.Beat)),
		wire.Struct(new(app), "*"),
	)
	return nil, nil, nil
}
