package relay

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) }) // until then no other process gets the port
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// newCallBesideClosed returns a call to a backend in another data centre. Some
// servers that refuse connections are nearer. The retry budget is used up.
func newCallBesideClosed(t *testing.T, b *scriptedBackend, kind string, closed int) *inflightCall {
	t.Helper()
	f := newScriptedCall(t, b, kind, "v")
	backend := httptest.NewServer(b)
	t.Cleanup(backend.Close)
	engines, servers := make([]state.Engine, 0, closed+1), make([]state.Server, 0, closed+1)
	for i := range closed + 1 {
		url, centre := "http://"+closedAddress(t), "z"
		if i == closed {
			url, centre = backend.URL, "far"
		}
		name := fmt.Sprint("s", i)
		engines = append(engines, state.Engine{Name: name, URL: url, Pool: "m", Role: state.RoleDecode, Phase: state.PhaseServing, Centre: centre, Build: "v"})
		servers = append(servers, state.Server{Name: name, URL: url, Service: "m", Phase: state.PhaseServing, Centre: centre, Build: "v"})
	}
	f.fleet.local.Update(engines, nil)
	f.fleet.servers.Update(servers)
	f.fleet.budget.SetLimits(time.Second, 0, 0)
	return f
}

// Failed dials used up the retry budget, after which a call got one try though
// other servers were there.
func TestRefusedDialsTakeNoRetryBudget(t *testing.T) {
	for _, kind := range []string{"safe", "resumable"} {
		b := &scriptedBackend{answers: []string{`length "id: 1\ndata: x\n\n"`}}
		f := newCallBesideClosed(t, b, kind, 2)
		if got := deliverTo(t, f); !strings.HasPrefix(got, "200 ") {
			t.Errorf("%s: the caller gets %q", kind, got)
		}
		if f.meter.Value("retry.spent") != 0 || f.tries < 2 {
			t.Errorf("%s: %d of the budget in %d tries", kind, f.meter.Value("retry.spent"), f.tries)
		}
		f = newCallBesideClosed(t, b, kind, 2*maxTries)
		if got := deliverTo(t, f); strings.HasPrefix(got, "200 ") || f.tries != maxTries {
			t.Errorf("%s: the caller gets %q after %d tries", kind, got, f.tries)
		}
	}
}

// A try that may have reached a server takes from the budget.
func TestLostAnswersTakeRetryBudget(t *testing.T) {
	b := &scriptedBackend{answers: slices.Repeat([]string{`connection ""`}, 3)}
	f := newScriptedCall(t, b, "resumable", "v", "v")
	f.fleet.budget.SetLimits(time.Second, 0, 0)
	if got := deliverTo(t, f); strings.HasPrefix(got, "200 ") || len(b.servers) != 1 {
		t.Errorf("the caller gets %q after %d arrivals", got, len(b.servers))
	}
}

// A prompt that was prefilled is prefilled again in the next attempt, which is an arrival
// beside that of the run.
func TestRefusedDialAfterPrefillTakesRetryBudget(t *testing.T) {
	for _, prefilled := range []bool{false, true} {
		f := newCallBesideClosed(t, &scriptedBackend{}, "resumable", 1)
		address := closedAddress(t)
		if prefilled {
			if _, err := f.beginSend("p"); err != nil {
				t.Fatal(err)
			}
			f.prefillAccepted()
		}
		_, err := f.do(t.Context(), "d", address, f.codec.EncodeRequest(&server.Request{Call: f.call}), func() error { return nil }) //nolint:bodyclose // there is no answer
		f.recordFailure(t.Context(), "d", address, false, err)
		if !f.allowRetry(t.Context(), true) {
			t.Errorf("prefilled %v: no retry without a prefill", prefilled)
		}
		if allowed := f.reserveSends(true); allowed == prefilled {
			t.Errorf("prefilled %v: retry with a prefill allowed %v", prefilled, allowed)
		}
	}
}
