package plain

import (
	"sync/atomic"

	"verbenahaven.example/core/conn/body"
)

// answerMemory is the memory of an answer, which its caller and the recording of its outcome
// may use at the same time.
type answerMemory struct {
	*body.Hold
	users atomic.Int32
}

// newAnswerMemory returns memory with one user.
func newAnswerMemory(b *body.Budget) *answerMemory {
	m := &answerMemory{Hold: b.Hold(0)}
	m.users.Store(1)
	return m
}

// retain adds a user.
func (m *answerMemory) retain() { m.users.Add(1) }

// release removes a user, and returns the memory after the last one.
func (m *answerMemory) release() {
	if m.users.Add(-1) == 0 {
		m.Release()
	}
}
