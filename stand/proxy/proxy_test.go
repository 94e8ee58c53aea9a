package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/stand/config"
)

const quiet = 100 * time.Millisecond

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// echo serves one end that sends back what it gets.
func echo(t *testing.T) string {
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

// exchange sends a byte and waits for it; false if it doesn't come in time.
func exchange(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	return receive(c, limit)
}

func receive(c net.Conn, limit time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	var b [1]byte
	_, err := io.ReadFull(c, b[:])
	return err == nil
}

func TestTCP(t *testing.T) {
	p, cleanup, err := NewTCP(context.Background(), config.Proxy{Listen: "127.0.0.1:0", Target: echo(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	fault := func(k stand.Kind, value string) {
		if err := p.Fault(stand.Fault{Kind: k, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	a := dial(t, p)
	if !exchange(t, a, time.Second) {
		t.Fatal("doesn't forward")
	}
	for _, k := range []stand.Kind{stand.Cut, stand.CutUp, stand.CutDown} {
		fault(k, "")
		if exchange(t, a, quiet) {
			t.Fatalf("%s: a byte passed", k)
		}
		fault(stand.Heal, "")
		if !receive(a, time.Second) {
			t.Fatalf("%s: the byte was lost", k)
		}
	}
	fault(stand.Delay, "50ms")
	start := time.Now()
	if !exchange(t, a, time.Second) || time.Since(start) < 100*time.Millisecond {
		t.Fatalf("delay: back after %s", time.Since(start))
	}
	fault(stand.Heal, "")
	fault(stand.Silence, "")
	if exchange(t, a, quiet) {
		t.Fatal("a silent connection forwards")
	}
	b := dial(t, p)
	if !exchange(t, b, time.Second) {
		t.Fatal("a new connection doesn't forward")
	}
	fault(stand.Reset, "")
	if exchange(t, b, time.Second) {
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
	open := func() net.Conn {
		c, err := net.Dial("udp", p.socket.LocalAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := open()
	if !exchange(t, c, time.Second) {
		t.Fatal("doesn't forward")
	}
	for _, f := range []stand.Fault{{Kind: stand.CutDown}, {Kind: stand.Drop, Value: "1"}} {
		_ = p.Fault(f)
		if exchange(t, c, quiet) {
			t.Fatalf("%s: a packet passed", f.Kind)
		}
		_ = p.Fault(stand.Fault{Kind: stand.Heal})
		if receive(c, quiet) || !exchange(t, c, time.Second) {
			t.Fatalf("%s: packets after the heal are wrong", f.Kind)
		}
	}
	_ = p.Fault(stand.Fault{Kind: stand.Silence})
	if exchange(t, c, quiet) || !exchange(t, open(), time.Second) {
		t.Fatal("silence must stop old flows only")
	}
}
