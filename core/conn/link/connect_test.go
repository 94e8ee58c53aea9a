package link_test

import (
	"context"
	"testing"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

func BenchmarkConnect(b *testing.B) {
	config, err := keys.UnauthenticatedConfig("x")
	if err != nil {
		b.Fatal(err)
	}
	s := link.NewServer(meter.New())
	link.Handle(s, "echo", func(_ context.Context, _ string, p ping) (ping, error) { return p, nil })
	a, cleanup, err := s.Listen("127.0.0.1:0", config)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	for b.Loop() {
		c, closeClient := link.NewClient(a.String(), config)
		if _, err := link.Call[ping, ping](b.Context(), c, "echo", ping{}); err != nil {
			b.Fatal(err)
		}
		closeClient()
	}
}
