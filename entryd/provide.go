package main

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/intake"
	"verbenahaven.example/core/conn/keeper"
	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/beat"
	"verbenahaven.example/entryd/front"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/listed"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/poll"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/entryd/watch"
)

func provideTLS(s *setup.Settings) (*tls.Config, error) {
	c, err := keys.Load(s.Keys)
	if err != nil {
		return nil, boot.WithExitCode(boot.ExitSettings, fmt.Errorf("keys: %w", err))
	}
	return c, nil
}

func provideKeeper(s *setup.Settings, c *tls.Config) (proto.Keeper, func()) {
	return keeper.New(s.Keepers, c)
}

func provideBalancer(s *setup.Settings) *picker.Balancer {
	return picker.New(s.Name, s.Centre, s.Route.Policy)
}

func provideStrikes(s *setup.Settings, k proto.Keeper, m *meter.Registry) *infer.Strikes {
	return infer.NewStrikes(k, m, s.Strike.Limit)
}

func provideRetry(s *setup.Settings) retry.Policy {
	return retry.NewPolicy(s.Retry.Share, time.Duration(s.Retry.Backoff))
}

// answerShare is the part of the memory that answers may take together. The Go runtime may
// use twice the live heap, and requests and the rest of the process need room.
const answerShare = 6

// provideAnswers returns the memory for answers, of which broken servers send as much as is
// read.
func provideAnswers(s *setup.Settings) *body.Budget {
	return body.NewBudget(cmp.Or(s.Memory.Bytes, boot.MachineMemory()) / answerShare)
}

// provideIntake returns the bounds on what the instance holds for callers.
func provideIntake(s *setup.Settings, m *meter.Registry) *intake.Intake {
	return intake.New(intake.NewLimits(cmp.Or(s.Memory.Bytes, boot.MachineMemory()), boot.Descriptors()), m)
}

func provideInfer(s *setup.Settings, r retry.Policy, b *body.Budget) infer.Settings {
	return infer.Settings{SilenceTimeout: time.Duration(s.Retry.Silence), Retry: r, Answers: b}
}

// provideHolder identifies the holder of run-once calls by instance name and
// start time, so that a restarted instance doesn't hold its earlier calls.
func provideHolder(s *setup.Settings, c clock.Clock) beat.Holder {
	return beat.Holder(s.Name + "/" + strconv.FormatInt(c.Now().UnixNano(), 36))
}

func providePlain(h beat.Holder, r retry.Policy, b *body.Budget) plain.Settings {
	return plain.Settings{Holder: string(h), Retry: r, Answers: b}
}

func provideFront(s *setup.Settings) front.Settings {
	return front.Settings{
		Name:           s.Name,
		Centre:         s.Centre,
		AddressTTL:     time.Duration(s.Address.Life),
		MaxAddresses:   s.Address.Count,
		MaxBodyBytes:   s.Body.Bytes,
		MaxHeaderBytes: s.Body.Header,
		ReadTimeout:    time.Duration(s.Body.Read),
	}
}

func provideWatch(s *setup.Settings) watch.Settings {
	return watch.Settings{Name: s.Name, Fanout: s.Route.Fanout, StaleAfter: time.Duration(s.Route.Stale)}
}

func providePoll(s *setup.Settings, b *body.Budget) poll.Settings {
	return poll.Settings{
		Period:       time.Duration(s.Route.Report),
		MaxPerSecond: s.Route.Polls,
		Timeout:      time.Duration(s.Retry.Silence),
		Policy:       s.Route.Policy,
		Answers:      b,
	}
}

func provideQuota(
	s *setup.Settings, k proto.Keeper, g *picker.Balancer, m *meter.Registry, c clock.Clock,
) *quota.Quota {
	return quota.New(s.Name, k, g, m, c)
}

func provideMember(s *setup.Settings) state.Member {
	return state.Member{
		Name:        s.Name,
		Kind:        state.MemberEntry,
		URL:         "http://" + s.Listen.HTTP,
		LinkAddress: s.Listen.Link,
		Centre:      s.Centre,
		Phase:       state.PhaseServing,
	}
}

func provideListed(s *setup.Settings, g *picker.Balancer, m *meter.Registry) *listed.Listed {
	return listed.New(s.Platform.List, g, m)
}

// provideLink starts the server for connections from other instances.
func provideLink(s *setup.Settings, c *tls.Config, w *watch.Watch, m *meter.Registry) (*link.Server, func(), error) {
	l := link.NewServer(m)
	w.Register(l)
	_, cleanup, err := l.Listen(s.Listen.Link, c)
	if err != nil {
		return nil, nil, fmt.Errorf("serve links: %w", boot.ListenError("listen.link", s.Listen.Link, err))
	}
	return l, cleanup, nil
}
