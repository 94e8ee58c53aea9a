package peers_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/request/peers"
	"verbenahaven.example/core/version/state"
)

func member(name, centre string) state.Member {
	return state.Member{Name: name, Kind: state.MemberEntry, LinkAddress: name + ":1", Centre: centre, Phase: state.PhaseServing}
}

func fleet() []state.Member {
	leaving, unlinked := member("a-leaving", "a"), member("a-unlinked", "a")
	leaving.Phase, unlinked.LinkAddress = state.PhaseLeaving, ""
	return []state.Member{member("a-1", "a"), member("a-2", "a"), member("a-3", "a"), leaving, unlinked, member("b-1", "b"), member("b-2", "b")}
}

func TestOwnDataCentreFirst(t *testing.T) {
	now := time.Unix(100, 0)
	c := peers.New("a-1", "a")
	var got []string
	for {
		m, found := c.Next(now, fleet(), "7", &peers.Offers{})
		if !found {
			break
		}
		got = append(got, m.Name)
		c.Failed(now, m.Name)
	}
	if len(got) != 4 || got[0][0] != 'a' || got[1][0] != 'a' || got[2][0] != 'b' || got[3][0] != 'b' {
		t.Fatalf("asked %v; want both of the own data centre, then both others", got)
	}
	if m, found := c.Next(now.Add(time.Second-1), fleet(), "7", &peers.Offers{}); found {
		t.Errorf("%s is asked again within a second", m.Name)
	}
	if m, found := c.Next(now.Add(time.Second), fleet(), "7", &peers.Offers{}); !found || m.Name != got[0] {
		t.Errorf("%q is asked after a second, want %s", m.Name, got[0])
	}
}

func TestCallsSpreadOverPeers(t *testing.T) {
	const calls = 3000
	c := peers.New("b-9", "c")
	counts := make(map[string]int)
	for i := range calls {
		m, found := c.Next(time.Unix(100, 0), fleet(), fmt.Sprint("call ", i), &peers.Offers{})
		if !found {
			t.Fatal("no peer")
		}
		counts[m.Name]++
	}
	for name, n := range counts {
		if n < calls/5*8/10 || n > calls/5*12/10 {
			t.Errorf("%s gets %d of %d calls", name, n, calls)
		}
	}
	if len(counts) != 5 {
		t.Errorf("calls went to %v; want all five that serve", counts)
	}
}

// offersTo returns the offers of a call that instances have declined.
func offersTo(names ...string) *peers.Offers {
	o := &peers.Offers{}
	for _, name := range names {
		m := member(name, name[:1])
		o.Add(&m)
	}
	return o
}

// Guards against a call that goes a second time to an instance that holds it already.
func TestCallIsOfferedOnceToAnInstance(t *testing.T) {
	c := peers.New("a-1", "a")
	if m, found := c.Next(time.Unix(100, 0), fleet(), "7", offersTo("a-2", "b-1")); !found || m.Name != "a-3" && m.Name != "b-2" {
		t.Errorf("%q is asked, want one that hasn't declined", m.Name)
	}
	if m, found := c.Next(time.Unix(100, 0), fleet(), "7", offersTo("a-2", "a-3", "b-1", "b-2")); found {
		t.Errorf("%s is asked though it has declined", m.Name)
	}
}

// A cut that took all of a data centre, or most instances, left the calls of its instances
// without a carrier: each was offered to three cut neighbours.
func TestCallsFindCarriersThoughNeighboursAreCut(t *testing.T) {
	const instances, wanted = 69, 0.95
	for name, isCut := range map[string]func(i int) bool{
		"own data centre": func(i int) bool { return i%3 == 0 },
		"most instances":  func(i int) bool { return i < instances*85/100 },
	} {
		members, cut := make([]state.Member, instances), make(map[string]bool)
		for i := range members {
			members[i] = member(fmt.Sprint("m-", i), string(rune('a'+i%3)))
			cut[members[i].Name] = isCut(i)
		}
		for _, rate := range []int{4, 10, 30} {
			c, now := peers.New("m-0", "a"), time.Unix(100, 0)
			calls, served, offers := 8*rate, 0, 0
			for i := range calls {
				now = now.Add(time.Second / time.Duration(rate))
				o := &peers.Offers{}
				for {
					m, found := c.Next(now, members, fmt.Sprint("call ", i), o)
					if !found {
						break
					}
					offers++
					if !cut[m.Name] {
						c.Took(now, m.Name)
						served++
						break
					}
					c.Failed(now, m.Name)
					o.Add(&m)
				}
			}
			if share := float64(served) / float64(calls); share < wanted {
				t.Errorf("%s, %d calls a second: %.2f served", name, rate, share)
			}
			if offers > 3*calls {
				t.Errorf("%s, %d calls a second: %d offers of %d calls", name, rate, offers, calls)
			}
		}
	}
}
