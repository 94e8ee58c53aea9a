//go:build wireinject

package main

import (
	"context"
	"log/slog"

	"github.com/google/wire"

	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/broker"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/poll"
	"verbenahaven.example/entryd/relay"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/entryd/trail"
	"verbenahaven.example/entryd/watch"
	"verbenahaven.example/platform"
)

// build makes an entry instance and its clean-up.
func build(s *setup.Settings, b *exit.Bound) (*app, func(), error) {
	wire.Build(
		clock.System, meter.New, view.New, trail.New, pool.New,
		provideTLS, provideKeeper, provideBalancer, provideStrikes, provideRetry, provideAnswers, provideIntake, provideInfer, provideHolder, providePlain,
		provideFront, provideWatch, providePoll, provideQuota, provideMember, provideLink, provideListed,
		slog.Default, screen.New, infer.New, plain.New, watch.New, beat.New, poll.New, front.New,
		wire.Bind(new(front.Lease), new(*beat.Beat)),
		wire.Bind(new(watch.Subscriber), new(*picker.Balancer)),
		wire.Bind(new(screen.Snapshots), new(*picker.Balancer)),
		wire.Bind(new(beat.Traffic), new(*picker.Balancer)),
		wire.Struct(new(app), "*"),
	)
	return nil, nil, nil
}

// buildSite makes an entry instance on a platform and its clean-up.
func buildSite(ctx context.Context, s *platform.Settings, m metricsSetting) (*site, func(), error) {
	wire.Build(
		clock.System, meter.New, view.New,
		siteLog, siteKeys, siteKeeper, siteBudget, siteBroker, siteFleet, siteRelay, siteWatch, siteMember, siteLink, siteHolder,
		sitePool, siteTally, newLeaving, newSite,
		watch.New, beat.New, screen.New,
		wire.Bind(new(proto.Keeper), new(*keeper.Client)),
		wire.Bind(new(screen.Snapshots), new(*relay.Fleet)),
		wire.Bind(new(watch.Subscriber), new(*relay.Fleet)),
		wire.Bind(new(beat.Traffic), new(*relay.Fleet)),
		wire.Bind(new(relay.Broker), new(*broker.Conn)),
	)
	return nil, nil, nil
}
