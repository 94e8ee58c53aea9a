package watch_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/watch"
)

func entries(n int) []state.Member {
	list := make([]state.Member, n)
	for i := range list {
		list[i] = state.Member{Name: fmt.Sprintf("entry%03d", i)}
	}
	return list
}

// The instances form one tree: each reaches the root, none has more children
// than the fanout, and the tree is no deeper than necessary.
func TestInstancesFormATree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(1, 400).Draw(t, "instances"))
		fanout := rapid.IntRange(1, 8).Draw(t, "fanout")
		children, roots := map[string]int{}, 0
		for _, m := range list {
			depth := 0
			for name := m.Name; ; depth++ {
				p, ok := watch.Parent(list, name, fanout)
				if !ok {
					break
				}
				if p.Name >= name {
					t.Fatalf("%s is the parent of %s", p.Name, name)
				}
				name = p.Name
			}
			if p, ok := watch.Parent(list, m.Name, fanout); ok {
				children[p.Name]++
			} else {
				roots++
			}
			if reach := 1; fanout > 1 {
				for range depth {
					reach *= fanout
				}
				if reach > fanout*len(list) {
					t.Fatalf("depth %d is too large for %d instances", depth, len(list))
				}
			}
		}
		for name, n := range children {
			if n > fanout {
				t.Fatalf("%s has %d children", name, n)
			}
		}
		if roots != 1 {
			t.Fatalf("%d roots, want 1", roots)
		}
	})
}

// Of two partitions that can't reach each other, at most one has a majority
// when every instance polls all others.
func TestAtMostOnePartitionHasMajority(t *testing.T) {
	for all := 1; all <= 10; all++ {
		for here := 1; here < all; here++ {
			if watch.Majority(here-1, all-1) && watch.Majority(all-here-1, all-1) {
				t.Errorf("partitions of %d and %d of %d instances both have a majority", here, all-here, all)
			}
		}
		if !watch.Majority(all-1, all-1) {
			t.Errorf("all of %d instances are no majority", all)
		}
	}
	if got := len(watch.Sample(entries(100), "entry005")); got != 9 {
		t.Errorf("sample of %d instances, want 9", got)
	}
}
