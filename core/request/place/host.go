package place

import (
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// send is own work at an engine.
type send struct {
	prefill int
	later   bool // the prefill waits behind what isn't late
	decode  bool
	long    bool
	tokens  int
}

// share is the work as other instances are told of it.
func (s send) share() proto.Share {
	w := proto.Share{Tokens: s.tokens}
	if s.later {
		w.Later = s.prefill
	} else {
		w.Prefill = s.prefill
	}
	if s.decode {
		w.Streams = 1
	}
	if s.long {
		w.Long = 1
	}
	return w
}

// host is one engine as this instance sees it.
type host struct {
	health
	engine   state.Engine
	spec     state.Spec
	report   proto.Report
	others   proto.Share
	sends    map[string]send
	own      proto.Share
	slow     float64  // prefill time against that of the pool's engines of its role
	common   *float64 // prefill time of the pool's engines of its role against startRate
	parts    map[string]time.Time
	rank     uint64 // fixed place among the engines of a pool
	reported bool
}

func (h *host) add(id string, s send) {
	h.drop(id)
	h.sends[id] = s
	w := s.share()
	h.own.Add(&w, 1)
}

func (h *host) drop(id string) {
	s, found := h.sends[id]
	if !found {
		return
	}
	delete(h.sends, id)
	w := s.share()
	h.own.Add(&w, -1)
}

const (
	// slowWeight is the weight of a new observation of an engine's speed.
	slowWeight = 0.05
	// mostRatio bounds what one observation may tell, and how far an engine may
	// differ from the others.
	mostRatio = 4.0
	// mostSlow bounds how far the engines of a pool may differ from startRate.
	mostSlow = 8.0
)

func (h *host) learn(plan *Plan, took time.Duration) {
	expected := plan.Wait + h.prefillTime(plan.Work)
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1/mostRatio), mostRatio)
	// Each instance sees little of one engine, but soon enough of all together.
	*h.common = min(max(*h.common*(1+(ratio-1)*slowWeight), 1/mostSlow), mostSlow)
	h.slow = min(max(h.slow*(1+(ratio-1)*slowWeight/2), 1/mostRatio), mostRatio)
}

func (h *host) prefillTime(tokens int) time.Duration {
	d := float64(tokens) * h.slow * *h.common / startRate * float64(time.Second)
	if h.engine.Role != state.RolePrefill {
		d /= decodeShare
	}
	return time.Duration(d)
}

// queue is the time until the engine has computed what comes before a request.
func (h *host) queue(a *Ask) time.Duration {
	tokens := h.own.Prefill + h.others.Prefill
	if a.Later {
		tokens += h.own.Later + h.others.Later
	}
	return h.prefillTime(tokens)
}

// streams is the number of answers that the engine generates or has waiting.
func (h *host) streams() int {
	return max(h.own.Streams+h.others.Streams, h.report.Running+h.report.Waiting)
}

// fill is the share of the engine's memory that is taken.
func (h *host) fill() float64 {
	fill := h.report.Used
	if h.spec.Tokens > 0 {
		fill = max(fill, float64(h.own.Tokens+h.others.Tokens)/float64(h.spec.Tokens))
	}
	return fill
}

// crowd is the time until the engine has a place in its batch and memory.
func (h *host) crowd() time.Duration {
	var d time.Duration
	if fill := h.fill(); fill >= fullShare {
		d = time.Duration(fill * float64(fullCost))
	}
	if over := h.streams() + spareSlots - h.spec.Slots; h.spec.Slots > 0 && over > 0 {
		d = max(d, time.Duration(over)*slotTime/time.Duration(h.spec.Slots))
	}
	return d
}

// room is what an engine's answers cost one more.
func (h *host) room() time.Duration {
	share := h.fill()
	if h.spec.Slots > 0 {
		share = max(share, float64(h.streams())/float64(h.spec.Slots))
	}
	return h.crowd() + time.Duration(share*float64(fillCost))
}

func (h *host) usable(now time.Time, a *Ask) bool {
	if h.engine.Phase != state.PhaseServing || slices.Contains(a.Avoid, h.engine.Name) || !h.healthy(now) {
		return false
	}
	dead := h.reported && !h.report.Alive && now.Sub(h.report.At) < reportLife
	return !dead
}

// remember notes the shared parts that the engine will hold.
func (h *host) remember(now time.Time, a *Ask) {
	if len(h.parts) > maxParts {
		for id, at := range h.parts {
			if now.Sub(at) > partLife {
				delete(h.parts, id)
			}
		}
	}
	if len(h.parts) > maxParts {
		clear(h.parts)
	}
	for _, part := range a.shared() {
		h.parts[part.ID] = now
	}
}

// known counts the prompt tokens that the engine is taken to hold.
func (h *host) known(now time.Time, a *Ask) int {
	tokens := 0
	for _, part := range a.shared() {
		if at, found := h.parts[part.ID]; !found || now.Sub(at) > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// shared returns the parts that other requests may have; the last is the
// request's own.
func (a *Ask) shared() []server.Part {
	if len(a.Prompt.Parts) < 2 {
		return nil
	}
	return a.Prompt.Parts[:len(a.Prompt.Parts)-1]
}

// Output is the expected length of the answer, in tokens.
func (a *Ask) Output() int {
	if a.Prompt.Guess > 0 {
		return min(a.Prompt.Guess, a.Prompt.Output)
	}
	return a.Prompt.Output
}

// long tells whether the answer has so many events that pauses between them
// matter.
func (p *Placer) long(a *Ask) bool {
	stride := 1
	if list := p.pools[a.Pool]; len(list) > 0 {
		stride = max(1, list[0].spec.Stride)
	}
	return a.Output() > longAnswer*stride
}
