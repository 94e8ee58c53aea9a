// Package trace keeps the histories of the stand-ins.
package trace

import (
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
)

const limit = 200_000 // records

// History is what one stand-in saw, oldest first, up to a limit.
type History struct {
	mutex   sync.Mutex
	records []stand.Record
}

// Add appends a record, with the time if it has none.
func (h *History) Add(r stand.Record) {
	if r.At.IsZero() {
		r.At = time.Now()
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.records) >= limit {
		h.records = append(h.records[:0], h.records[limit/2:]...)
	}
	h.records = append(h.records, r)
}

// Records returns a copy.
func (h *History) Records() []stand.Record {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]stand.Record{}, h.records...)
}
