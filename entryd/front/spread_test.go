package front

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/version/state"
)

// An address answer lists only serving instances, those of the own data centre
// first, and over a full rotation each of these comes first equally often.
func TestSelectAddresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, near := rapid.IntRange(0, 12).Draw(t, "instances"), 0
		members := make([]state.Member, 0, count)
		for i := range count {
			m := state.Member{
				Name: fmt.Sprint(i), URL: fmt.Sprint("http://", i),
				Centre: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "centre"),
				Phase:  rapid.SampledFrom([]state.Phase{state.PhaseServing, state.PhaseLeaving}).Draw(t, "phase"),
			}
			members = append(members, m)
			if m.Centre == "north" && m.Phase == state.PhaseServing && m.Name != "3" {
				near++
			}
		}
		first := map[string]int{}
		for turn := range 5 * uint64(max(near, 1)) {
			list := SelectAddresses(members, "north", "3", 4, turn)
			far := false
			for _, m := range list {
				far = far || m.Centre != "north"
				if m.Phase != state.PhaseServing || m.Name == "3" || (far && m.Centre == "north") {
					t.Fatalf("answer %v", list)
				}
			}
			if near > 0 {
				first[list[0].Name]++
			}
		}
		for name, n := range first {
			if n != 5 {
				t.Fatalf("%s came first %d times of %d", name, n, 5*near)
			}
		}
	})
}
