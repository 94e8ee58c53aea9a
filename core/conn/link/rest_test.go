package link

import (
	"context"
	"net"
	"testing"
	"time"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

// A pause that had grown long before delayed the first call to a keeper that was elected since.
func TestPeerUncalledForLongIsReachedAtOnce(t *testing.T) {
	config, err := keys.UnauthenticatedConfig("peer")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(meter.New())
	Handle(s, "echo", func(_ context.Context, _ string, text string) (string, error) { return text, nil })
	address, closeServer, err := s.Listen("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	defer closeServer()
	c, closeClient := NewClient(address.(*net.UDPAddr).String(), config)
	defer closeClient()
	for range 20 {
		c.record(dialUnanswered)
	}
	time.Sleep(maxDialPause * 3 / 2)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	if _, err := Call[string, string](ctx, c, "echo", "x"); err != nil {
		t.Errorf("first call after a rest: %v", err)
	}
}
