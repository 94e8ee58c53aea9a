package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// repeatingServer refuses the first request on each connection, and writes that refusal once
// more in answer to the second one, which it runs.
type repeatingServer struct {
	address string
	answers bool // the runs, after the refusal; else it closes the connection

	mutex sync.Mutex
	runs  map[string]int // by request
}

func newRepeatingServer(t *testing.T, answers bool) *repeatingServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &repeatingServer{address: l.Addr().String(), answers: answers, runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	refusal := ""
	for r := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Request-Id")
		if refusal == "" {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nServer-Signature: s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		b.mutex.Lock()
		b.runs[id]++
		b.mutex.Unlock()
		_, _ = io.WriteString(c, refusal)
		if !b.answers {
			return
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n", id)
	}
}

func (b *repeatingServer) runsOf(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.runs[id]
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for
// the answer to a request that runs: its caller would be told that it hasn't run, or it would
// run at a second server.
func TestRepeatedRefusalIsNotThatOfTheNextCall(t *testing.T) {
	for _, answers := range []bool{true, false} {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
			t.Run(fmt.Sprint(path, answers), func(t *testing.T) {
				servers := []*repeatingServer{newRepeatingServer(t, answers), newRepeatingServer(t, answers)}
				i := newTestInstance(t, "i-0")
				i.setState(t, 1, []string{servers[0].address, servers[1].address}, []string{hostOf(i.peers)})
				i.fleet.budget.SetLimits(10*time.Second, 6, 0)
				ran := 0
				for n := range 30 {
					id := strconv.Itoa(n)
					a := send(t, newCallTo(t, i, id, path, "x"))
					b, _ := io.ReadAll(a.Body)
					runs := servers[0].runsOf(id) + servers[1].runsOf(id)
					ran += runs
					if runs > 0 && a.StatusCode == http.StatusServiceUnavailable || runs > 1 && path != "/safe/" {
						t.Errorf("call %d ran %d times and gets %d, %q", n, runs, a.StatusCode, b)
					}
				}
				if ran == 0 {
					t.Error("no call ran on a kept connection")
				}
			})
		}
	}
}
