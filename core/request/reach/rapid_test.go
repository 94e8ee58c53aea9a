package reach_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/reach"
)

func TestNeverCutWhileServersAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 24).Draw(t, "servers"))
		w.run(10 * time.Second)
		if w.cuts > 0 {
			t.Fatalf("%d cuts", w.cuts)
		}
	})
}

func TestDetectsCutAndReturnWithinASecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 24).Draw(t, "servers"))
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			w.set(0)
			w.run(time.Second)
			if !w.d.Cut(w.now) {
				t.Fatal("not cut")
			}
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "cut ms")) * time.Millisecond)
			if !w.d.Cut(w.now) {
				t.Fatal("no longer cut")
			}
			w.set(len(w.addresses))
			w.run(time.Second)
			if w.d.Cut(w.now) {
				t.Fatal("still cut")
			}
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "sound ms")) * time.Millisecond)
		}
	})
}

// At an instance with about a call a second, each call had ended at its deadline before the
// next one was silent, and the cut was never noticed.
func TestSilentCutIsNoticedAtFewCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 24).Draw(t, "servers"))
		w.blackholes, w.keeps, w.deadlines, w.slow = true, true, true, false
		w.run(2 * time.Second) // each server may have a connection
		for a := range w.reachable {
			w.open[a] = true
		}
		w.interval = time.Duration(rapid.IntRange(900, 1200).Draw(t, "interval ms")) * time.Millisecond
		w.set(0)
		w.run(5 * time.Second)
		if !w.d.Cut(w.now) {
			t.Fatal("not cut after five seconds without an answer")
		}
	})
}

// With a stable part of the servers within reach, the calls go to peers for a
// short time only, and not again and again.
func TestPartlyReachableIsNotCutForLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 24).Draw(t, "servers")
		w := newWorld(t, n)
		w.run(2 * time.Second)
		w.set(max(2, n*rapid.IntRange(30, 70).Draw(t, "percent")/100))
		w.run(30 * time.Second)
		if w.cuts > 2 || w.cutFor > 6*time.Second {
			t.Fatalf("%d cuts, %v", w.cuts, w.cutFor)
		}
	})
}

func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := reach.New()
		now := start
		var known int
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			a := fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server"))
			ok := rapid.Bool().Draw(t, "ok")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				d.Dialled(now, a, ok)
			case 1:
				d.Sent(now, a)
			case 2:
				d.Heard(now, a)
			case 3:
				d.Ended(now, a, ok)
			case 4:
				d.Dialling(now, a)
			case 5:
				d.Probed(now, a, ok)
			default:
				known = rapid.IntRange(0, 8).Draw(t, "known")
				d.SetServers(names(known))
			}
			if a, due := d.NextProbe(now); due && (a == "" || known < 2) {
				t.Fatalf("probe of %q with %d servers", a, known)
			}
			if known < 2 && (d.Cut(now) || d.Suspicious(now)) {
				t.Fatalf("cut or suspicious with %d servers", known)
			}
			if d.Cut(now) && !d.Suspicious(now) {
				t.Fatal("cut without suspicion")
			}
			if servers, waiting := reach.Load(d); servers > known || waiting < 0 {
				t.Fatalf("%d servers of %d, %d waiting", servers, known, waiting)
			}
		}
	})
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("s", i)
	}
	return list
}
