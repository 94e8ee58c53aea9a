package link_test

import (
	"context"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/meter"
)

// TestOneWayStreamKeepsOrder sends numbers over a one-way stream and checks their
// order. Then the connection goes silent: later messages must arrive over a new
// one before the test's deadline.
func TestOneWayStreamKeepsOrder(t *testing.T) {
	const n = 500
	received := make(chan int, 2*n)
	s := link.NewServer(meter.New())
	link.Handle(s, "number", func(_ context.Context, _ string, q int) (struct{}, error) {
		received <- q
		return struct{}{}, nil
	})
	folder := newFleetKeys(t, "keep1", "keep2")
	address, cleanup, err := s.Listen("127.0.0.1:0", loadTLSConfig(t, folder, "keep1"))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	r := newUDPProxy(t, address.String())
	c, closeClient := link.NewClient(r.conn.LocalAddr().String(), loadTLSConfig(t, folder, "keep2"))
	defer closeClient()
	p := c.OneWayStream("number")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for i := range n {
		if err := p.Send(ctx, i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range n {
		select {
		case q := <-received:
			if q != i {
				t.Fatalf("got %d, want %d", q, i)
			}
		case <-ctx.Done():
			t.Fatalf("only %d arrived", i)
		}
	}
	r.dropKnownClients()
	for i := n; ; i++ {
		_ = p.Send(ctx, i)
		select {
		case <-received:
			return
		case <-ctx.Done():
			t.Fatal("nothing arrives after the silent connection")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
