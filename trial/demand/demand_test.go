package demand

import (
	"reflect"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
)

var (
	testServices = []Service{{Name: "a", UniqueTokens: 500, SharedTokens: 4000, Groups: 3, OutputTokens: 10}, {Name: "b", UniqueTokens: 100}}
	testSegments = []Segment{
		{Name: "calm", Shape: Steady, Length: 20 * time.Second, Rates: []float64{20, 5}},
		{Name: "ramp", Shape: Ramp, Length: 20 * time.Second, Rates: []float64{0, 50}},
		{Name: "swing", Shape: Swing, Length: 20 * time.Second, Rates: []float64{10, 0}, OtherRates: []float64{0, 10}, HalfPeriod: time.Second},
	}
)

func TestArrivalsFollowTheRates(t *testing.T) {
	all := Generate(testServices, testSegments, 1)
	if !reflect.DeepEqual(all, Generate(testServices, testSegments, 1)) {
		t.Fatal("the same seed gave other arrivals")
	}
	counts := make(map[[2]int]int)
	last := time.Duration(0)
	for i, a := range all {
		counts[[2]int{a.Segment, a.Service}]++
		if a.At < last || a.Serial != i {
			t.Fatalf("arrival %d is out of order", i)
		}
		last = a.At
		if second := int((a.At - 40*time.Second) / time.Second); a.Segment == 2 && second%2 != a.Service {
			t.Fatalf("service %d at %s of the swing", a.Service, a.At)
		}
	}
	for key, want := range map[[2]int]int{{0, 0}: 400, {0, 1}: 100, {1, 0}: 200, {1, 1}: 550, {2, 0}: 100, {2, 1}: 100} {
		if got := counts[key]; got < want*7/10 || got > want*13/10 {
			t.Errorf("segment and service %v: %d arrivals, want about %d", key, got, want)
		}
	}
}

func TestPromptsShareWholeBlocks(t *testing.T) {
	v := testServices[0]
	a, b := Prompt(v, Arrival{Group: 1, Serial: 1}), Prompt(v, Arrival{Group: 1, Serial: 2})
	shared := SharedBlocks(v) * engine.BlockTokens * BytesPerToken
	if len(a) != (v.UniqueTokens+v.SharedTokens)*BytesPerToken || a[:shared] != b[:shared] || a == b {
		t.Fatalf("prompts of %d bytes don't share their first %d only", len(a), shared)
	}
	if c := Prompt(v, Arrival{Group: 2, Serial: 1}); c[:shared] == a[:shared] {
		t.Fatal("groups share a prompt")
	}
}
