package reach_test

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/reach"
)

const (
	callInterval  = 50 * time.Millisecond // unless a test sets another
	probeTick     = 10 * time.Millisecond
	silentTimeout = 800 * time.Millisecond // of a caller that hears nothing
	dialTimeout   = 700 * time.Millisecond
	attempts      = 2
)

// world is an instance with traffic to servers, some of which it can't reach.
type world struct {
	t          *rapid.T
	d          *reach.Detector
	now        time.Time
	queue      events
	addresses  []string
	reachable  map[string]bool
	open       map[string]bool // has an idle connection
	blackholes bool            // lost servers are silent; otherwise they refuse
	slow       bool            // answers may take longer than the silence limit
	keeps      bool            // connections are kept for later calls
	deadlines  bool            // silent calls end with their callers' deadlines, no connection is given up
	interval   time.Duration   // between calls

	last     string // server of the latest attempt; the next one goes elsewhere
	cuts     int
	cutFor   time.Duration
	lastCut  bool
	lastTick time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(t *rapid.T, servers int) *world {
	w := &world{
		t: t, d: reach.New(), now: start, lastTick: start,
		reachable: map[string]bool{}, open: map[string]bool{},
		blackholes: rapid.Bool().Draw(t, "blackholes"),
		slow:       rapid.Bool().Draw(t, "slow"),
		keeps:      rapid.Bool().Draw(t, "keeps"),
		interval:   callInterval,
	}
	for i := range servers {
		a := fmt.Sprintf("s%02d:1", i)
		w.addresses = append(w.addresses, a)
		w.reachable[a] = true
	}
	w.d.SetServers(w.addresses)
	w.calls()
	w.every(probeTick, w.tick)
	return w
}

func (w *world) after(delay time.Duration, run func()) {
	heap.Push(&w.queue, event{w.now.Add(delay), len(w.queue), run})
}

// calls makes calls at the world's interval.
func (w *world) calls() {
	w.after(w.interval, func() {
		w.call(attempts)
		w.calls()
	})
}

func (w *world) every(interval time.Duration, run func()) {
	w.after(interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// set makes the first n of the servers, in a drawn order, the reachable ones.
func (w *world) set(n int) {
	for i, a := range rapid.Permutation(w.addresses).Draw(w.t, "order") {
		w.reachable[a] = i < n
		w.open[a] = w.open[a] && (w.reachable[a] || w.blackholes)
	}
}

func (w *world) call(attempts int) {
	if attempts == 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(w.addresses), func(a string) bool { return len(w.addresses) > 1 && a == w.last })
	a := rapid.SampledFrom(others).Draw(w.t, "server")
	w.last = a
	if w.open[a] {
		w.exchange(a, attempts)
		return
	}
	w.d.Dialling(w.now, a)
	w.dial(a, dialTimeout, func(ok bool) {
		w.d.Dialled(w.now, a, ok)
		if ok {
			w.exchange(a, attempts)
			return
		}
		w.call(attempts - 1)
	})
}

func (w *world) dial(a string, timeout time.Duration, done func(ok bool)) {
	if ok := w.reachable[a]; ok || !w.blackholes {
		w.after(time.Millisecond, func() { done(ok) })
		return
	}
	w.after(timeout, func() { done(false) })
}

func (w *world) exchange(a string, attempts int) {
	w.open[a] = w.keeps
	w.d.Sent(w.now, a)
	latency := time.Duration(rapid.IntRange(1, 50).Draw(w.t, "latency")) * time.Millisecond
	if w.slow {
		latency *= 20
	}
	if !w.reachable[a] {
		w.after(silentTimeout, func() {
			w.d.Ended(w.now, a, !w.deadlines)
			if !w.deadlines {
				w.call(attempts - 1)
			}
		})
		return
	}
	w.after(latency, func() {
		if !w.reachable[a] {
			w.d.Ended(w.now, a, true)
			w.call(attempts - 1)
			return
		}
		w.d.Heard(w.now, a)
		w.d.Ended(w.now, a, false)
	})
}

func (w *world) tick() {
	cut := w.d.Cut(w.now)
	if cut && !w.lastCut {
		w.cuts++
	}
	if cut {
		w.cutFor += w.now.Sub(w.lastTick)
	}
	w.lastCut, w.lastTick = cut, w.now
	for a, due := w.d.NextProbe(w.now); due; a, due = w.d.NextProbe(w.now) {
		w.dial(a, reach.ProbeTimeout, func(ok bool) { w.d.Probed(w.now, a, ok) })
	}
}
