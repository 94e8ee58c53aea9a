package link_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
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
func startSlowServer(t *testing.T) string {
	t.Helper()
	config := isolatedConfig(t, "keep1")
	var processor sync.Mutex
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		processor.Lock()
		defer processor.Unlock()
		time.Sleep(handshakeCost)
		return nil, nil //nolint:nilnil // the server's own configuration
	}
	s := link.NewServer(meter.New())
	link.Handle(s, "echo", func(_ context.Context, peer string, p ping) (ping, error) {
		return ping{Text: peer + " " + p.Text}, nil
	})
	address, cleanup, err := s.Listen("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return address.(*net.UDPAddr).String()
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

// Clients gave up handshakes that the server went on with, and began new ones, so that none ended.
func TestSlowServerConnectsAllClients(t *testing.T) {
	address := startSlowServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), recoveryTarget)
	defer cancel()
	began := time.Now()
	errs := make(chan error, stormClients)
	total := 0
	var mutex sync.Mutex
	for i := range stormClients {
		c, cleanup := link.NewClient(address, isolatedConfig(t, fmt.Sprintf("entry%d", i)))
		defer cleanup()
		go func() {
			failed, err := callUntilServed(ctx, c)
			mutex.Lock()
			defer mutex.Unlock()
			total += failed
			errs <- err
		}()
	}
	var last error
	unserved := 0
	for range stormClients {
		if err := <-errs; err != nil {
			unserved, last = unserved+1, err
		}
	}
	if unserved > 0 {
		t.Fatalf("%d of %d clients not served in %v, %d calls failed: %v", unserved, stormClients, recoveryTarget, total, last)
	}
	t.Logf("all served after %v, %d calls failed", time.Since(began), total)
}
