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

// TestRunsAreRecordedUnderFaults checks that each call that arrives is recorded as
// a run, even if a fault drops its answer.
func TestRunsAreRecordedUnderFaults(t *testing.T) {
	s := New(config.Plain{Name: "p", Service: "permit", Listen: "127.0.0.1:0", ServiceTime: boot.Duration(time.Millisecond)})
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
		r.Header.Set(stand.HeaderCallID, id)
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}
	for i, step := range []struct {
		fault    stand.Fault
		answered bool
		runs     int
	}{
		{stand.Fault{Kind: stand.ClearFaults}, true, 1},
		{stand.Fault{Kind: stand.DropAnswer}, false, 2},
		{stand.Fault{Kind: stand.NeverAnswer}, false, 3},
		{stand.Fault{Kind: stand.StallConns}, true, 4}, // over a new connection
		{stand.Fault{Kind: stand.Crash}, false, 4},
		{stand.Fault{Kind: stand.Restart}, true, 5},
	} {
		if err := s.InjectFault(step.fault); err != nil {
			t.Fatal(err)
		}
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		if got := call(string(rune('a' + i))); got != step.answered {
			t.Errorf("%s: answered %v", step.fault.Kind, got)
		}
		runs := 0
		for _, r := range s.History().Records() {
			if r.Kind == stand.RecordExecuted {
				runs++
			}
		}
		if runs != step.runs {
			t.Errorf("%s: %d runs, want %d", step.fault.Kind, runs, step.runs)
		}
	}
}
