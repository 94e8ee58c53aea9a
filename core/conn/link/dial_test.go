package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

// After a power loss instances call keepers that don't listen yet. They must be
// reached soon after they do, not when QUIC repeats its first packet again.
func TestPeerThatListensLaterIsReachedSoon(t *testing.T) {
	reserved, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := reserved.LocalAddr().String()
	config, err := keys.UnauthenticatedConfig("peer")
	if err != nil {
		t.Fatal(err)
	}
	client, closeClient := link.NewClient(address, config)
	defer closeClient()
	type message struct {
		Text string `cbor:"1,keyasint"`
	}
	answered := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() {
		_, err := link.Call[message, message](ctx, client, "echo", message{"x"})
		answered <- err
	}()
	time.Sleep(700 * time.Millisecond) // the first packet and its first repetitions are lost
	_ = reserved.Close()
	server := link.NewServer(meter.New())
	link.Handle(server, "echo", func(_ context.Context, _ string, m message) (message, error) { return m, nil })
	_, closeServer, err := server.Listen(address, config)
	if err != nil {
		t.Fatal(err)
	}
	defer closeServer()
	listening := time.Now()
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
	if d := time.Since(listening); d > 400*time.Millisecond {
		t.Fatalf("answered %v after the peer began to listen", d)
	}
}
