package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/quota"
	"verbenahaven.example/core/version/state"
)

const term = time.Second

// grant is a slice as its member uses it, from the time of its request.
type grant struct {
	tokens float64
	until  time.Duration
}

// What all members may use at any time adds up to at most the limit, while members
// ask at random, replies get lost and leaders change within a lease term. The
// limits don't change.
func TestSlicesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		members := rapid.IntRange(1, 12).Draw(t, "members")
		account := state.Account{Name: "a", TokensPerSecond: 1000, RequestsPerSecond: 10}
		now := time.Duration(0)
		a := quota.New(now, term)
		held := make([]grant, members)
		for range 400 {
			now += time.Duration(rng.IntN(int(term / 20)))
			if rng.IntN(80) == 0 {
				a = quota.New(now, term)
			}
			m := rng.IntN(members)
			g := a.Grant(now, fmt.Sprint("m", m), members, proto.Grant{TokenRate: rng.Float64() * 2000, RequestRate: 5}, account)
			if rng.IntN(4) > 0 {
				held[m] = grant{g.TokenRate, now + g.TTL}
			}
			total := 0.0
			for _, h := range held {
				if h.until > now {
					total += h.tokens
				}
			}
			if total > float64(account.TokensPerSecond)*1.000001 {
				t.Fatalf("%g tokens per second in use, more than the limit", total)
			}
		}
	})
}

// After a few requests the slices follow the demands.
func TestSlicesFollowDemand(t *testing.T) {
	a := quota.New(0, term)
	account := state.Account{Name: "a", TokensPerSecond: 1000}
	var busy, idle proto.Grant
	for now := 2 * term; now < 20*term; now += term / 4 {
		busy = a.Grant(now, "busy", 2, proto.Grant{TokenRate: 900}, account)
		idle = a.Grant(now, "idle", 2, proto.Grant{TokenRate: 10}, account)
	}
	if busy.TokenRate < 700 || idle.TokenRate < 80 || busy.TokenRate+idle.TokenRate > 1000 {
		t.Fatalf("busy %g, idle %g of 1000", busy.TokenRate, idle.TokenRate)
	}
	if g := a.Grant(20*term, "busy", 2, proto.Grant{TokenRate: 5}, state.Account{Name: "free"}); g.TokenRate != 0 || g.TTL != term {
		t.Fatalf("account without limits got %v", g)
	}
}

func BenchmarkGrant(b *testing.B) {
	for _, members := range []int{12, 320} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			const accounts = 1900
			a := quota.New(0, term)
			names := make([]string, members)
			for i := range names {
				names[i] = fmt.Sprint("m", i)
			}
			limits := make([]state.Account, accounts)
			for i := range limits {
				limits[i] = state.Account{Name: fmt.Sprint("a", i), TokensPerSecond: 1000, RequestsPerSecond: 10}
			}
			now := 2 * term
			b.ReportAllocs()
			for i := range b.N {
				if i%(members*accounts) == 0 {
					now += term / 2
				}
				a.Grant(now, names[i/accounts%members], members, proto.Grant{TokenRate: 100, RequestRate: 1}, limits[i%accounts])
			}
		})
	}
}
