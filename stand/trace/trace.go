// Package trace records events of the simulated servers, for tests to check.
package trace

import (
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
)

const maxRecords = 200_000

// History holds the records of one simulated server, oldest first. At maxRecords
// it drops the older half.
type History struct {
	mutex   sync.Mutex
	records []inject.Record
}

// Add appends a record and sets its time if it has none.
func (h *History) Add(r inject.Record) {
	if r.At.IsZero() {
		r.At = time.Now()
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.records) >= maxRecords {
		h.records = append(h.records[:0], h.records[maxRecords/2:]...)
	}
	h.records = append(h.records, r)
}

// Records returns a copy of the records.
func (h *History) Records() []inject.Record {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]inject.Record{}, h.records...)
}
