package reach_test

import (
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/request/reach"
)

// failAll lets connections to servers fail, and probes as well, for a while.
func failAll(p *reach.Pools, now time.Time, unreachable []string, reachable ...string) time.Time {
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for _, a := range unreachable {
			p.Dialled(now, a, false)
		}
		for _, a := range reachable {
			p.Dialled(now, a, true)
		}
		if a, due := p.NextProbe(now); due {
			p.Probed(now, a, !slices.Contains(unreachable, a))
		}
	}
	return now
}

// The servers of another service that answer say nothing about those that don't.
func TestPathToOnePoolIsCut(t *testing.T) {
	p := reach.NewPools()
	engines, plain := []string{"e1", "e2", "e3", "e4", "e5", "e6"}, []string{"s1", "s2", "s3"}
	p.SetServers(map[string][]string{"engines": engines, "plain": plain, "single": {"x"}})
	now := failAll(p, start, engines, plain...)
	if !p.Cut(now, "engines") || p.Cut(now, "plain") || p.Cut(now, "single") {
		t.Errorf("cut: engines %t, plain %t, single %t", p.Cut(now, "engines"), p.Cut(now, "plain"), p.Cut(now, "single"))
	}
	now = failAll(p, now, append(engines, plain...))
	if !p.Cut(now, "engines") || !p.Cut(now, "plain") || !p.Cut(now, "single") {
		t.Error("a pool isn't cut though no server can be reached")
	}
	now = failAll(p, now, nil, append(engines, plain...)...)
	if p.Cut(now, "engines") || p.Cut(now, "plain") || p.Cut(now, "single") {
		t.Error("a pool is cut though all servers can be reached")
	}
}

func TestUnknownPoolIsNotCut(t *testing.T) {
	p := reach.NewPools()
	if p.Cut(start, "none") || p.Suspicious(start, "none") {
		t.Error("cut without servers")
	}
	if _, due := p.NextProbe(start); due {
		t.Error("a probe without servers")
	}
}
