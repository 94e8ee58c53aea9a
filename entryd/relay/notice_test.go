package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
)

// stating is a backend server that says things of itself in each answer.
type stating struct {
	mutex  sync.Mutex
	status int
	header http.Header
	seen   []time.Time
	late   bool // it answers just after the deadline of each request
}

func (b *stating) say(status int, header http.Header) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.status, b.header = status, header
}

// count returns the number of requests since a time.
func (b *stating) count(since time.Time) int { return b.countBetween(since, time.Now()) }

func (b *stating) countBetween(from, to time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := 0
	for _, at := range b.seen {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// last returns when the latest request arrived.
func (b *stating) last() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.seen[len(b.seen)-1]
}

func (b *stating) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mutex.Lock()
	b.seen = append(b.seen, time.Now())
	status := b.status
	for name, values := range b.header {
		w.Header()[name] = values
	}
	late := b.late
	b.mutex.Unlock()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && late {
		time.Sleep(time.Duration(ms)*time.Millisecond + 5*time.Millisecond)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", "s")
	if status != http.StatusOK {
		w.WriteHeader(status)
	} else if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	}
}

// newStating returns an instance with two servers, of which each is an engine and a plain
// server.
func newStating(t *testing.T) (*testInstance, [2]*stating) {
	t.Helper()
	var servers [2]*stating
	addresses := make([]string, len(servers))
	for n := range servers {
		servers[n] = &stating{status: http.StatusOK}
		backend := httptest.NewServer(servers[n])
		t.Cleanup(backend.Close)
		addresses[n] = hostOf(backend)
	}
	i := newTestInstance(t, "i-0")
	i.setState(t, 1, addresses, []string{hostOf(i.peers)})
	i.fleet.budget.SetLimits(10*time.Second, 6, 0)
	return i, servers
}

// hearFrom lets the server that gets the next call say something in its answer. It returns
// that server first, and when it was heard.
func hearFrom(t *testing.T, i *testInstance, path string, servers [2]*stating, status int, header http.Header) (first, other *stating, heard time.Time) {
	t.Helper()
	first, other = servers[0], servers[1]
	for range 10 {
		first.say(status, header)
		other.say(http.StatusOK, nil)
		start := time.Now()
		ask(t, i, path, 2) // plain servers take turns
		if first.count(start) > 0 {
			return first, other, time.Now()
		}
		first, other = other, first
	}
	t.Fatal("neither server gets a call")
	return nil, nil, time.Time{}
}

// ask sends calls to an instance, and returns their statuses and the last Retry-After.
func ask(t *testing.T, i *testInstance, path string, calls int) (statuses map[int]int, retryAfter float64) {
	t.Helper()
	statuses = make(map[int]int)
	for n := range calls {
		a := send(t, newCallTo(t, i, fmt.Sprint(time.Now().UnixNano(), "-", n), path, "x"))
		_, _ = io.Copy(io.Discard, a.Body)
		statuses[a.StatusCode]++
		retryAfter, _ = strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	}
	return statuses, retryAfter
}

// A list that left out the build of an engine for a moment made it a new start, and a pause that
// it had asked for was forgotten.
func TestStartIsToldByItsSerial(t *testing.T) {
	for _, c := range []struct {
		build  string
		serial int64
		same   bool
	}{{"v1", 5, true}, {"", 5, true}, {"v1", 6, false}} {
		if same := startID("http://h:1", c.build, c.serial) == startID("http://h:1", "v1", 5); same != c.same {
			t.Errorf("build %q, serial %d: the same start %v", c.build, c.serial, same)
		}
	}
	if startID("http://h:1", "v1", 0) == startID("http://h:1", "v2", 0) {
		t.Error("another build of a server without serials is no other start")
	}
}

var bothPaths = []string{"/safe/", "/stream/"}

// A server that said that it is leaving got requests until the list said so.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for _, path := range bothPaths {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(path, status), func(t *testing.T) {
				i, servers := newStating(t)
				leaving, _, heard := hearFrom(t, i, path, servers, status, http.Header{"Server-Leaving": {"1"}})
				statuses, _ := ask(t, i, path, 20)
				if n := leaving.count(heard); n != 0 || statuses[http.StatusOK] != 20 {
					t.Errorf("%d requests to the server that leaves, statuses %v", n, statuses)
				}
				if news := i.fleet.Notices(i.clock.Now()); len(news) == 0 || !news[0].Leaving {
					t.Errorf("the heartbeat says %+v", news)
				}
			})
		}
	}
}

