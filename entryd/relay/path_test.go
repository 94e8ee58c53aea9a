package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/request/reach"
)

// cutKind is what becomes of connections over a cut path.
type cutKind int32

const (
	notCut cutKind = iota
	cutRefuses
	cutResets
	cutHolds
)

// cutBackend is a backend server that one instance reaches over a path of its own.
type cutBackend struct {
	t       *testing.T
	kind    atomic.Int32
	healed  chan struct{}
	address string
	server  *http.Server
}

func newCutBackend(t *testing.T) *cutBackend {
	t.Helper()
	// Of its own, so that no connection of others has its port when it listens again.
	pid := os.Getpid()
	address := fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>16&63, pid>>8&255, pid&255)
	b := &cutBackend{t: t, address: address, healed: make(chan struct{})}
	b.listen()
	t.Cleanup(func() { _ = b.server.Close() })
	return b
}

func (b *cutBackend) listen() {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.address = l.Addr().String()
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
}

// ServeHTTP implements http.Handler.
func (b *cutBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch cutKind(b.kind.Load()) {
	case cutResets:
		panic(http.ErrAbortHandler)
	case cutHolds:
		select {
		case <-b.healed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		answerAs(w, r)
	}
}

func (b *cutBackend) cut(kind cutKind) {
	b.kind.Store(int32(kind))
	if kind == cutRefuses {
		_ = b.server.Close()
	}
}

func (b *cutBackend) heal() {
	if cutKind(b.kind.Swap(int32(notCut))) == cutRefuses {
		b.listen()
	}
	close(b.healed)
}

// cutLoad sends calls at a steady rate.
type cutLoad struct {
	t        *testing.T
	instance *testInstance
	sent     int
}

// run returns the status codes of the calls of some time, in the order in which they
// were sent.
func (l *cutLoad) run(during time.Duration) []int {
	codes := make([]int, during/(20*time.Millisecond))
	var group sync.WaitGroup
	for n := range codes {
		l.sent++
		r := newCallTo(l.t, l.instance, strconv.Itoa(l.sent), "/safe/", "x")
		r.Header.Set("Deadline-Ms", "1000")
		group.Go(func() {
			a, err := http.DefaultTransport.RoundTrip(r)
			if err == nil {
				codes[n] = a.StatusCode
				_ = a.Body.Close()
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return codes
}

func served(codes []int) int {
	n := 0
	for _, c := range codes {
		if c == http.StatusOK {
			n++
		}
	}
	return n
}

// The neighbour serves what comes to an instance without a path, which finds out by
// itself when its path is cut and when it is back.
func TestCallsOfCutInstanceAreServed(t *testing.T) {
	for name, kind := range map[string]cutKind{"refuses": cutRefuses, "resets": cutResets, "holds": cutHolds} {
		t.Run(name, func(t *testing.T) { testCut(t, kind) })
	}
}

func testCut(t *testing.T, kind cutKind) {
	t.Helper()
	const pools = 2 // that the servers are in; the path is judged for each
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) }))
	defer backend.Close()
	list := newPeers(t, backend, 0, 2)
	i := list[0]
	i.fleet.path = newPath(reach.NewPools(), i.clock)
	i.pool.SetObserver(i.fleet.path)
	i.fleet.SetPathEvidence(i.fleet.path.detector)
	servers, addresses := make([]*cutBackend, 5), make([]string, 5)
	for n := range servers {
		servers[n] = newCutBackend(t)
		addresses[n] = servers[n].address
	}
	links := []string{hostOf(list[0].peers), hostOf(list[1].peers)}
	i.setState(t, soundState+1, addresses, links)
	list[1].setState(t, soundState+1, []string{hostOf(backend)}, links)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		i.Run(ctx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	load := &cutLoad{t: t, instance: i}
	taken := func() int64 { return list[1].meter.Value("peer", "taken") }

	if codes := load.run(300 * time.Millisecond); served(codes) < len(codes) || taken() > 0 {
		t.Fatalf("before the cut: %v, %d forwarded", codes, taken())
	}
	for _, b := range servers {
		b.cut(kind)
	}
	detecting := load.run(time.Second)
	if codes := load.run(500 * time.Millisecond); served(codes) < len(codes) || !i.fleet.path.isCut("plain") {
		t.Errorf("a second after the cut: %v, cut %v", codes, i.fleet.path.isCut("plain"))
	}
	t.Logf("%d of %d served in the first second", served(detecting), len(detecting))
	for _, b := range servers {
		b.heal()
	}
	for deadline := time.Now().Add(5 * time.Second); i.meter.Value("path", "back") < pools && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	before := taken()
	if codes := load.run(300 * time.Millisecond); served(codes) < len(codes) || taken() > before {
		t.Errorf("after the path is back: %v, %d forwarded", codes, taken()-before)
	}
	if i.meter.Value("path", "cut") != pools || i.meter.Value("path", "back") != pools {
		t.Errorf("cut %d times, back %d times", i.meter.Value("path", "cut"), i.meter.Value("path", "back"))
	}
}
