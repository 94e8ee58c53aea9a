package sched

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/request/pace"
)

// What no engine has room for is refused with a time to return.
func TestLimitsOfEnginesAreKept(t *testing.T) {
	const limit = 5
	for _, engine := range []string{"p", "d"} {
		s := newTestScheduler()
		table := pace.New(func(string, float64) float64 { return 1 })
		s.SetLimits(table)
		now := start
		sent, refused := 0, 0
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			table.Hear(now, engine, true, limit)
			r := newTestRequest(fmt.Sprint(i))
			r.Admit = false // as for a retry
			d, err := s.Decide(now, r)
			switch {
			case err != nil:
				t.Fatal(err)
			case d.Refused:
				if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
					t.Fatalf("Retry-After %v", d.RetryAfter)
				}
				refused++
			case d.Plan.Prefill.Name == engine || d.Plan.Decode.Name == engine:
				sent++
			}
		}
		if sent > 10*limit+1 || sent < 10*limit-5 {
			t.Errorf("engine %s: %d requests in 10 s at a limit of %d a second", engine, sent, limit)
		}
		if engine == "d" && refused != 1000-sent {
			t.Errorf("%d of %d requests refused while the only decode engine was limited", refused, 1000-sent)
		}
	}
}
