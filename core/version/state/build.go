package state

import (
	"cmp"
	"slices"
	"time"
)

// FormerBuild is a build of which the last backend server of a pool has left the platform's
// list. Streams that it began may still be taken up.
type FormerBuild struct {
	Pool  string    `cbor:"1,keyasint"`
	Build string    `cbor:"2,keyasint"`
	Left  time.Time `cbor:"3,keyasint"`
}

// formerBuildMemory is how long a former build is kept. No stream is older.
const formerBuildMemory = time.Hour

// poolBuild is a build that serves in a pool.
type poolBuild struct{ pool, build string }

func (s *State) listedBuilds() map[poolBuild]bool {
	listed := make(map[poolBuild]bool)
	for _, e := range s.engines.rows {
		listed[poolBuild{e.Pool, e.Build}] = true
	}
	for _, v := range s.servers.rows {
		listed[poolBuild{v.Service, v.Build}] = true
	}
	return listed
}

// updateFormerBuilds records the builds that aren't listed any more.
func (s *State) updateFormerBuilds(before map[poolBuild]bool) {
	listed := s.listedBuilds()
	s.formerBuilds = slices.DeleteFunc(s.formerBuilds, func(b FormerBuild) bool {
		return listed[poolBuild{b.Pool, b.Build}] || s.now.Sub(b.Left) > formerBuildMemory
	})
	for b := range before {
		if !listed[b] {
			s.formerBuilds = append(s.formerBuilds, FormerBuild{Pool: b.pool, Build: b.build, Left: s.now})
		}
	}
	slices.SortFunc(s.formerBuilds, func(a, b FormerBuild) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Build, b.Build))
	})
}

// FormerBuilds returns the builds that left the platform's list lately, sorted by pool and
// build.
func (s *State) FormerBuilds() []FormerBuild { return slices.Clone(s.formerBuilds) }
