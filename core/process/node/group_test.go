package node_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
)

// sum is a state machine that adds numbers up and remembers how many.
type sum struct {
	mutex sync.Mutex
	count uint64
	total uint64
	pad   int // bytes added to each snapshot
}

func (s *sum) Apply(_ uint64, command []byte) any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	s.total += binary.BigEndian.Uint64(command)
	return s.count
}

func (s *sum) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := binary.BigEndian.AppendUint64(nil, s.count)
	b = binary.BigEndian.AppendUint64(b, s.total)
	return append(b, make([]byte, s.pad)...), nil
}

func (s *sum) Restore(b []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count, s.total = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	return nil
}

func (s *sum) read() (count, total uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count, s.total
}

// member is one running member of a test group.
type member struct {
	node    *node.Node
	machine *sum
	meter   *meter.Registry
	stop    func()
}

// group runs members in this process, over loopback links and real folders.
type group struct {
	tb        testing.TB
	base      string
	names     []string
	settings  map[string]node.Settings
	members   map[string]*member
	addresses map[string]string
}

func newGroup(tb testing.TB, voters, spares int, tune func(*node.Settings)) *group {
	tb.Helper()
	g := &group{
		tb: tb, base: tb.TempDir(), settings: make(map[string]node.Settings),
		members: make(map[string]*member), addresses: make(map[string]string),
	}
	check(tb, keys.MakeFleet(g.base, "test", time.Now().Add(-time.Hour), 24*time.Hour))
	for i := range voters + spares {
		name := fmt.Sprintf("keep%d", i+1)
		g.names = append(g.names, name)
		check(tb, keys.MakeInstance(g.base, name, time.Now().Add(-time.Hour), 24*time.Hour))
		g.addresses[name] = freeAddress(tb)
	}
	for _, name := range g.names {
		s := node.Settings{
			Name: name, Folder: filepath.Join(g.base, name), Peers: g.addresses,
			Voters: g.names[:voters], Spares: g.names[voters:],
			Heartbeat: 30 * time.Millisecond, Election: 200 * time.Millisecond,
			Replace: time.Second, Snapshot: 10000,
		}
		if tune != nil {
			tune(&s)
		}
		g.settings[name] = s
	}
	tb.Cleanup(func() {
		for _, name := range g.names {
			g.halt(name)
		}
	})
	return g
}

// The ports lie below those that the system gives to clients, which could
// take a port between its choice and its use; each process begins elsewhere.
const (
	firstPort = 10000
	portCount = 8000
)

var nextPort = os.Getpid() * 61

// freeAddress finds a UDP port that is free now.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	for range portCount {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%portCount)
		c, err := net.ListenPacket("udp", address)
		if err == nil {
			c.Close()
			return address
		}
	}
	tb.Fatal("no free port")
	return ""
}

func (g *group) keys(name string) *tls.Config {
	if g.settings[name].Open {
		config, err := keys.Isolated(name)
		check(g.tb, err)
		return config
	}
	config, err := keys.Load(keys.Files{
		Authority: filepath.Join(g.base, keys.AuthorityCert),
		Cert:      filepath.Join(g.base, name+".crt"),
		Key:       filepath.Join(g.base, name+".key"),
	})
	check(g.tb, err)
	return config
}

func (g *group) start(names ...string) {
	g.tb.Helper()
	for _, name := range names {
		m := &member{machine: &sum{}, meter: meter.New()}
		server := link.NewServer(m.meter)
		n, stop, err := node.New(g.settings[name], m.machine, server, g.keys(name), clock.System(), m.meter)
		check(g.tb, err)
		var closeServer func()
		// The old socket lingers until its last connection is drained.
		g.wait("address "+g.addresses[name], func() bool {
			_, closeServer, err = server.Listen(g.addresses[name], g.keys(name))
			return err == nil
		})
		m.node = n
		m.stop = sync.OnceFunc(func() {
			stop()
			closeServer()
		})
		g.members[name] = m
	}
}

func (g *group) halt(name string) {
	if m := g.members[name]; m != nil {
		m.stop()
		delete(g.members, name)
	}
}

// leader waits until a member leads, and returns its name.
func (g *group) leader() string {
	g.tb.Helper()
	var found string
	g.wait("a leader", func() bool {
		for name, m := range g.members {
			if _, left := m.node.Lease(); left > 0 {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

const patience = 15 * time.Second

func (g *group) wait(what string, done func() bool) {
	g.tb.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	for name, m := range g.members {
		g.tb.Logf("%s: %+v", name, m.node.Status())
	}
	g.tb.Fatalf("no %s within %s", what, patience)
}

// add proposes until a leader takes the number up; the outcome must be known.
func (g *group) add(v uint64) {
	g.tb.Helper()
	g.wait("commit", func() bool {
		for _, m := range g.members {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			_, err := m.node.Propose(ctx, binary.BigEndian.AppendUint64(nil, v))
			cancel()
			if err == nil {
				return true
			}
			if !errors.Is(err, node.ErrNotLeader) {
				g.tb.Fatalf("propose: %v", err)
			}
		}
		return false
	})
}

// settle waits until all members applied the same.
func (g *group) settle(count, total uint64) {
	g.tb.Helper()
	g.wait(fmt.Sprintf("state %d/%d everywhere", count, total), func() bool {
		for _, m := range g.members {
			if c, t := m.machine.read(); c != count || t != total {
				return false
			}
		}
		return true
	})
}

func (g *group) voters() []string {
	voters := g.members[g.leader()].node.Status().Voters
	slices.Sort(voters)
	return voters
}

func check(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
