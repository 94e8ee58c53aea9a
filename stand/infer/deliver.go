package infer

import "verbenahaven.example/core/conn/stand"

// deliver puts the next token of a job on its stream, with the faults that
// were asked for.
func (e *Engine) deliver(j *job) {
	own := event{attempt: j.attempt, base: j.base, token: j.next}
	if e.faults[stand.Late] > 0 && e.stale != nil && e.stale.attempt != j.attempt {
		e.faults[stand.Late]--
		put(j, *e.stale)
	}
	if e.faults[stand.Cross] > 0 && e.cross(j, own) {
		return
	}
	put(j, own)
	if e.faults[stand.Duplicate] > 0 {
		e.faults[stand.Duplicate]--
		put(j, own)
	}
	e.stale = &own
}

// cross swaps the events of two streams: each gets the other's.
func (e *Engine) cross(j *job, own event) bool {
	if e.crossed == nil || e.crossed.phase == phaseEnded {
		e.crossed = nil
		for _, other := range e.batch.decode {
			if other != j && other.phase == phaseDecode {
				e.crossed = other
			}
		}
	}
	if e.crossed == nil || e.crossed == j {
		return false
	}
	e.faults[stand.Cross]--
	put(e.crossed, own)
	put(j, event{attempt: e.crossed.attempt, base: e.crossed.base, token: e.crossed.next})
	return true
}

func put(j *job, v event) {
	select {
	case j.out <- v:
	default: // the reader is behind; a fault's extra event needs no room
	}
}
