package plain

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/proto"
)

// Answers that many broken servers send at once were each bounded, but not together.
func TestAnswersWithoutEndFitMemoryTogether(t *testing.T) {
	const calls, perCall, memory, soundBytes = 64, 128 << 10, 16 << 20, 16 << 10
	chunk := strings.Repeat("x", 256<<10)
	for _, once := range []bool{false, true} {
		answers := body.NewBudget(memory)
		ledger := &slowLedger{later: func(context.Context, proto.OnceRequest) error { return nil }}
		s, m := newTestDispatcher(t, ledger, answers, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/sound" {
				_, _ = io.WriteString(w, chunk[:soundBytes])
				return
			}
			for range maxAnswerBytes/len(chunk) - 1 {
				if _, err := io.WriteString(w, chunk); err != nil {
					return
				}
			}
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
		call := func(target string, limit time.Duration) (Answer, error) {
			c := newOnceCall()
			c.Service.AtMostOnce, c.Target, c.TimeLimit = once, target, limit
			return s.Do(t.Context(), c)
		}
		before := heapBytes()
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				if a, err := call("/", 2*time.Second); err == nil {
					t.Errorf("an answer of %d bytes", len(a.Body))
				}
			})
		}
		held, served := int64(0), 0
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			held = max(held, heapBytes()-before)
			if a, err := call("/sound", time.Second); err == nil && len(a.Body) == soundBytes {
				served++
				a.Release()
			}
		}
		group.Wait()
		if held > memory+calls*perCall || served < 20 || m.Value("memory", "answers", "refused") == 0 {
			t.Errorf("once %v: %d bytes held, %d of 20 other calls served", once, held, served)
		}
		if now, _ := answers.Used(); now != 0 {
			t.Errorf("once %v: %d bytes still held at the end", once, now)
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
