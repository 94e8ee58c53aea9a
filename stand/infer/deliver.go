package infer

import "verbenahaven.example/core/conn/inject"

// deliver sends the job's next token to its stream and applies the injected
// stream faults.
func (e *Engine) deliver(j *job) {
	event := tokenEvent{attempt: j.attempt, base: j.base, token: j.nextToken}
	if e.faults[inject.StaleEvent] > 0 && e.lastEvent != nil && e.lastEvent.attempt != j.attempt {
		e.faults[inject.StaleEvent]--
		enqueue(j, *e.lastEvent)
	}
	if e.faults[inject.SwapEvents] > 0 && e.swapEvents(j, event) {
		return
	}
	enqueue(j, event)
	if e.faults[inject.Duplicate] > 0 {
		e.faults[inject.Duplicate]--
		enqueue(j, event)
	}
	e.lastEvent = &event
}

// swapEvents sends the next tokens of two streams to the wrong streams and
// reports whether it did.
func (e *Engine) swapEvents(j *job, event tokenEvent) bool {
	if e.swapPartner == nil || e.swapPartner.phase == phaseEnded {
		e.swapPartner = nil
		for _, other := range e.batch.decode {
			if other != j && other.phase == phaseDecode {
				e.swapPartner = other
			}
		}
	}
	if e.swapPartner == nil || e.swapPartner == j {
		return false
	}
	e.faults[inject.SwapEvents]--
	enqueue(e.swapPartner, event)
	enqueue(j, tokenEvent{attempt: e.swapPartner.attempt, base: e.swapPartner.base, token: e.swapPartner.nextToken})
	return true
}

// enqueue sends an event without blocking.
func enqueue(j *job, v tokenEvent) {
	select {
	case j.events <- v:
	default: // the reader is behind; a fault's extra event may be dropped
	}
}
