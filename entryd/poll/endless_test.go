package poll

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/picker"
)

// Reports and cache events that many broken engines send at once must fit the memory, and the
// reports of the others be read.
func TestReportsWithoutEndFitMemoryTogether(t *testing.T) {
	const memory, broken = 16 << 20, 50
	chunk := strings.Repeat("{},", 8<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/sound") {
			_, _ = io.WriteString(w, `{"running":1}`)
			return
		}
		for range (maxCacheBytes - 1) / len(chunk) {
			_, _ = io.WriteString(w, chunk)
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer s.Close()
	connections, cleanup := pool.New()
	defer cleanup()
	answers := body.NewBudget(memory)
	p := New(Settings{Timeout: 2 * time.Second, Answers: answers}, picker.New("entry1", "north", route.PolicyLoad), connections, meter.New(), clock.System())
	before, held := heapBytes(), int64(0)
	var group sync.WaitGroup
	for range broken {
		group.Go(func() {
			e := state.Engine{Name: "e", URL: s.URL}
			if p.fetchCacheEvents(t.Context(), e, 7) != 7 || p.fetchLoad(t.Context(), e) == nil {
				t.Error("taken")
			}
		})
	}
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		held = max(held, heapBytes()-before)
		if err := p.fetchLoad(t.Context(), state.Engine{Name: "sound", URL: s.URL + "/sound"}); err != nil {
			t.Error(err)
		}
	}
	group.Wait()
	if now, _ := answers.Used(); now != 0 || held > memory {
		t.Errorf("%d bytes counted at the end, %d held before", now, held)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
