package relay

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/version/state"
)

// Bodies were read whole, however many callers sent one at a time.
func TestBodiesOfManyCallersStayWithinBudget(t *testing.T) {
	const bodyBytes, callers = 1 << 20, 64
	f := newScriptedCall(t, &scriptedBackend{}, "safe", "v1")
	f.SetMemory(144 << 20)
	results := make(chan bool, callers)
	for range callers {
		one := *f
		call := *f.call
		one.call, one.w = &call, httptest.NewRecorder()
		go func() {
			refusal := one.readRequest(httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", bodyBytes))), state.Limits{})
			if refusal != nil && refusal.RetryAfter == 0 {
				t.Errorf("refused as %s", refusal.Kind)
			}
			time.Sleep(50 * time.Millisecond)
			if now, _ := one.memory.bodies.Used(); now > one.memory.bodies.Size()*9/8 {
				t.Errorf("%d bytes held", now)
			}
			one.releaseAll()
			results <- refusal == nil && len(call.Body) == bodyBytes
		}()
	}
	whole := 0
	for range callers {
		if <-results {
			whole++
		}
	}
	if now, peak := f.memory.bodies.Used(); whole == 0 || whole == callers || now != 0 || peak > f.memory.bodies.Size()*9/8 {
		t.Errorf("%d of %d bodies read, %d bytes held, %d at most", whole, callers, now, peak)
	}
}
