package plain

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

// TestRunsAreRecordedUnderFaults checks that each call that arrives is recorded
// as a run, even if a fault drops its response.
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
		r.Header.Set(inject.HeaderCallID, id)
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}
	for i, step := range []struct {
		fault    inject.Fault
		answered bool
		runs     int
	}{
		{inject.Fault{Kind: inject.ClearFaults}, true, 1},
		{inject.Fault{Kind: inject.DropAnswer}, false, 2},
		{inject.Fault{Kind: inject.NeverAnswer}, false, 3},
		{inject.Fault{Kind: inject.StallConns}, true, 4}, // over a new connection
		{inject.Fault{Kind: inject.Crash}, false, 4},
		{inject.Fault{Kind: inject.Restart}, true, 5},
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
			if r.Kind == inject.RecordExecuted {
				runs++
			}
		}
		if runs != step.runs {
			t.Errorf("%s: %d runs, want %d", step.fault.Kind, runs, step.runs)
		}
	}
}
