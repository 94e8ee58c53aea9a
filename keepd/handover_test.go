package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/platform"
)

// keeperOnPlatform is one of three keepers.
type keeperOnPlatform struct {
	*platformApp
	cleanup func()
	stop    context.CancelFunc
	done    chan struct{}
}

func (k *keeperOnPlatform) leads() bool {
	_, remaining := k.node.Lease()
	return remaining > 0
}

// buildKeepers makes the three keepers of a group without running them.
func buildKeepers(t *testing.T, log *slog.Logger) []*keeperOnPlatform {
	t.Helper()
	network, port := rand.IntN(100)+100, rand.IntN(8000)+21000
	address := func(i, offset int) string { return fmt.Sprintf("127.%d.8.%d:%d", network, i+1, port+offset) }
	list := make([]*keeperOnPlatform, 3)
	for i := range list {
		host, _, _ := net.SplitHostPort(address(i, 0))
		s, err := platform.Parse(fmt.Appendf(nil, `node_name = "m%d"
ip = %q
zone = "z"
internal_ports = [%d,%d]
bootstrap = true
data_dir = %q
seeds = [%q,%q,%q]
[listen]
control = %q
[fault_tolerance]
machines = 1
[bounds]
grace_s = 8
`, i, host, port, port+2, t.TempDir(), address(0, 5), address(1, 5), address(2, 5), address(i, 5)))
		if err != nil {
			t.Fatal(err)
		}
		k, cleanup, err := buildPlatformApp(s, "", meter.New(), log)
		if err != nil {
			t.Fatal(err)
		}
		k.bound = exit.NewBound("keepd")
		list[i] = &keeperOnPlatform{platformApp: k, cleanup: cleanup, done: make(chan struct{})}
	}
	return list
}

func startKeepers(t *testing.T) []*keeperOnPlatform {
	t.Helper()
	log, closeLog := openLog(meter.New())
	t.Cleanup(closeLog)
	list := buildKeepers(t, log)
	for _, k := range list {
		k.start(t)
	}
	return list
}

func (k *keeperOnPlatform) start(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	k.stop = stop
	go func() {
		defer close(k.done)
		defer k.cleanup()
		if err := k.run(ctx, stop); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-k.done
	})
}

func awaitLeader(t *testing.T, list []*keeperOnPlatform, except *keeperOnPlatform) *keeperOnPlatform {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, k := range list {
			if k != except && k.leads() {
				return k
			}
		}
	}
	t.Fatal("no leader")
	return nil
}

// A leader that stopped served no instance until the call of its slowest operator had ended.
func TestLeadershipIsHandedOverWhileOperatorHangs(t *testing.T) {
	list := startKeepers(t)
	leader := awaitLeader(t, list, nil)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", leader.settings.Listen.Operators)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.Copy(c, strings.NewReader("POST /-/config HTTP/1.1\r\nHost: x\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // until the others are up to date
	leader.stop()
	began := time.Now()
	awaitLeader(t, list, leader)
	if took, wait := time.Since(began), operatorStopTimeout(leader.bound); took > wait/2 {
		t.Errorf("the next one leads %v after the signal, operators' calls have %v", took, wait)
	}
}

// Operators repeat calls whose answers were late. That must not need the leader again, which is
// late because it has too much to do.
func TestPublishedTableIsAcknowledgedAgainWithoutLeader(t *testing.T) {
	list := startKeepers(t)
	awaitLeader(t, list, nil)
	publish := func(k *keeperOnPlatform, number uint64) error {
		ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
		defer cancel()
		tables := &routingTables{k.lead, k.client, k.log}
		return tables.Publish(ctx, state.RoutingTable{Number: number, Source: []byte("{}")})
	}
	for end := time.Now().Add(15 * time.Second); publish(list[0], 3) != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not published")
		}
	}
	for _, known := list[0].lead.Published(3); !known; _, known = list[0].lead.Published(3) {
		time.Sleep(10 * time.Millisecond)
	}
	for _, k := range list[1:] {
		k.stop()
		<-k.done
	}
	for number, want := range map[uint64]bool{2: true, 3: true, 4: false} {
		if err := publish(list[0], number); (err == nil) != want {
			t.Errorf("table %d, without a majority after 3 was published: %v", number, err)
		}
	}
}

// With the race detector: each keeper replaced the log of the process while others wrote to it.
func TestKeeperIsBuiltWhileAnotherLogs(t *testing.T) {
	log, closeLog := openLog(meter.New())
	defer closeLog()
	var other sync.WaitGroup
	other.Go(func() { klog.Info("another keeper logs") })
	for _, k := range buildKeepers(t, log) {
		defer k.cleanup()
	}
	other.Wait()
}
