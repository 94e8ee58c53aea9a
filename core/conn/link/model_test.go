package link

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// Work of the model's server for one client, on a whole processor.
const (
	modelRetryWork  = 30 * time.Microsecond // also of a refusal
	modelFirstWork  = 700 * time.Microsecond
	modelSecondWork = 300 * time.Microsecond
	modelDelay      = 2 * time.Millisecond // of a packet
	modelClientWork = 20 * time.Millisecond
)

// stormModel plays clients that all connect to a server with a share of a processor, which
// handles packets in the order of their arrival. It uses the real decisions.
type stormModel struct {
	now       time.Duration
	events    modelEvents
	random    *rand.Rand
	share     float64
	freeAt    time.Duration // when the processor has done all it has taken on
	gate      gate
	connected int
	refused   int
}

type modelEvent struct {
	at  time.Duration
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) } //nolint:forcetypeassert // of the heap
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *stormModel) after(d time.Duration, run func()) {
	heap.Push(&m.events, modelEvent{m.now + d, run})
}

// work runs a function once the processor has done some work, after all that it took on before.
func (m *stormModel) work(w time.Duration, run func()) {
	m.freeAt = max(m.freeAt, m.now) + time.Duration(float64(w)/m.share)
	m.after(m.freeAt-m.now, run)
}

// modelDial is one attempt of a client.
type modelDial struct {
	*stormModel
	redial       *redial
	heard, ended bool
}

func (m *stormModel) dial(r *redial) {
	d := &modelDial{stormModel: m, redial: r}
	m.after(dialAnswerTimeout, func() {
		if !d.heard {
			d.fail(dialUnanswered)
		}
	})
	m.after(dialTimeout, func() { d.fail(dialUnfinished) })
	m.after(modelDelay, func() { m.work(0, func() { d.arrive(false) }) })
}

func (d *modelDial) fail(result dialResult) {
	if d.ended {
		return
	}
	d.ended = true
	d.redial.attempted(result)
	d.after(d.redial.pause(d.random.Float64(), 0), func() { d.dial(d.redial) })
}

// arrive handles a client's first packet at the server.
func (d *modelDial) arrive(validated bool) {
	if !validated && d.gate.busy() {
		d.work(modelRetryWork, func() {
			d.after(2*modelDelay, func() {
				d.heard = true
				if !d.ended {
					d.work(0, func() { d.arrive(true) })
				}
			})
		})
		return
	}
	leave, ok := d.gate.enter(false)
	if !ok {
		d.refused++
		d.work(modelRetryWork, func() { d.after(modelDelay, func() { d.fail(dialRefused) }) })
		return
	}
	gaveUp := d.now + dialTimeout // when the server notices
	d.work(modelFirstWork, func() {
		d.after(2*modelDelay+time.Duration(d.random.Float64()*float64(modelClientWork)), func() {
			d.heard = true
			if d.ended {
				d.after(max(0, gaveUp-d.now), leave)
				return
			}
			d.work(modelSecondWork, func() {
				leave()
				if !d.ended {
					d.ended = true
					d.connected++
				}
			})
		})
	})
}

// runStorm returns the time until all clients are connected, or the limit.
func runStorm(seed uint64, clients int, share float64, limit time.Duration) (time.Duration, *stormModel) {
	m := &stormModel{random: rand.New(rand.NewPCG(seed, 0)), share: share}
	for range clients {
		r := newRedial(maxDialPause)
		m.after(0, func() { m.dial(&r) })
	}
	for m.connected < clients && len(m.events) > 0 && m.now < limit {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	return m.now, m
}

// The time until all clients of a keeper were connected grew without end from some number of them on.
func TestStormEndsAtAnySize(t *testing.T) {
	const limit = 15 * time.Second // to recover, at 300 instances
	for _, share := range []float64{0.5, 0.25, 0.1} {
		for _, clients := range []int{100, 200, 300, 1000} {
			for seed := range uint64(10) {
				took, m := runStorm(seed, clients, share, time.Minute)
				if seed == 0 {
					t.Logf("%4d clients, %.2f of a processor: %v, %d refused", clients, share, took.Round(10*time.Millisecond), m.refused)
				}
				if m.connected < clients || clients <= 300 && took > limit {
					t.Errorf("seed %d, %.2f of a processor: %d of %d clients connected after %v", seed, share, m.connected, clients, took)
				}
			}
		}
	}
}
