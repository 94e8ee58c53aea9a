package order_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/order"
	"verbenahaven.example/core/version/state"
)

// A new leader waits for the start delay before its first order. It sends an order
// only once although the engine's status takes a while to show it.
func TestStartDelayAndReportLag(t *testing.T) {
	const startDelay, reportLag = 3 * time.Second, 800 * time.Millisecond
	m := order.New(order.Settings{
		Lease: time.Second, LeaseMargin: 100 * time.Millisecond, MaxNetworkDelay: time.Second, DrainTimeout: 0, DeliveryTimeout: time.Minute,
		ProbeInterval: 100 * time.Millisecond, StartDelay: startDelay, ReportLag: reportLag,
	})
	target := order.Target{Order: state.Order{Number: 1, Engine: "e", Term: 4, Role: state.RolePrefill}, Fenced: true, Drained: true}
	in := order.Input{Term: 4, LeaseRemaining: time.Second, Open: []order.Target{target}}
	var sent []time.Duration
	for now := 10 * time.Second; now < 16*time.Second; now += 20 * time.Millisecond {
		for _, a := range m.Step(now, in) {
			r := order.Result{Kind: a.Kind, Number: 1}
			switch a.Kind {
			case order.ActionProbe:
				r.Status = engine.Status{Role: state.RoleDecode, LastOrder: 5} // outdated until the report lag has passed
				if len(sent) > 0 && now-sent[0] >= reportLag {
					r.Status.Role = state.RolePrefill
				}
			case order.ActionSend:
				if a.LastNumber != 5 {
					t.Fatalf("the send expects order %d as the engine's last, want 5", a.LastNumber)
				}
				sent = append(sent, now)
				r.Order.Accepted = true
			}
			closeAction, closed := m.HandleResult(now, target, r)
			if !closed {
				continue
			}
			if len(sent) != 1 || sent[0] < 10*time.Second+startDelay || closeAction.Status != state.OrderDone {
				t.Fatalf("sent at %v, closed with status %q", sent, closeAction.Status)
			}
			return
		}
	}
	t.Fatalf("the order wasn't closed; sent at %v", sent)
}
