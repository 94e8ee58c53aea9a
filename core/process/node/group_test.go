package node_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
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

// sumMachine is a state machine that adds up numbers and counts them.
type sumMachine struct {
	mutex    sync.Mutex
	count    uint64
	total    uint64
	added    map[uint64]uint64 // how often each number was added
	padBytes int               // size of the padding in each snapshot
	grows    bool              // the padding grows by each command
	delay    time.Duration
}

func (s *sumMachine) Apply(_ uint64, command []byte) any {
	time.Sleep(s.delay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	v := binary.BigEndian.Uint64(command)
	s.total += v
	if s.added == nil {
		s.added = make(map[uint64]uint64)
	}
	s.added[v]++
	if s.grows {
		s.padBytes += len(command)
	}
	return s.count
}

func (s *sumMachine) Snapshot() ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := binary.BigEndian.AppendUint64(nil, s.count)
	b = binary.BigEndian.AppendUint64(b, s.total)
	b = binary.BigEndian.AppendUint64(b, uint64(len(s.added)))
	for v, times := range s.added {
		b = binary.BigEndian.AppendUint64(b, v)
		b = binary.BigEndian.AppendUint64(b, times)
	}
	return append(b, make([]byte, s.padBytes)...), nil
}

func (s *sumMachine) Restore(b []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count, s.total = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	numbers := binary.BigEndian.Uint64(b[16:])
	b = b[24:]
	s.added = make(map[uint64]uint64)
	for range numbers {
		s.added[binary.BigEndian.Uint64(b)] = binary.BigEndian.Uint64(b[8:])
		b = b[16:]
	}
	s.padBytes = len(b)
	return nil
}

// readAdded returns how often each number was added.
func (s *sumMachine) readAdded() map[uint64]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.added)
}

func (s *sumMachine) read() (count, total uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count, s.total
}

// member is a running member of a test group.
type member struct {
	node    *node.Node
	machine *sumMachine
	other   node.StateMachine // if the group has another kind of state machine
	meter   *meter.Registry
	stop    func()
}

// group runs the members of a Raft group in this process, with loopback links
// and data folders on disk.
type group struct {
	tb         testing.TB
	baseFolder string
	names      []string
	settings   map[string]node.Settings
	members    map[string]*member
	addresses  map[string]string
	applyDelay time.Duration // of the members that are started
	padBytes   int           // of the members' state machines
	grows      bool          // likewise
	newOther   func() node.StateMachine
}

func newGroup(tb testing.TB, voters, spares int, tune func(*node.Settings)) *group {
	tb.Helper()
	g := &group{
		tb: tb, baseFolder: tb.TempDir(), settings: make(map[string]node.Settings),
		members: make(map[string]*member), addresses: make(map[string]string),
	}
	requireNoError(tb, keys.CreateAuthority(g.baseFolder, "test", time.Now().Add(-time.Hour), 24*time.Hour))
	for i := range voters + spares {
		name := fmt.Sprintf("keep%d", i+1)
		g.names = append(g.names, name)
		requireNoError(tb, keys.IssueCertificate(g.baseFolder, name, time.Now().Add(-time.Hour), 24*time.Hour))
		g.addresses[name] = freeAddress(tb)
	}
	for _, name := range g.names {
		s := node.Settings{
			Name: name, Folder: filepath.Join(g.baseFolder, name), Peers: g.addresses,
			InitialVoters: g.names[:voters], Spares: g.names[voters:],
			HeartbeatInterval: 30 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
			ReplaceAfter: time.Second, CommandsPerSnapshot: 10000,
		}
		if tune != nil {
			tune(&s)
		}
		g.settings[name] = s
	}
	tb.Cleanup(func() {
		for _, name := range g.names {
			g.stop(name)
		}
	})
	return g
}

// The ports lie below the ephemeral range: a client socket could otherwise take
// a port between its choice and its use. Each process starts at another port.
const (
	firstPort = 10000
	portCount = 8000
)

var nextPort = os.Getpid() * 61

// freeAddress returns a loopback address whose UDP port is free now.
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
	if g.settings[name].OpenMembership {
		config, err := keys.UnauthenticatedConfig(name)
		requireNoError(g.tb, err)
		return config
	}
	config, err := keys.Load(keys.Files{
		Authority: filepath.Join(g.baseFolder, keys.AuthorityCert),
		Cert:      filepath.Join(g.baseFolder, name+".crt"),
		Key:       filepath.Join(g.baseFolder, name+".key"),
	})
	requireNoError(g.tb, err)
	return config
}

func (g *group) start(names ...string) {
	g.tb.Helper()
	for _, name := range names {
		m := &member{machine: &sumMachine{delay: g.applyDelay, padBytes: g.padBytes, grows: g.grows}, meter: meter.New()}
		server := link.NewServer(m.meter)
		var machine node.StateMachine = m.machine
		if g.newOther != nil {
			m.other = g.newOther()
			machine = m.other
		}
		n, stop, err := node.New(g.settings[name], machine, server, g.keys(name), clock.System(), m.meter)
		requireNoError(g.tb, err)
		var closeServer func()
		// The previous socket stays open until its last connection is drained.
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

func (g *group) stop(name string) {
	if m := g.members[name]; m != nil {
		m.stop()
		delete(g.members, name)
	}
}

// leader waits until a member holds the leader lease and returns its name.
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

const waitTimeout = 15 * time.Second

func (g *group) wait(what string, done func() bool) {
	g.tb.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	for name, m := range g.members {
		g.tb.Logf("%s: %+v", name, m.node.Status())
	}
	g.tb.Fatalf("no %s within %s", what, waitTimeout)
}

// propose proposes v to each member in turn until one commits it. An unknown
// outcome fails the test.
func (g *group) propose(v uint64) {
	g.tb.Helper()
	g.wait("commit", func() bool {
		for _, m := range g.members {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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

// waitApplied waits until all members have applied the given count and total.
func (g *group) waitApplied(count, total uint64) {
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

func requireNoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
