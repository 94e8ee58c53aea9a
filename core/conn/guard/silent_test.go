package guard_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/mute"
)

// Only the lease and the timeout end an order whose engine or path is silent.
func TestOrderSurvivesSilence(t *testing.T) {
	const silence = 2500 * time.Millisecond
	for _, link := range []bool{false, true} {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !link {
				time.Sleep(silence)
			}
			_ = json.NewEncoder(w).Encode(response{true})
		}))
		s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			if !link {
				return ctx
			}
			restore, err := mute.Silence(c.(*net.TCPConn))
			if err != nil {
				t.Error(err)
				return ctx
			}
			time.AfterFunc(silence, func() { _ = restore() })
			return ctx
		}
		s.Start()
		defer s.Close()
		w := guard.New(func() time.Duration { return 10 * time.Second }, 100*time.Millisecond, 6*time.Second)
		var resp response
		start := time.Now()
		if wrote, err := w.PostJSON(t.Context(), s.URL, struct{}{}, &resp); err != nil || !wrote || !resp.OK {
			t.Errorf("path silent %v: wrote %v, response %v after %v: %v", link, wrote, resp, time.Since(start), err)
		}
	}
}
