package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/request/peers"
)

func TestCutInstanceForwardsCallWhole(t *testing.T) {
	type request struct {
		method, target, host, body string
		header                     http.Header
	}
	var got request
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = request{r.Method, r.RequestURI, r.Host, string(body), r.Header}
		answerAs(w, r)
		w.Header().Set("Other", "x")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "an answer")
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	r := newCallTo(t, list[0], "7", "/unsafe/a?b=%20", "a question")
	r.Header.Set("Own", "y")
	a := send(t, r)
	body, err := io.ReadAll(a.Body)
	if a.StatusCode != http.StatusCreated || string(body) != "an answer" || err != nil || a.ContentLength != int64(len(body)) {
		t.Errorf("the caller gets %d %q with length %d, %v", a.StatusCode, body, a.ContentLength, err)
	}
	for name, want := range map[string]string{"Request-Id": "7", "Server-Signature": "s", "Weight-Versions": "3", "Other": "x"} {
		if v := a.Header.Get(name); v != want {
			t.Errorf("the caller gets %s %q, want %q", name, v, want)
		}
	}
	if got.method != http.MethodPost || got.target != "/unsafe/a?b=%20" || got.host != "h" || got.body != "a question" || got.header.Get("Own") != "y" {
		t.Errorf("the server gets %+v", got)
	}
	if n, taken := list[0].meter.Value("peer", "cut", "served"), list[1].meter.Value("peer", "taken"); n != 1 || taken != 1 {
		t.Errorf("%d calls forwarded, %d taken", n, taken)
	}
}

func TestForwardedStreamArrivesEventByEvent(t *testing.T) {
	next := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerAs(w, r)
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-next
		fmt.Fprint(w, "id: 2\ndata: b\n\n")
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	a := send(t, newCallTo(t, list[0], "7", "/stream/", "x"))
	first := make([]byte, len("id: 1\ndata: a\n\n"))
	if _, err := io.ReadFull(a.Body, first); err != nil || string(first) != "id: 1\ndata: a\n\n" {
		t.Fatalf("first event %q, %v", first, err)
	}
	close(next)
	rest, err := io.ReadAll(a.Body)
	if string(rest) != "id: 2\ndata: b\n\n" || err != nil || a.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("rest %q, %v, header %v", rest, err, a.Header)
	}
}

func TestForwardedAnswerThatBreaksOffIsNotDeliveredAsComplete(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerAs(w, r)
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	a := send(t, newCallTo(t, list[0], "7", "/stream/", "x"))
	if body, err := io.ReadAll(a.Body); err == nil || string(body) != "id: 1\ndata: a\n\n" {
		t.Errorf("the caller gets %q, %v", body, err)
	}
	if n := list[0].meter.Value("peer", "cut", "broken"); n != 1 {
		t.Errorf("%d counted as broken", n)
	}
}

// The same for a whole answer of a peer that ends in the middle of it.
func TestForwardedWholeAnswerThatBreaksOffIsNotDeliveredAsComplete(t *testing.T) {
	list := newPeers(t, httptest.NewServer(nil), 1, 1)
	stub := stubPeer(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nServer-Signature: s\r\nContent-Length: 131072\r\n\r\n"+strings.Repeat("half", 16<<10))
	})
	list[0].setState(t, 2, []string{closedAddress(t)}, []string{"", stub})
	a := send(t, newCallTo(t, list[0], "7", "/safe/", ""))
	if body, err := io.ReadAll(a.Body); err == nil {
		t.Errorf("the caller gets %d bytes as complete", len(body))
	}
}

// A caller got no answer at all if the instance broke off before it had much of one.
func TestForwardedAnswerCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	datadriven.RunTest(t, "testdata/cutpeer", func(t *testing.T, d *datadriven.TestData) string {
		var cut, ending atomic.Value
		var asked atomic.Int32
		stub := stubPeer(t, func(c net.Conn, _ *http.Request) {
			asked.Add(1)
			endAfter(c, cut.Load().(string), ending.Load().(string))
		})
		i := newPeers(t, httptest.NewServer(nil), 1, 0)[0]
		i.setState(t, 2, []string{closedAddress(t)}, []string{"", stub, stub})
		return cutAnywhere(unquoteLines(t, d)[0], func(c, e string) string {
			cut.Store(c)
			ending.Store(e)
			asked.Store(0)
			i.fleet.peerTook(i.clock.Now(), "i-1")
			i.fleet.peerTook(i.clock.Now(), "i-2")
			a, err := http.DefaultTransport.RoundTrip(newCallTo(t, i, "7", "/safe/", ""))
			if err != nil {
				return fmt.Sprintf("no answer, asked %d", asked.Load())
			}
			defer func() { _ = a.Body.Close() }()
			outcome := "broken off"
			if body, err := io.ReadAll(a.Body); err == nil {
				outcome = fmt.Sprintf("%q", body)
			}
			return fmt.Sprintf("%d %s, asked %d", a.StatusCode, outcome, asked.Load())
		})
	})
}

