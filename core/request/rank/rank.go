// Package rank orders candidates for a choice. It does no I/O.
package rank

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bools compares two values, false before true.
func Bools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Hasher computes the weights of candidates for a key in rendezvous hashing. All instances
// compute the same. It isn't safe for concurrent use.
type Hasher struct{ prefix []byte }

// nameRoom is the room for a candidate's name: a longer one costs an allocation.
const nameRoom = 64

// NewHasher returns the hasher of a key.
func NewHasher(key string) Hasher {
	b := make([]byte, 0, len(key)+1+nameRoom)
	b = append(b, key...)
	return Hasher{append(b, '/')}
}

// Hash returns the weight of a candidate.
func (h Hasher) Hash(name string) uint64 { return xxhash.Sum64(append(h.prefix, name...)) }

// Oldest returns the key of the value with the earliest time, the zero key of an empty
// map. Equal times make the choice arbitrary.
func Oldest[K comparable, V any](m map[K]V, timeOf func(V) time.Time) K {
	var oldest K
	var earliest time.Time
	found := false
	for key, v := range m {
		if at := timeOf(v); !found || at.Before(earliest) {
			oldest, earliest, found = key, at, true
		}
	}
	return oldest
}

// Least returns the key of the value with the least rank, the zero key of an empty map. Equal
// ranks make the choice arbitrary.
func Least[K comparable, V any, R cmp.Ordered](m map[K]V, rankOf func(V) R) K {
	var least K
	var lowest R
	found := false
	for key, v := range m {
		if r := rankOf(v); !found || r < lowest {
			least, lowest, found = key, r, true
		}
	}
	return least
}
