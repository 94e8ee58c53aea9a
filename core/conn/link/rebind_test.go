package link_test

import (
	"context"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/meter"
)

// TestClosedServersFreeTheirAddress checks that Listen's clean-up frees the address
// at once, even while clients are connected, so that another server can use it.
func TestClosedServersFreeTheirAddress(t *testing.T) {
	folder := newFleetKeys(t, "keep1", "entry1")
	server, peer := loadTLSConfig(t, folder, "keep1"), loadTLSConfig(t, folder, "entry1")
	address := "127.0.0.1:0"
	for range 20 {
		s := link.NewServer(meter.New())
		link.Handle(s, "hang", func(ctx context.Context, _ string, _ ping) (ping, error) {
			<-ctx.Done()
			return ping{}, &link.RemoteError{Code: link.CodeInternal}
		})
		bound, closeServer, err := s.Listen(address, server)
		if err != nil {
			t.Fatal(err)
		}
		address = bound.String()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		c, closeClient := link.NewClient(address, peer)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = link.Call[ping, ping](ctx, c, "hang", ping{}) // fails when the server closes
		}()
		time.Sleep(20 * time.Millisecond)
		closeServer()
		cancel()
		<-done
		closeClient()
	}
}
