package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/abort"
	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/reach"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/platform"
)

// silentBroker answers nothing.
type silentBroker struct{}

func (silentBroker) Ask(context.Context, string, *proto.PlaceRequest) (*proto.PlaceReply, error) {
	return nil, errors.New("no answer")
}
func (silentBroker) Tell(string, *proto.PlaceEvent)                             {}
func (silentBroker) Share(string, []proto.StreamOrigin)                         {}
func (silentBroker) TellLimits(string, []proto.ServerLimit)                     {}
func (silentBroker) TellNotices(string, []proto.ServerNotice)                   {}
func (silentBroker) Find(context.Context, []string, string) *proto.StreamOrigin { return nil }

// setDetector says of a path what the test set.
type setDetector struct {
	*reach.Pools
	cut, doubtful atomic.Bool
}

func (d *setDetector) Cut(time.Time, string) bool         { return d.cut.Load() }
func (d *setDetector) Suspicious(time.Time, string) bool  { return d.doubtful.Load() }
func (d *setDetector) NextProbe(time.Time) (string, bool) { return "", false }

// testInstance is an entry instance with its callers' port and that for other
// instances.
type testInstance struct {
	*Proxy
	detector *setDetector
	callers  *httptest.Server
	peers    *httptest.Server
}

func newTestInstance(t *testing.T, name string) *testInstance {
	t.Helper()
	m, c := meter.New(), clock.System()
	pool, cleanup := httpc.New(m)
	t.Cleanup(cleanup)
	peers, cleanupPeers := httpc.New(m)
	t.Cleanup(cleanupPeers)
	fleet := NewFleet(name, "z", retry.NewSharedBudget(10*time.Second, 1, 0), silentBroker{}, m, c, func([]string) {})
	i := &testInstance{detector: &setDetector{Pools: reach.NewPools()}}
	fleet.path.detector = i.detector
	log := slog.New(slog.DiscardHandler)
	k := screen.New(&stateKeeper{state: state.New()}, fleet, m, log, c)
	i.Proxy = New(platform.Codec{}, pool, peers, fleet, k, m, log, c, func() (time.Duration, bool) { return 0, false })
	i.callers, i.peers = newAbortServer(i.Proxy), newAbortServer(i.PeerHandler())
	t.Cleanup(i.callers.Close)
	t.Cleanup(i.peers.Close)
	return i
}

func newAbortServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	abort.Install(s.Config)
	s.Start()
	return s
}

// setState gives an instance a state with two backend servers at each address, an
// engine and a plain one, and the link addresses of the fleet.
func (i *testInstance) setState(t *testing.T, version uint64, addresses, links []string) {
	t.Helper()
	v := state.View{Version: version, Routing: &state.RoutingTable{
		Number: 1, Version: 1,
		Routes: []state.Route{
			{Name: "safe", Host: "h", PathPrefix: "/safe/", Kind: state.RouteIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2, Weights: []state.PoolWeight{{Pool: "plain", Weight: 1}}},
			{Name: "unsafe", Host: "h", PathPrefix: "/unsafe/", Kind: state.RouteAtMostOnce, Timeout: 5 * time.Second, MaxAttempts: 1, Weights: []state.PoolWeight{{Pool: "plain", Weight: 1}}},
			{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: state.RouteStream, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: 1, Weights: []state.PoolWeight{{Pool: "m", Weight: 1}}},
		},
		Pools: []state.Pool{{Name: "plain"}, {Name: "m", Spec: &state.EngineSpec{}}},
	}}
	for n, address := range addresses {
		v.Engines = append(v.Engines, state.Engine{
			Name: fmt.Sprint("e-", n), URL: "http://" + address, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z", Version: version,
		})
		v.Servers = append(v.Servers, state.Server{Name: fmt.Sprint("s-", n), URL: "http://" + address, Service: "plain", Phase: state.PhaseServing, Version: version})
	}
	for n, link := range links {
		v.Members = append(v.Members, state.Member{
			Name: fmt.Sprint("i-", n), Kind: state.MemberEntry, LinkAddress: link, Centre: "z", Phase: state.PhaseServing, Version: version,
		})
	}
	store := view.New()
	if err := store.Apply(v); err != nil {
		t.Fatal(err)
	}
	i.fleet.SetSnapshot(store.Current())
}

// soundState is the state version of instances with a path: no older than that of others.
const soundState = uint64(100)

// newPeers returns the instances of a fleet, of which the first cut ones have lost
// their path to the backend.
func newPeers(t *testing.T, backend *httptest.Server, cut, sound int) []*testInstance {
	t.Helper()
	list, links := make([]*testInstance, cut+sound), make([]string, cut+sound)
	for n := range list {
		list[n] = newTestInstance(t, fmt.Sprint("i-", n))
		links[n] = hostOf(list[n].peers)
	}
	for n, i := range list {
		address, version := hostOf(backend), soundState
		if n < cut {
			address, version = closedAddress(t), 1
			i.detector.cut.Store(true)
		}
		i.setState(t, version, []string{address}, links)
	}
	return list
}

func hostOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// newCallTo returns a call to an instance.
func newCallTo(t *testing.T, i *testInstance, id, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, i.callers.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Close = "h", true
	r.Header.Set("Request-Id", id)
	if strings.HasPrefix(path, "/stream/") {
		r.Header.Set("Token-Usage", "10,10")
		r.Header.Set("Model", "m")
		r.Header.Set("Prompt-Prefix", "5c:4,e4:6")
	}
	return r
}

func send(t *testing.T, r *http.Request) *http.Response {
	t.Helper()
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Body.Close() })
	return a
}

// answerAs begins an answer of the backend server that the request is for.
func answerAs(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", "s")
	w.Header().Set("Weight-Versions", "3")
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
	}
}
