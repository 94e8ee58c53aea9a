// Package trail keeps the decision records of the last requests, so that an
// instance can explain what it did.
package trail

import (
	"sync"
	"time"

	"verbenahaven.example/core/request/route"
)

const keep = 4096

// Record tells what became of one request.
type Record struct {
	Request   string           `json:"request"`
	At        time.Time        `json:"at"`
	Account   string           `json:"account,omitempty"`
	Service   string           `json:"service,omitempty"`
	Version   uint64           `json:"version"`
	Decisions []route.Decision `json:"decisions,omitempty"`
	Steps     []Step           `json:"steps,omitempty"`
	Refused   string           `json:"refused,omitempty"`
}

// Step is one attempt and how it ended.
type Step struct {
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
	Prefill string    `json:"prefill,omitempty"`
	Server  string    `json:"server"`
	Tokens  int       `json:"tokens,omitempty"` // delivered when the attempt began
	End     string    `json:"end"`
}

// Trail is a bounded ring of records.
type Trail struct {
	mutex  sync.Mutex
	ring   [keep]*Record
	next   int
	byName map[string]*Record
}

// New returns an empty trail.
func New() *Trail {
	return &Trail{byName: make(map[string]*Record)}
}

// Add keeps a finished record; the oldest makes room.
func (t *Trail) Add(r *Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if old := t.ring[t.next]; old != nil {
		delete(t.byName, old.Request)
	}
	t.ring[t.next] = r
	t.byName[r.Request] = r
	t.next = (t.next + 1) % keep
}

// Find returns the record of a request.
func (t *Trail) Find(request string) (*Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r, ok := t.byName[request]
	return r, ok
}
