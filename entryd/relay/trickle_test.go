package relay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stream"
)

// trickleBackend stands for engines of which the first one to begin sends an event and
// then only pieces that complete none, each after a pause. The others send whole streams.
type trickleBackend struct {
	piece string
	pause time.Duration

	mutex sync.Mutex
	runs  int
}

func (b *trickleBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	b.runs++
	first := b.runs == 1
	b.mutex.Unlock()
	w.Header().Set("Request-Id", "1")
	w.Header().Set("Server-Signature", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(text string) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	if !first {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= 3; n++ {
			send(fmt.Sprintf("id: %d\ndata: x\n\n", n))
		}
		return
	}
	send("id: 1\ndata: x\n\n")
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(b.pause):
			send(b.piece)
		}
	}
}

// An engine that sends bytes now and then but completes no event must be left for another
// one, as one that is silent, and must not hold a call beyond its deadline where there is
// none.
func TestTricklingEngineIsSilent(t *testing.T) {
	for name, piece := range map[string]string{"a byte of an event": "d", "comments": ": x\n\n", "empty lines": "\n"} {
		for _, engines := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", name, engines), func(t *testing.T) {
				t.Parallel()
				b := &trickleBackend{piece: piece, pause: 100 * time.Millisecond}
				f := newSilentCall(t, b, engines, 2, 1)
				start := time.Now()
				out := deliverTo(t, f)
				took := time.Since(start)
				whole := strings.Contains(out, "id: 2") && strings.Contains(out, "id: 3")
				switch {
				case engines == 2 && (!whole || took > 2*time.Second):
					t.Errorf("after %v: %q", took, out)
				case engines == 1 && (whole || took > f.route.Timeout+time.Second):
					t.Errorf("alone, after %v: %q", took, out)
				}
			})
		}
	}
}

// An engine that is slower than its target by a factor of 8, but completes an event within
// the bound for a second attempt, must be neither left nor cut.
func TestSlowEngineIsNotCut(t *testing.T) {
	var runs int
	f := newSilentCall(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs++
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Server-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 6; n++ {
			for _, part := range []string{"id: " + strconv.Itoa(n) + "\nda", "ta: x\n\n"} {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(160 * time.Millisecond) // 320 ms an event, of a target of 40 ms
			}
		}
	}), 2, 2, 1)
	f.route.GapTarget = 40 * time.Millisecond
	if out := deliverTo(t, f); !strings.Contains(out, "id: 6") || runs != 1 {
		t.Errorf("%d runs, %q", runs, out)
	}
}

// A refusal whose body goes on for good held the call until its deadline, although another
// server could take it.
func TestRefusalWithoutEndLeavesCallTime(t *testing.T) {
	for _, kind := range []string{"stream", "unsafe"} {
		t.Run(kind, func(t *testing.T) {
			var asked atomic.Int32
			f := newScriptedCall(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", "1")
				if asked.Add(1) > 1 {
					w.Header().Set("Server-Signature", "s")
					w.Header().Set("Content-Type", stream.ContentType)
					_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
					return
				}
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, "x")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			}), kind, "v1", "v1")
			f.call.TimeLeft = 3 * time.Second
			if got := deliverTo(t, f); !strings.HasPrefix(got, "200 ") || f.timeLeft() < 2*time.Second {
				t.Errorf("the caller gets %q with %v left", got, f.timeLeft())
			}
		})
	}
}
