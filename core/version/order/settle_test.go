package order_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/order"
	"verbenahaven.example/core/version/state"
)

// A new leader waits before its first order, and sends what the engine's lagging
// account doesn't show yet only once.
func TestSettleAndReport(t *testing.T) {
	const settle, report = 3 * time.Second, 800 * time.Millisecond
	m := order.New(order.Settings{
		Lease: time.Second, Margin: 100 * time.Millisecond, Flight: time.Second, Drain: 0, Limit: time.Minute,
		Pause: 100 * time.Millisecond, Settle: settle, Report: report,
	})
	target := order.Target{Order: state.Order{Number: 1, Engine: "e", Term: 4, Role: state.RolePrefill}, Fenced: true, Settled: true}
	in := order.Input{Term: 4, Remaining: time.Second, Open: []order.Target{target}}
	var sent []time.Duration
	for now := 10 * time.Second; now < 16*time.Second; now += 20 * time.Millisecond {
		for _, a := range m.Step(now, in) {
			r := order.Result{Kind: a.Kind, Number: 1}
			switch a.Kind {
			case order.ActionProbe:
				r.Status = engine.Status{Role: state.RoleDecode, Number: 5} // its account lags
				if len(sent) > 0 && now-sent[0] >= report {
					r.Status.Role = state.RolePrefill
				}
			case order.ActionSend:
				if a.Seen != 5 {
					t.Fatalf("the order expects %d orders before it", a.Seen)
				}
				sent = append(sent, now)
				r.Order.Accepted = true
			}
			closing, ended := m.Done(now, target, r)
			if !ended {
				continue
			}
			if len(sent) != 1 || sent[0] < 10*time.Second+settle || closing.Status != state.OrderDone {
				t.Fatalf("sent at %v, closed as %q", sent, closing.Status)
			}
			return
		}
	}
	t.Fatalf("the order wasn't closed; sent at %v", sent)
}
