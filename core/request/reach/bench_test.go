package reach_test

import (
	"fmt"
	"testing"

	"verbenahaven.example/core/request/reach"
)

// Each call asks once whether the path to its pool is cut.
func BenchmarkCut(b *testing.B) {
	for _, n := range []int{9, 50, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := reach.NewPools()
			p.SetServers(map[string][]string{"m": names(n)})
			for b.Loop() {
				p.Cut(start, "m")
			}
		})
	}
}
