package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/stand/config"
)

const noReplyWait = 100 * time.Millisecond

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, p *TCP) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a byte and reports whether it comes back in time.
func roundTrip(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	return receiveByte(c, limit)
}

func receiveByte(c net.Conn, limit time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	return err == nil
}

func TestTCP(t *testing.T) {
	p, cleanup, err := NewTCP(context.Background(), config.Proxy{Listen: "127.0.0.1:0", Target: startEcho(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	fault := func(k inject.FaultKind, value string) {
		if err := p.InjectFault(inject.Fault{Kind: k, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	a := dial(t, p)
	if !roundTrip(t, a, time.Second) {
		t.Fatal("byte wasn't forwarded")
	}
	for _, k := range []inject.FaultKind{inject.Partition, inject.PartitionUp, inject.PartitionDown} {
		fault(k, "")
		if roundTrip(t, a, noReplyWait) {
			t.Fatalf("%s: a byte was forwarded during the partition", k)
		}
		fault(inject.ClearFaults, "")
		if !receiveByte(a, time.Second) {
			t.Fatalf("%s: the byte was lost", k)
		}
	}
	fault(inject.Delay, "50ms")
	start := time.Now()
	if !roundTrip(t, a, time.Second) || time.Since(start) < 100*time.Millisecond {
		t.Fatalf("delay: byte came back after %s, want 100ms or more", time.Since(start))
	}
	fault(inject.ClearFaults, "")
	fault(inject.StallConns, "")
	if roundTrip(t, a, noReplyWait) {
		t.Fatal("a stalled connection forwards")
	}
	b := dial(t, p)
	if !roundTrip(t, b, time.Second) {
		t.Fatal("a new connection doesn't forward")
	}
	fault(inject.ResetConns, "")
	if roundTrip(t, b, time.Second) {
		t.Fatal("a reset connection forwards")
	}
}

func TestUDP(t *testing.T) {
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() {
		b := make([]byte, 64)
		for {
			n, from, err := server.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(b[:n], from)
		}
	}()
	p, cleanup, err := NewUDP(context.Background(), config.Proxy{Listen: "127.0.0.1:0", Target: server.LocalAddr().String(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	newClient := func() net.Conn {
		c, err := net.Dial("udp", p.socket.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := newClient()
	if !roundTrip(t, c, time.Second) {
		t.Fatal("byte wasn't forwarded")
	}
	for _, f := range []inject.Fault{{Kind: inject.PartitionDown}, {Kind: inject.PacketLoss, Value: "1"}} {
		_ = p.InjectFault(f)
		if roundTrip(t, c, noReplyWait) {
			t.Fatalf("%s: a packet was forwarded during the fault", f.Kind)
		}
		_ = p.InjectFault(inject.Fault{Kind: inject.ClearFaults})
		if receiveByte(c, noReplyWait) || !roundTrip(t, c, time.Second) {
			t.Fatalf("%s: after the fault was cleared, a lost packet arrived or a new one didn't", f.Kind)
		}
	}
	_ = p.InjectFault(inject.Fault{Kind: inject.StallConns})
	if roundTrip(t, c, noReplyWait) || !roundTrip(t, newClient(), time.Second) {
		t.Fatal("only flows open before the fault must stall")
	}
}
