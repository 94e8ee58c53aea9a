package main

import (
	"crypto/tls"
	"fmt"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
	"verbenahaven.example/keepd/serve"
)

// links is the server for requests from other instances. It closes only after
// the member has handed over its leadership, which needs the replies of its
// peers.
type links struct {
	server *link.Server
	close  func()
}

func newLinks(m *meter.Registry) (*links, func()) {
	l := &links{server: link.NewServer(m), close: func() {}}
	return l, func() { l.close() }
}

func linkServer(l *links) *link.Server {
	return l.server
}

// tlsConfig is the TLS configuration of links.
type tlsConfig = *tls.Config

func loadKeys(s *conf.Settings) (tlsConfig, error) {
	t, err := keys.Load(s.Keys)
	if err != nil {
		return nil, boot.WithExitCode(boot.ExitSettings, err)
	}
	return t, nil
}

func newNode(s *conf.Settings, st *store.Store, server *link.Server, t tlsConfig, c clock.Clock, m *meter.Registry) (*node.Node, func(), error) {
	n, cleanup, err := node.New(node.Settings{
		Name:                s.Name,
		Folder:              s.Folder,
		Peers:               s.Peers,
		InitialVoters:       s.Group.Voters,
		Spares:              s.Group.Spares,
		Level:               store.Level,
		HeartbeatInterval:   time.Duration(s.Group.Heartbeat),
		ElectionTimeout:     time.Duration(s.Group.Election),
		ReplaceAfter:        time.Duration(s.Group.ReplaceAfter),
		CommandsPerSnapshot: s.Group.SnapshotCommands,
		DiskBytes:           s.Group.DiskBytes,
		MemoryBytes:         s.Group.MemoryBytes,
	}, st, server, t, c, m)
	if err != nil {
		return nil, nil, folderError(fmt.Errorf("start member: %w", err))
	}
	return n, cleanup, nil
}

func newAPI(s *conf.Settings, n node.Log, st *store.Store, l *lead.Leader, m *meter.Registry, t tlsConfig) (*serve.API, func()) {
	return serve.New(s, n, st, l, m, t)
}
