package plain

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

// TestFaults checks that each arrival is a run, whatever becomes of its answer.
func TestFaults(t *testing.T) {
	s := New(config.Plain{Name: "p", Service: "permit", Listen: "127.0.0.1:0", Time: boot.Duration(time.Millisecond)})
	cleanup, err := s.Listen(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	url := "http://" + s.gate.Addr().String() + "/file"
	call := func(id string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body "+id))
		r.Header.Set(stand.HeaderCall, id)
		a, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return false
		}
		defer a.Body.Close()
		_, err = io.ReadAll(a.Body)
		return err == nil && a.StatusCode == http.StatusOK
	}
	for i, step := range []struct {
		fault    stand.Fault
		answered bool
		runs     int
	}{
		{stand.Fault{Kind: stand.Heal}, true, 1},
		{stand.Fault{Kind: stand.Lose}, false, 2},
		{stand.Fault{Kind: stand.Mute}, false, 3},
		{stand.Fault{Kind: stand.Silence}, true, 4}, // over a new connection
		{stand.Fault{Kind: stand.Crash}, false, 4},
		{stand.Fault{Kind: stand.Revive}, true, 5},
	} {
		if err := s.Fault(step.fault); err != nil {
			t.Fatal(err)
		}
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		if got := call(string(rune('a' + i))); got != step.answered {
			t.Errorf("%s: answered %v", step.fault.Kind, got)
		}
		runs := 0
		for _, r := range s.History().Records() {
			if r.Kind == stand.RecordRun {
				runs++
			}
		}
		if runs != step.runs {
			t.Errorf("%s: %d runs, want %d", step.fault.Kind, runs, step.runs)
		}
	}
}