// Callers got what another instance seemed to have answered behind a head that isn't HTTP.
func TestForwardedAnswerWithMalformedHeadReachesNoCaller(t *testing.T) {
	const sound = "Request-Id: 7\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	for _, answer := range []string{
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, "HTTP/1.1 200 OK\r\nX Odd: 2\r\n" + sound, "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + sound,
	} {
		i := newPeers(t, httptest.NewServer(nil), 1, 0)[0]
		stub := stubPeer(t, func(c net.Conn, _ *http.Request) { endAfter(c, answer, "close") })
		i.setState(t, 2, []string{closedAddress(t)}, []string{"", stub})
		a := send(t, newCallTo(t, i, "7", "/safe/", ""))
		if body, err := io.ReadAll(a.Body); err != nil || a.StatusCode != http.StatusBadGateway || !strings.Contains(string(body), reasonPeerLost) {
			t.Errorf("%q: %d %q, %v", answer, a.StatusCode, body, err)
		}
	}
}

func TestCallerThatLeavesEndsForwardedCall(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(begun)
		<-r.Context().Done()
		close(ended)
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-begun
		cancel()
	}()
	if _, err := http.DefaultTransport.RoundTrip(newCallTo(t, list[0], "7", "/stream/", "x").WithContext(ctx)); err == nil { //nolint:bodyclose // there is none
		t.Fatal("answered")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the server still runs the call a second after its caller left")
	}
}

// A peer that had the call and broke off may have run it.
func TestCallIsNotRepeatedAfterPeerIsLost(t *testing.T) {
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerAs(w, r)
	}))
	defer backend.Close()
	for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
		list := newPeers(t, backend, 1, 1)
		stub := stubPeer(t, func(net.Conn, *http.Request) {})
		id := idPreferring(t, list[0], stub, hostOf(list[1].peers))
		a := send(t, newCallTo(t, list[0], id, path, "x"))
		if a.StatusCode != http.StatusBadGateway || runs.Load() != 0 {
			t.Errorf("%s: status %d after %d more runs", path, a.StatusCode, runs.Load())
		}
	}
}

func TestRefusalOfPeerIsPassedOn(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answerAs(w, r)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 2)
	a := send(t, newCallTo(t, list[0], "7", "/safe/", "x"))
	if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") != "0.300" || a.Header.Get("Entry-Unable") != "" {
		t.Errorf("the caller gets %d, %v", a.StatusCode, a.Header)
	}
	if n := list[1].meter.Value("peer", "taken") + list[2].meter.Value("peer", "taken"); n != 1 {
		t.Errorf("%d instances were asked", n)
	}
}

// One peer has no path either, and one is of a build that takes no calls.
func TestNextPeerTakesCall(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) }))
	defer backend.Close()
	list := newPeers(t, backend, 2, 1)
	links := []string{hostOf(list[0].peers), hostOf(list[1].peers), hostOf(list[2].peers), closedAddress(t)}
	for version := uint64(2); version < 40; version++ {
		list[0].setState(t, version, []string{closedAddress(t)}, links)
		a := send(t, newCallTo(t, list[0], strconv.FormatUint(version, 10), "/unsafe/", "x"))
		if a.StatusCode != http.StatusOK {
			t.Fatalf("status %d", a.StatusCode)
		}
	}
	m := list[0].meter
	if m.Value("peer", "cut", "unable") != 1 || m.Value("peer", "cut", "unreached") != 1 {
		t.Errorf("%d unable, %d not reached; want each asked once a second", m.Value("peer", "cut", "unable"), m.Value("peer", "cut", "unreached"))
	}
}

func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	list := newPeers(t, httptest.NewServer(nil), 3, 0)
	a := send(t, newCallTo(t, list[0], "7", "/unsafe/", "x"))
	if a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Entry-Unable") != "" {
		t.Errorf("the caller gets %d, %v", a.StatusCode, a.Header)
	}
	for n, want := range []int64{0, 1, 1} {
		if taken := list[n].meter.Value("peer", "taken"); taken != want {
			t.Errorf("instance %d took %d calls, want %d", n, taken, want)
		}
	}
}

// Time that was lost on the way isn't given out again.
func TestForwardedCallKeepsDeadline(t *testing.T) {
	const delay = 150
	var deadline atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.ParseInt(r.Header.Get("Deadline-Ms"), 10, 64)
		deadline.Store(ms)
		answerAs(w, r)
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	stub := stubPeer(t, func(c net.Conn, _ *http.Request) {
		time.Sleep(delay * time.Millisecond)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nEntry-Unable: 1\r\nContent-Length: 0\r\n\r\n")
	})
	r := newCallTo(t, list[0], idPreferring(t, list[0], stub, hostOf(list[1].peers)), "/safe/", "x")
	r.Header.Set("Deadline-Ms", "2000")
	a := send(t, r)
	if ms := deadline.Load(); a.StatusCode != http.StatusOK || ms < 1000 || ms > 2000-delay {
		t.Errorf("status %d; the server has %d ms, want up to %d", a.StatusCode, ms, 2000-delay)
	}
}

