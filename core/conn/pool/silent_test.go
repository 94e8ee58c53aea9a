package pool_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenahaven.example/core/conn/mute"
	"verbenahaven.example/core/conn/pool"
)

const (
	survivedSilence = 2500 * time.Millisecond
	maxSilence      = 6 * time.Second
	quietTime       = 2 * time.Second // the server computes once its path is back
)

type connKey struct{}

// startMuteServer starts a server whose path is silent for a time before the head
// or within the body of its answer.
func startMuteServer(t *testing.T, place string, silence time.Duration) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if place == "body" {
			_, _ = io.WriteString(w, "some")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond) // for its acknowledgement
		}
		restore, err := mute.Silence(r.Context().Value(connKey{}).(*net.TCPConn))
		if err != nil {
			t.Error(err)
			return
		}
		time.Sleep(silence)
		if err := restore(); err != nil {
			t.Error(err)
		}
		time.Sleep(quietTime)
		_, _ = io.WriteString(w, "end")
	}))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// An engine's path may be silent for a while, but one that stays silent must end an
// exchange: without another engine, nothing else does.
func TestExchangeOnSilentPath(t *testing.T) {
	for _, place := range []string{"head", "body"} {
		for _, silence := range []time.Duration{survivedSilence, maxSilence + time.Second} {
			t.Run(fmt.Sprintf("%s/%v", place, silence), func(t *testing.T) {
				t.Parallel()
				p, cleanup := pool.New()
				defer cleanup()
				ctx, cancel := context.WithTimeout(t.Context(), 2*maxSilence)
				defer cancel()
				start := time.Now()
				a, err := p.Do(newRequest(ctx, t, startMuteServer(t, place, silence).URL))
				if err == nil {
					_, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
				}
				took := time.Since(start)
				if survives := silence == survivedSilence; survives != (err == nil) || took > maxSilence {
					t.Errorf("after %v: %v", took, err)
				}
			})
		}
	}
}
