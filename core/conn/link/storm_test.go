package link_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
)

const (
	// handshakeCost is the time that a handshake takes of the slow server's only processor.
	handshakeCost = 10 * time.Millisecond
	// stormClients need 2 s of that processor.
	stormClients = 200
	// recoveryTarget is the platform's limit for a fleet of this size to serve again.
	recoveryTarget = 15 * time.Second
)

func isolatedConfig(t *testing.T, name string) *tls.Config {
	t.Helper()
	c, err := keys.UnauthenticatedConfig(name)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startSlowServer starts a server that makes one handshake after the other, as one with a
// slow processor does.
func startSlowServer(t *testing.T, cost time.Duration, preferred netip.Addr) (address string, handshakes *atomic.Int64) {
	t.Helper()
	handshakes = new(atomic.Int64)
	config := isolatedConfig(t, "keep1")
	var processor sync.Mutex
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		processor.Lock()
		defer processor.Unlock()
		time.Sleep(cost)
		handshakes.Add(1)
		return nil, nil //nolint:nilnil // the server's own configuration
	}
	s := link.NewServer(meter.New())
	link.Handle(s, "echo", func(_ context.Context, peer string, p ping) (ping, error) {
		return ping{Text: peer + " " + p.Text}, nil
	})
	s.Prefer(func(a netip.Addr) bool { return a == preferred })
	a, cleanup, err := s.Listen("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return a.String(), handshakes
}

// callUntilServed repeats a call as callers of a leader do, and returns the number of
// failed ones.
func callUntilServed(ctx context.Context, c *link.Client) (failed int, err error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		_, err := link.Call[ping, ping](attempt, c, "echo", ping{Text: "x"})
		cancel()
		if err == nil {
			return failed, nil
		}
		if ctx.Err() != nil {
			return failed, fmt.Errorf("%d calls failed, the last: %w", failed, err)
		}
		failed++
		time.Sleep(50 * time.Millisecond)
	}
}

// startStorm makes many clients call a server until each is served once, and returns a
// function that waits for them.
func startStorm(ctx context.Context, t *testing.T, address string, clients int) (wait func() (unserved, failed int, last error)) {
	t.Helper()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var unserved, failed int
	var last error
	for i := range clients {
		c, cleanup := link.NewClient(address, isolatedConfig(t, fmt.Sprintf("entry%d", i)))
		t.Cleanup(cleanup)
		group.Go(func() {
			n, err := callUntilServed(ctx, c)
			mutex.Lock()
			defer mutex.Unlock()
			failed += n
			if err != nil {
				unserved, last = unserved+1, err
			}
		})
	}
	return func() (int, int, error) {
		group.Wait()
		return unserved, failed, last
	}
}

// Clients gave up handshakes that the server went on with, and began new ones, so that none ended.
func TestSlowServerConnectsAllClients(t *testing.T) {
	address, _ := startSlowServer(t, handshakeCost, netip.Addr{})
	ctx, cancel := context.WithTimeout(t.Context(), recoveryTarget)
	defer cancel()
	began := time.Now()
	unserved, failed, err := startStorm(ctx, t, address, stormClients)()
	if unserved > 0 {
		t.Fatalf("%d of %d clients not served in %v, %d calls failed: %v", unserved, stormClients, recoveryTarget, failed, err)
	}
	t.Logf("all served after %v, %d calls failed", time.Since(began), failed)
}

// A voter waited behind the clients of a keeper that it had to reach for an election.
func TestVoterConnectsBesideManyClients(t *testing.T) {
	const (
		electionTimeout = 600 * time.Millisecond
		cost            = 25 * time.Millisecond
		clients         = 64 // few enough to take little of the test's own processor
	)
	voter := netip.MustParseAddr("127.0.0.2")
	address, handshakes := startSlowServer(t, cost, voter)
	ctx, cancel := context.WithTimeout(t.Context(), recoveryTarget)
	defer cancel()
	wait := startStorm(ctx, t, address, clients)
	for range 6 {
		time.Sleep(cost * clients / 10)
		before := handshakes.Load()
		c, cleanup := link.NewUrgentClient(address, isolatedConfig(t, "keep2"), voter)
		if _, err := callUntilServed(ctx, c); err != nil {
			t.Error(err)
		}
		cleanup()
		// Counted in the server's work, as the clients take time of the test's own processor.
		if n := handshakes.Load() - before; n > int64(electionTimeout/cost) {
			t.Errorf("connected after %d handshakes, more than the server makes in an election timeout", n)
		}
	}
	if unserved, _, err := wait(); unserved > 0 {
		t.Errorf("%d clients not served: %v", unserved, err)
	}
}
