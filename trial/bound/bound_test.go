package bound

import (
	"testing"
	"time"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/demand"
)

// TestBound changes from a load that needs 3 prefill engines and 1 decode engine
// to one that needs the opposite. Changing roles serve all requests, a fixed
// split serves two thirds of each load.
func TestBound(t *testing.T) {
	services := []demand.Service{
		{Name: "long", Class: state.ClassBatch, UniqueTokens: 1000, OutputTokens: 10},
		{Name: "short", Class: state.ClassBatch, UniqueTokens: 10, OutputTokens: 100},
	}
	e := Engine{Prefill: 10000, Decode: 1000}
	segments := []demand.Segment{
		{Name: "long", Length: 2 * SlotLength, Reported: true},
		{Name: "short", Length: 2 * SlotLength, Reported: true},
	}
	arrivals := make([]demand.Arrival, 0, 240)
	for i := range 240 {
		a := demand.Arrival{At: time.Duration(i) * SlotLength / 60, Service: i / 120, Segment: i / 120}
		arrivals = append(arrivals, a)
	}
	r := Compute(services, segments, arrivals, e, []int{4, 4})
	if r.Total < 0.999 || r.Changing[0] < 0.999 {
		t.Fatalf("changing roles serve %+v", r)
	}
	if r.Fixed < 0.6 || r.Fixed > 0.9 {
		t.Fatalf("a fixed split serves %+v", r)
	}
}
