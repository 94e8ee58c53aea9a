package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/platform"
)

// scriptedBackend answers each request with the next of its answers and closes
// the connection after it.
type scriptedBackend struct {
	answers      []string // "FRAMING QUOTED-BODY" or "FRAMING STATUS TYPE QUOTED-BODY"
	resumedAfter []string
	servers      []string // that were asked, by name
}

func (b *scriptedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	framing, quoted, _ := strings.Cut(b.answers[0], " ")
	b.answers = b.answers[1:]
	b.servers = append(b.servers, r.Header.Get("Expect-Instance"))
	if id := r.Header.Get("Last-Event-Id"); id != "" {
		b.resumedAfter = append(b.resumedAfter, id)
	}
	status, mediaType := "200", stream.ContentType
	if quoted != "" && quoted[0] != '"' {
		status, quoted, _ = strings.Cut(quoted, " ")
		mediaType, quoted, _ = strings.Cut(quoted, " ")
	}
	body, err := strconv.Unquote(quoted)
	if err != nil {
		panic(err)
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	field := ""
	switch httpc.Framing(framing) {
	case httpc.FramedByLength:
		field = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case httpc.FramedByChunks:
		field, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	fmt.Fprintf(c, "HTTP/1.1 %s X\r\nRequest-Id: 1\r\nServer-Signature: s\r\nContent-Type: %s\r\n%s\r\n%s", status, mediaType, field, body)
}

// newScriptedCall returns a call to a backend that stands for all servers of its
// fleet, which are named after their builds.
func newScriptedCall(t *testing.T, b http.Handler, kind string, builds ...string) *inflightCall {
	t.Helper()
	backend := httptest.NewServer(b)
	t.Cleanup(backend.Close)
	f := newTestCall(t, clock.System())
	pool, cleanup := httpc.New(f.meter)
	t.Cleanup(cleanup)
	f.codec, f.pool, f.log = platform.Codec{}, pool, slog.New(slog.DiscardHandler)
	f.draining = func() (time.Duration, bool) { return 0, false }
	f.start = f.clock.Now()
	f.fleet.budget.SetLimits(time.Minute, 2*perRetry, 0)
	f.route = state.Route{Kind: state.RouteKind(kind), MaxAttempts: 2, LatencyTarget: time.Second, Timeout: 10 * time.Second}
	if kind == "resumable" {
		f.route.Kind, f.route.Resumable = state.RouteStream, true
	}
	engines, servers := make([]state.Engine, len(builds)), make([]state.Server, len(builds))
	for i, build := range builds {
		name := fmt.Sprint(build, "-", i)
		engines[i] = state.Engine{Name: name, URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z", Build: build}
		servers[i] = state.Server{Name: name, URL: backend.URL, Service: "m", Phase: state.PhaseServing, Build: build}
	}
	if f.route.Kind == state.RouteStream {
		f.targetPool.Spec = &state.EngineSpec{}
	}
	f.fleet.local.Update(engines, nil)
	f.fleet.servers.Update(servers)
	f.fleet.builds.Update(f.clock.Now(), 0, engines, servers)
	f.call = &server.Call{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {"1"}}, Prompt: f.call.Prompt}
	return f
}

// perRetry is the ratio at which one request backs a retry while it is young.
const perRetry = 3

// deliverTo runs a call for one caller and returns what the caller gets.
func deliverTo(t *testing.T, f *inflightCall) string {
	t.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.w = w
		f.forward(r.Context())
	}))
	defer front.Close()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if a.StatusCode != http.StatusOK {
		return fmt.Sprintln(a.StatusCode)
	}
	framed := "whole"
	if err != nil {
		framed = "broken off"
	}
	return fmt.Sprintf("%d %q %s\n", a.StatusCode, body, framed)
}

func TestBrokenOffStreamIsNotDeliveredAsComplete(t *testing.T) {
	datadriven.RunTest(t, "testdata/broken", func(t *testing.T, d *datadriven.TestData) string {
		var kind string
		d.ScanArgs(t, "route", &kind)
		backend := &scriptedBackend{answers: strings.Split(d.Input, "\n")}
		out := deliverTo(t, newScriptedCall(t, backend, kind, "v1", "v1"))
		for _, id := range backend.resumedAfter {
			out += fmt.Sprintf("resumed after %s\n", id)
		}
		return out
	})
}

// The next server's error was delivered in the middle of a stream that had broken off, or the
// stream was ended as if it were complete.
func TestStreamIsNotJoinedToAnotherAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/joined", func(t *testing.T, d *datadriven.TestData) string {
		backend := &scriptedBackend{answers: strings.Split(d.Input, "\n")}
		return deliverTo(t, newScriptedCall(t, backend, "resumable", "v1", "v1"))
	})
}

// A server in trouble may send bytes until the caller closes.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{"an event": "data", "lines of an event": "data: x\n", "comments": ": x\n\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Id", "1")
				w.Header().Set("Server-Signature", "s")
				w.Header().Set("Content-Type", stream.ContentType)
				for block := bytes.Repeat([]byte(text), 16<<10/len(text)); ; {
					n, err := w.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			defer backend.Close()
			f := newScriptedCall(t, &scriptedBackend{}, "stream", "v1")
			f.fleet.local.Update([]state.Engine{{Name: "a", URL: backend.URL, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: "z"}}, nil)
			f.call.TimeLeft = 2 * time.Second
			if got := strings.TrimSpace(deliverTo(t, f)); got != "502" || f.timeLeft() < time.Second {
				t.Errorf("the caller gets %q with %v left", got, f.timeLeft())
			}
			if n := sent.Load(); n > 32<<20 {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// Starts of events that many broken servers send at once were each bounded, but not together.
func TestEventsWithoutEndFitMemoryTogether(t *testing.T) {
	const streams, perStream, part = 128, 128 << 10, instanceMemory / memoryShare / memoryKinds
	var settled sync.WaitGroup
	settled.Add(streams)
	block := bytes.Repeat([]byte("data"), stream.MaxEventBytes/8)
	address := serveSmall(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", stream.ContentType)
		if r.URL.Path == "/sound" {
			fmt.Fprintf(w, "data: %s\n\n", block[:perStream/8])
			return
		}
		_, _ = w.Write(block)
		_ = http.NewResponseController(w).Flush()
		settled.Done()
		<-r.Context().Done()
	})
	f := newScriptedCall(t, &scriptedBackend{}, "stream", "v1")
	f.SetMemory(instanceMemory)
	front := serveAhead(t, f, address)
	before := heapBytes()
	for range streams {
		dialSmall(t, front)
	}
	settled.Wait()
	if held, limit := heapBytes()-before, int64(part+streams*perStream); held > limit {
		t.Errorf("%d bytes held, %d allowed", held, limit)
	}
	if f.meter.Value("memory", "events", "refused") == 0 {
		t.Error("no stream was given up")
	}
	a, err := http.Get("http://" + front + "/sound")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if b, err := io.ReadAll(a.Body); err != nil || len(b) < perStream/8 {
		t.Errorf("another caller gets %d bytes, error %v", len(b), err)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
