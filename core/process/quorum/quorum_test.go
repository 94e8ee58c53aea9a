package quorum

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var soakSeeds = flag.Int("soak.seeds", 0, "number of seeds of the soak run, 0 for a short run")

// TestMain sets a fixed seed for rapid unless one is given, so that all CI runs
// are equal.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// groupShapes returns the group sizes that the tests run with.
func groupShapes() []options {
	return []options{defaultOptions(3, 0), defaultOptions(3, 2), defaultOptions(5, 0), defaultOptions(5, 2), defaultOptions(7, 0)}
}

// TestRandomFaults runs simulations whose group shape, seed and faults rapid
// draws. Rapid shrinks the faults of a failure.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := rapid.SampledFrom(groupShapes()).Draw(r, "shape")
		o.faultPeriod = 6 * time.Second
		n := o.voters + o.spares
		faults := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
			return fault{
				at:     time.Duration(rapid.IntRange(300, 6000).Draw(r, "at")) * time.Millisecond,
				kind:   faultKind(rapid.IntRange(0, int(faultKindCount)-1).Draw(r, "kind")),
				member: rapid.IntRange(0, n-1).Draw(r, "member"),
				other:  rapid.IntRange(0, n-1).Draw(r, "other"),
				length: time.Duration(rapid.IntRange(1, 1500).Draw(r, "length")) * time.Millisecond,
			}
		}), 0, 40).Draw(r, "faults")
		seed := rapid.Uint64().Draw(r, "seed")
		if v, _ := runSimulation(o, seed, faults); v != "" {
			r.Fatal(v)
		}
	})
}

// TestSoak runs long fault schedules drawn from consecutive seeds.
func TestSoak(t *testing.T) {
	seeds := *soakSeeds
	if seeds == 0 {
		seeds = 10
	}
	total, start := 0, time.Now()
	for seed := 1; seed <= seeds; seed++ {
		o := groupShapes()[seed%len(groupShapes())]
		o.faultPeriod = 30 * time.Second
		r := rand.New(rand.NewPCG(uint64(seed), 3))
		p := schedule{
			meanGap:   time.Duration(50+r.IntN(400)) * time.Millisecond,
			maxLength: time.Duration(100+r.IntN(2000)) * time.Millisecond,
			early:     seed%2 == 0,
		}
		v, steps := runSimulation(o, uint64(seed), p.draw(r, o))
		total += steps
		if v != "" {
			t.Errorf("seed %d, %d voters, %d spares, step %d: %s", seed, o.voters, o.spares, steps, v)
		}
	}
	t.Logf("%d seeds, %d steps, %s", seeds, total, time.Since(start).Round(time.Millisecond))
}

// TestOpenMembership runs long fault schedules for groups that grow from three
// voters to five, bootstrapped by all of the three or founded by a majority. No member's settings name the instances that join.
func TestOpenMembership(t *testing.T) {
	t.Run("bootstrapped", func(t *testing.T) { testOpenMembership(t, false) })
	t.Run("founded", func(t *testing.T) { testOpenMembership(t, true) })
}

func testOpenMembership(t *testing.T, founding bool) {
	t.Parallel()
	seeds := max(*soakSeeds, 30)
	for seed := 1; seed <= seeds; seed++ {
		o := groupShapes()[seed%len(groupShapes())]
		o.voters, o.spares, o.openMembership, o.targetVoters, o.founding = 3, 1+seed%4, true, 5, founding
		o.faultPeriod = 30 * time.Second
		r := rand.New(rand.NewPCG(uint64(seed), 7))
		p := schedule{
			meanGap:   time.Duration(50+r.IntN(400)) * time.Millisecond,
			maxLength: time.Duration(100+r.IntN(2000)) * time.Millisecond,
			early:     seed%2 == 0,
		}
		if v, steps := runSimulation(o, uint64(seed), p.draw(r, o)); v != "" {
			t.Errorf("seed %d, %d further instances, step %d: %s", seed, o.spares, steps, v)
		}
	}
}

// TestMalformedMessages checks that messages which no correct member sends are
// rejected.
func TestMalformedMessages(t *testing.T) {
	meta := &SnapshotMeta{Index: 5, Term: 9}
	for name, m := range map[string]Message{
		"gap":        {Kind: MessageAppend, Term: 2, Entries: []Entry{{Index: 3, Term: 2}}},
		"later term": {Kind: MessageAppend, Term: 2, Entries: []Entry{{Index: 1, Term: 3}}},
		"no config":  {Kind: MessageAppend, Term: 2, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryConfig}}},
		"no meta":    {Kind: MessageChunk, Term: 2},
		"early meta": {Kind: MessageChunk, Term: 2, Meta: meta},
		"offset":     {Kind: MessageChunkReply, Term: 2, Offset: -1},
	} {
		c := New(Settings{Name: "a", Identity: "1", ElectionTimeout: time.Second}, DurableState{}, rand.New(rand.NewPCG(1, 1)), 0)
		m.From, m.FromIdentity, m.ToIdentity, m.Group = "b", "2", "1", "g"
		actions := c.Step(time.Second, Receive{Message: m})
		if len(actions) != 1 || actions[0] != (Rejected{Reason: ErrMalformed}) {
			t.Errorf("%s: got %v", name, actions)
		}
	}
}
