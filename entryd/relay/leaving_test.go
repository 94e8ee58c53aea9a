package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// A decode engine that begins to leave while the prompt is prefilled gets no request.
func TestEngineThatLeftDuringPrefillGetsNoRequest(t *testing.T) {
	f := newScriptedCall(t, &scriptedBackend{}, "resumable")
	store := view.New()
	var backend *httptest.Server
	engine := func(name string, role state.Role, phase state.Phase) state.Engine {
		return state.Engine{Name: name, URL: backend.URL, Pool: "m", Role: role, Phase: phase, Centre: "z"}
	}
	apply := func(version uint64, engines ...state.Engine) {
		if err := store.Apply(state.View{Version: version, Engines: engines}); err != nil {
			t.Error(err)
		}
		f.fleet.SetSnapshot(store.Current())
	}
	var asked []string
	backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", "1")
		if r.Header.Get("Stage") == "prefill" {
			if len(asked) == 0 && store.Current().Version() == 1 {
				apply(2, engine("p", state.RolePrefill, state.PhaseServing), engine("d1", state.RoleDecode, state.PhaseLeaving), engine("d2", state.RoleDecode, state.PhaseServing))
			}
			fmt.Fprint(w, `{"handle_id":"h","tokens":1}`)
			return
		}
		if name := r.Header.Get("Expect-Instance"); r.Method != http.MethodDelete {
			asked = append(asked, name)
			w.Header().Set("Server-Signature", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
		}
	}))
	defer backend.Close()
	apply(1, engine("p", state.RolePrefill, state.PhaseServing), engine("d1", state.RoleDecode, state.PhaseServing))
	f.snapshot = store.Current()
	if got := deliverTo(t, f); !strings.HasPrefix(got, "200") || !slices.Equal(asked, []string{"d2"}) {
		t.Fatalf("%s, sent to %v; want it sent to d2 only", strings.TrimSpace(got), asked)
	}
}