// Other instances learn from the leader, and from the instance that places for them.
func TestLearnedLeavingServerGetsNoRequests(t *testing.T) {
	for _, byReply := range []bool{true, false} {
		i, servers := newStating(t)
		i.fleet.mutex.Lock()
		e, _ := i.fleet.snapshot.Engine("e-0")
		i.fleet.mutex.Unlock()
		list := []proto.ServerNotice{{Server: "e-0", Start: startID(e.URL, e.Build, e.StartSerial), Leaving: true}}
		if byReply {
			i.fleet.ApplyReply(i.clock.Now(), proto.HeartbeatReply{Notices: list})
		} else {
			i.fleet.LearnNotices(list)
		}
		if statuses, _ := ask(t, i, "/stream/", 20); servers[0].count(time.Time{}) != 0 || statuses[http.StatusOK] != 20 {
			t.Errorf("%d requests to the server that leaves, statuses %v", servers[0].count(time.Time{}), statuses)
		}
	}
}

// A server that asked for a pause got requests during it.
func TestQuietServerGetsNoRequests(t *testing.T) {
	for _, path := range bothPaths {
		t.Run(path, func(t *testing.T) {
			i, servers := newStating(t)
			header := http.Header{"Retry-After": {"1.5"}, "Not-Executed": {"1"}}
			quiet, other, heard := hearFrom(t, i, path, servers, http.StatusServiceUnavailable, header)
			quiet.say(http.StatusOK, nil)
			end := quiet.last().Add(1500 * time.Millisecond)
			for time.Since(heard) < 1400*time.Millisecond {
				ask(t, i, path, 5)
			}
			if n := quiet.countBetween(heard, end); n != 0 {
				t.Errorf("%d requests within the pause", n)
			}
			other.say(http.StatusServiceUnavailable, http.Header{"Retry-After": {"5"}, "Not-Executed": {"1"}})
			for time.Since(heard) < 2*time.Second {
				ask(t, i, path, 5)
			}
			if quiet.count(heard) == 0 {
				t.Error("no request after the pause")
			}
		})
	}
}

// With all servers of a pool in a pause, callers waited or were told to come back too soon.
func TestCallersAreRefusedWhenAllServersAreQuiet(t *testing.T) {
	for _, path := range bothPaths {
		t.Run(path, func(t *testing.T) {
			i, servers := newStating(t)
			for n, s := range servers {
				s.say(http.StatusServiceUnavailable, http.Header{"Retry-After": {strconv.Itoa(3 + n)}, "Not-Executed": {"1"}})
			}
			for n := 0; servers[0].count(time.Time{}) == 0 || servers[1].count(time.Time{}) == 0; n++ {
				if n > 100 {
					t.Fatal("a server got no request")
				}
				ask(t, i, path, 1)
			}
			start := time.Now()
			statuses, retryAfter := ask(t, i, path, 10)
			if took := time.Since(start); statuses[http.StatusServiceUnavailable] != 10 || took > time.Second || retryAfter < 1.5 || retryAfter > 3.8 {
				t.Errorf("statuses %v after %s, to come back after %v s; servers asked for 3 and 4", statuses, took, retryAfter)
			}
			if n := servers[0].count(start) + servers[1].count(start); n != 0 {
				t.Errorf("%d requests within the pause", n)
			}
		})
	}
}

// Pauses that servers asked for as they turned a request away at its deadline, or a probe or a
// release of the instance's own, weren't heard.
func TestPauseIsHeardInAnyAnswer(t *testing.T) {
	for name, request := range map[string]func(i *testInstance, path, address string){
		"deadline": func(i *testInstance, path, _ string) {
			r := newCallTo(t, i, "late", path, "x")
			r.Header.Set("Deadline-Ms", "150")
			_ = send(t, r)
		},
		"probe": func(i *testInstance, _, address string) { i.probe(t.Context(), address) },
		"release": func(i *testInstance, _, address string) {
			name, _ := i.fleet.serverAt(address)
			i.releaseKV(t.Context(), name, address, "h")
		},
	} {
		for _, path := range bothPaths {
			t.Run(name+path, func(t *testing.T) {
				i, servers := newStating(t)
				for _, s := range servers {
					s.say(http.StatusServiceUnavailable, http.Header{"Retry-After": {"5"}, "Not-Executed": {"1"}})
					s.late = name == "deadline"
				}
				e, _ := i.fleet.Snapshot().Engine("e-0")
				request(i, path, server.HostPort(e.URL))
				asked := servers[0]
				if servers[1].count(time.Time{}) > 0 {
					asked = servers[1]
				}
				for _, s := range servers {
					s.late = false
					s.say(http.StatusOK, nil)
				}
				heard := time.Now()
				if statuses, _ := ask(t, i, path, 20); asked.count(heard) != 0 || statuses[http.StatusOK] != 20 {
					t.Errorf("%d requests within the pause, statuses %v", asked.count(heard), statuses)
				}
			})
		}
	}
}
