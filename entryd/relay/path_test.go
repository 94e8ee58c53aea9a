package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"verbenahaven.example/core/request/reach"
)

// blockedBackend is a backend server that one instance reaches at an address of its
// own, which can be cut.
type blockedBackend struct {
	t       *testing.T
	handler http.Handler
	address string
	server  *http.Server
}

func newBlockedBackend(t *testing.T, h http.Handler) *blockedBackend {
	t.Helper()
	b := &blockedBackend{t: t, handler: h, address: "127.0.0.1:0"}
	b.restore()
	t.Cleanup(b.cut)
	return b
}

func (b *blockedBackend) cut() { _ = b.server.Close() }

func (b *blockedBackend) restore() {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.address = l.Addr().String()
	b.server = &http.Server{Handler: b.handler}
	go func() { _ = b.server.Serve(l) }()
}

// The neighbour serves what comes to an instance without a path, which finds out by
// itself when its path is cut and when it is back.
func TestCallsOfCutInstanceAreServed(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) })
	backend := httptest.NewServer(h)
	defer backend.Close()
	list := newPeers(t, backend, 0, 2)
	i := list[0]
	i.fleet.path = newPath(reach.New(), i.clock)
	i.pool.SetObserver(i.fleet.path)
	i.fleet.SetPathEvidence(i.fleet.path.detector)
	servers, addresses := make([]*blockedBackend, 5), make([]string, 5)
	for n := range servers {
		servers[n] = newBlockedBackend(t, h)
		addresses[n] = servers[n].address
	}
	i.setState(t, 2, addresses, []string{hostOf(list[0].peers), hostOf(list[1].peers)})
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
	calls := 0
	call := func() int {
		calls++
		return send(t, newCallTo(t, i, strconv.Itoa(calls), "/safe/", "x")).StatusCode
	}
	for range 10 {
		if code := call(); code != http.StatusOK {
			t.Fatalf("status %d before the cut", code)
		}
	}
	if n := list[1].meter.Value("peer", "taken"); n != 0 {
		t.Fatalf("%d calls forwarded before the cut", n)
	}
	for _, b := range servers {
		b.cut()
	}
	refused := 0
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if call() != http.StatusOK {
			refused++
		}
	}
	if !i.fleet.path.isCut() || refused > 3 {
		t.Errorf("cut %v, %d calls refused", i.fleet.path.isCut(), refused)
	}
	for _, b := range servers {
		b.restore()
	}
	for deadline := time.Now().Add(5 * time.Second); i.meter.Value("path", "back") == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	taken := list[1].meter.Value("peer", "taken")
	for range 10 {
		if code := call(); code != http.StatusOK {
			t.Errorf("status %d after the path is back", code)
		}
	}
	if n := list[1].meter.Value("peer", "taken"); n != taken || i.meter.Value("path", "cut") != 1 || i.meter.Value("path", "back") != 1 {
		t.Errorf("%d calls forwarded after the path is back; cut %d times, back %d times", n-taken, i.meter.Value("path", "cut"), i.meter.Value("path", "back"))
	}
	t.Logf("%d calls, %d refused, %d forwarded", calls, refused, taken)
}
