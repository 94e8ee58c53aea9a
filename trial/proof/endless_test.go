package proof_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// endless answers requests without end.
type endless struct {
	head       string // fields, and the empty line if the body follows
	line       string // of its body or head, ATTEMPT and TOKEN replaced
	pauseAfter int    // bytes after which nothing more comes, 0 for never
}

func (e *endless) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q engine.Request
	_ = json.NewDecoder(r.Body).Decode(&q)
	switch r.URL.Path {
	case engine.PathLoad:
		_, _ = io.WriteString(w, `{"engine":"broken","role":"mixed"}`)
		return
	case engine.PathState, engine.PathCache:
		_, _ = io.WriteString(w, "{}")
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+e.head); err != nil {
		return
	}
	e.send(c, &q, gone)
}

func (e *endless) send(c net.Conn, q *engine.Request, gone <-chan struct{}) {
	for n, sent := 0, 0; ; {
		var block strings.Builder
		for ; block.Len() < 16<<10; n++ {
			block.WriteString(strings.NewReplacer("ATTEMPT", q.Attempt, "TOKEN", strconv.Itoa(n)).Replace(e.line))
		}
		if _, err := io.WriteString(c, block.String()); err != nil {
			return
		}
		if sent += block.Len(); e.pauseAfter > 0 && sent >= e.pauseAfter {
			<-gone
			return
		}
	}
}

// A broken server's answers without end filled an entry instance, which ended with the calls
// of all its callers.
func TestAnswersWithoutEndFitMemory(t *testing.T) {
	const memoryMB, calls = 200, 128
	token := `data: {"attempt":"ATTEMPT","token":TOKEN,"choices":[{"delta":{"content":"` + strings.Repeat("x", 4<<10) + `"}}]}` + "\n\n"
	for _, c := range []struct {
		name string
		chat bool
		endless
	}{
		{"head that stops", false, endless{line: "aTOKEN:\r\n", pauseAfter: 4 << 20}},
		{"body without end", false, endless{head: "\r\n", line: strings.Repeat("x", 4<<10)}},
		{"body that stops", false, endless{head: "\r\n", line: strings.Repeat("x", 4<<10), pauseAfter: 7 << 20}},
		{"head of an answer that stops", true, endless{line: "aTOKEN:\r\n", pauseAfter: 4 << 20}},
		{"tokens without end", true, endless{head: "Content-Type: text/event-stream\r\n\r\n", line: token}},
		{"choices", true, endless{head: "Content-Type: text/event-stream\r\n\r\n", line: `data: {"choices":[` + strings.Repeat("{},", 250_000) + "{}]}\n\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startDeployment(t, fleet.Options{
				Entries: 1, Engines: fastEngines(state.RoleMixed), PlainServers: lookupServers()[:1],
				EntrySettings: map[string]any{"memory": map[string]any{"bytes": memoryMB << 20}},
			})
			broken := httptest.NewServer(&c.endless)
			defer broken.Close()
			s.runCommand(t, "declare model broken revision 1")
			s.runCommand(t, "declare service broken kind plain class first deadline 3s")
			s.runCommand(t, fmt.Sprintf("declare server broken url %q centre north service broken", broken.URL))
			s.runCommand(t, fmt.Sprintf("declare engine broken1 url %q centre north role mixed model broken revision 1 fenced false", broken.URL))
			p := s.Entries()[0]
			time.Sleep(time.Second) // until the instance has a report of the engine
			var group sync.WaitGroup
			for n := range calls {
				group.Go(func() { callBroken(t, s, p.URL(), c.chat, n) })
			}
			served, tried := 0, 0
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				tried++
				a, err := s.caller.CallPlain(t.Context(), p.URL(), caller.PlainCall{Service: "lookup", Body: "x"})
				if err == nil && a.Status() == http.StatusOK {
					served++
				}
			}
			group.Wait()
			mb := peakMB(t, p.PID())
			t.Logf("%d MB, %d of %d other calls served", mb, served, tried)
			if mb > memoryMB || served < tried {
				t.Errorf("%d MB resident of %d, %d of %d other calls served", mb, memoryMB, served, tried)
			}
		})
	}
}

// callBroken makes a call of the broken server, for 2 s at most.
func callBroken(t *testing.T, s *deployment, url string, chat bool, n int) {
	path, body := "/s/broken/x", "x"
	if chat {
		path, body = "/v1/chat/completions", fmt.Sprintf(`{"model":"broken","messages":[{"role":"user","content":"%d"}]}`, n)
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	r.Header.Set("Authorization", "Bearer "+s.CallerToken())
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	a, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
}

// peakMB returns the most memory that a process has had resident.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}
