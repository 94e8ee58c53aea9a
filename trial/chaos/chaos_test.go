package chaos

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func options() Options {
	return Options{
		Length: time.Minute, MeanGap: 300 * time.Millisecond, MaxFaultTime: 3 * time.Second, RepairTime: 10 * time.Second,
		Keepers: []string{"keep1", "keep2", "keep3"}, Entries: []string{"entry1", "entry2"},
		Engines: []string{"engine1", "engine2"}, PlainServers: []string{"plain1"},
	}
}

func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		faults := Schedule(seed, options())
		if !slices.Equal(faults, Schedule(seed, options())) {
			t.Fatal("the same seed gave another schedule")
		}
		until := make(map[string]time.Duration)
		wiped := -time.Minute
		for _, f := range faults {
			if f.At() < until[f.Target()] {
				t.Fatalf("%s: target is still under a fault", f)
			}
			until[f.Target()] = f.At() + f.Duration()
			if f.At()+f.Duration() > options().Length-quietEnd+minFaultTime {
				t.Fatalf("%s: reaches too far into the quiet end", f)
			}
			if f.Kind() != WipeKeeper {
				continue
			}
			if f.At()-wiped < options().RepairTime {
				t.Fatalf("%s: data folder wiped too soon after another", f)
			}
			wiped = f.At() + f.Duration()
		}
	})
}

func ExampleSchedule() {
	faults := Schedule(1, options())
	fmt.Println(len(faults) > 20, faults[0].Kind().Planned())
	// Output: true false
}
