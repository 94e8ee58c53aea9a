package leave

import (
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// peerRetryAfter is the Retry-After of a refused call that another instance can take at
	// once, and restartRetryAfter that of one for which this instance must come back.
	peerRetryAfter    = 10 * time.Millisecond
	restartRetryAfter = time.Second
)

// RetryAfter returns when a call can be taken that the instance named self refuses since it
// is shutting down.
func RetryAfter(self string, instances []state.Member) time.Duration {
	for _, m := range instances {
		if m.Name != self && m.Phase == state.PhaseServing {
			return peerRetryAfter
		}
	}
	return restartRetryAfter
}