// The instance that the caller came to counts its request for the retry budget.
func TestForwardedCallIsCountedOnce(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) }))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	for n := range 4 {
		if a := send(t, newCallTo(t, list[0], strconv.Itoa(n), "/safe/", "x")); a.StatusCode != http.StatusOK {
			t.Fatalf("status %d", a.StatusCode)
		}
	}
	for n, want := range []bool{true, false} {
		if _, got := list[n].fleet.budget.Reserve(list[n].clock.Elapsed(), "plain", 0); got != want {
			t.Errorf("instance %d: a retry in its budget: %v, want %v", n, got, want)
		}
	}
}

func TestCallThatFoundNoServerIsForwardedInDoubt(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) }))
	defer backend.Close()
	breaking := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer breaking.Close()
	for _, c := range []struct {
		name     string
		doubtful bool
		address  string
		want     int
	}{
		{"in doubt", true, closedAddress(t), http.StatusOK},
		{"no doubt", false, closedAddress(t), http.StatusServiceUnavailable},
		{"sent to a server", true, hostOf(breaking), http.StatusBadGateway},
	} {
		for _, path := range []string{"/unsafe/", "/stream/"} {
			list := newPeers(t, backend, 1, 1)
			list[0].detector.cut.Store(false)
			list[0].detector.doubtful.Store(c.doubtful)
			list[0].setState(t, 2, []string{c.address}, []string{"", hostOf(list[1].peers)})
			if a := send(t, newCallTo(t, list[0], "7", path, "x")); a.StatusCode != c.want {
				t.Errorf("%s, %s: status %d, want %d", c.name, path, a.StatusCode, c.want)
			}
		}
	}
}

// A call that servers turned away was passed on to another instance, or declined by one as
// unable and so offered to a third, which each counted its first arrival again.
func TestCallThatArrivedIsNotForwarded(t *testing.T) {
	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer rejecting.Close()
	var served atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		answerAs(w, r)
	}))
	defer backend.Close()
	for _, rejects := range []int{0, 1} {
		list := newPeers(t, backend, 1, 2)
		links := []string{hostOf(list[0].peers), hostOf(list[1].peers), hostOf(list[2].peers)}
		list[0].detector.cut.Store(rejects == 1) // then it passes its calls on at once
		id := idPreferring(t, list[0], links[1], links[2])
		list[rejects].detector.doubtful.Store(true)
		list[rejects].setState(t, []uint64{3, soundState + 1}[rejects], []string{hostOf(rejecting)}, links)
		if a := send(t, newCallTo(t, list[0], id, "/unsafe/", "x")); a.StatusCode != http.StatusServiceUnavailable || served.Load() != 0 {
			t.Errorf("turned away at instance %d: status %d, %d arrivals elsewhere", rejects, a.StatusCode, served.Load())
		}
	}
}

// Where all think themselves cut, each tries its own path for its own callers; no
// instance runs a call of another one into a cut path.
func TestCutPeerDeclinesAndOwnPathIsTried(t *testing.T) {
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerAs(w, r)
	}))
	defer backend.Close()
	list := newPeers(t, backend, 1, 2)
	for _, i := range list[1:] {
		i.detector.cut.Store(true)
	}
	if a := send(t, newCallTo(t, list[0], "7", "/unsafe/", "x")); a.StatusCode != http.StatusServiceUnavailable || runs.Load() != 0 {
		t.Errorf("a call to an instance that is cut: status %d, %d runs", a.StatusCode, runs.Load())
	}
	if a := send(t, newCallTo(t, list[1], "8", "/unsafe/", "x")); a.StatusCode != http.StatusOK || runs.Load() != 1 {
		t.Errorf("a call to an instance that isn't: status %d, %d runs", a.StatusCode, runs.Load())
	}
}

// An instance whose path is in doubt serves a call of another one.
func TestPeerInDoubtServesCall(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r) }))
	defer backend.Close()
	list := newPeers(t, backend, 1, 1)
	list[1].detector.doubtful.Store(true)
	if a := send(t, newCallTo(t, list[0], "7", "/unsafe/", "x")); a.StatusCode != http.StatusOK {
		t.Errorf("status %d", a.StatusCode)
	}
}

// stubPeer starts an instance that answers each request as told and then closes the
// connection. It returns its link address.
func stubPeer(t *testing.T, answer func(net.Conn, *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					answer(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// idPreferring gives an instance two peers, and returns the ID of a call that goes to
// the first of them.
func idPreferring(t *testing.T, i *testInstance, first, second string) string {
	t.Helper()
	i.setState(t, 2, []string{closedAddress(t)}, []string{"", first, second})
	for n := range 1000 {
		id := strconv.Itoa(n)
		if m, _ := i.fleet.nextPeer(i.clock.Now(), id, &peers.Offers{}); m.LinkAddress == first {
			return id
		}
	}
	t.Fatal("no call goes to the first peer")
	return ""
}
