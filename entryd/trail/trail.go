// Package trail keeps the decision records of the last requests, so that an
// instance can explain what it did.
package trail

import (
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/request/route"
)

const keep = 4096

// maxEach bounds the decisions and the steps kept of one request; the oldest
// give way.
const maxEach = 16

// Record tells what became of one request. It is safe for concurrent use.
type Record struct {
	mutex sync.Mutex
	entry Entry
}

// Entry is the content of a record.
type Entry struct {
	Request   string           `json:"request"`
	At        time.Time        `json:"at"`
	Account   string           `json:"account,omitempty"`
	Service   string           `json:"service,omitempty"`
	Version   uint64           `json:"version"`
	Decisions []route.Decision `json:"decisions,omitempty"`
	Steps     []Step           `json:"steps,omitempty"`
	Refused   string           `json:"refused,omitempty"`
}

func (r *Record) change(f func(e *Entry)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(&r.entry)
}

// Request is the identifier of the request.
func (r *Record) Request() string { return r.entry.Request }

// Began tells under which version the request began.
func (r *Record) Began(version uint64) {
	r.change(func(e *Entry) { e.Version = version })
}

// Asked tells who asks.
func (r *Record) Asked(account string) {
	r.change(func(e *Entry) { e.Account = account })
}

// Named tells which service is asked for.
func (r *Record) Named(service string) {
	r.change(func(e *Entry) { e.Service = service })
}

// Decided adds a choice of engines.
func (r *Record) Decided(d route.Decision) {
	r.change(func(e *Entry) { e.Decisions = last(append(e.Decisions, d)) })
}

// Stepped adds an attempt.
func (r *Record) Stepped(s Step) {
	r.change(func(e *Entry) { e.Steps = last(append(e.Steps, s)) })
}

// Refused tells why the request was refused.
func (r *Record) Refused(err error) {
	r.change(func(e *Entry) { e.Refused = err.Error() })
}

// Entry returns a copy of the content.
func (r *Record) Entry() Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entry
	e.Decisions, e.Steps = slices.Clone(e.Decisions), slices.Clone(e.Steps)
	return e
}

func last[T any](list []T) []T {
	return list[max(len(list)-maxEach, 0):]
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

// Begin keeps a record of a request; the oldest makes room.
func (t *Trail) Begin(request string, at time.Time) *Record {
	r := &Record{entry: Entry{Request: request, At: at}}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if old := t.ring[t.next]; old != nil {
		delete(t.byName, old.Request())
	}
	t.ring[t.next] = r
	t.byName[request] = r
	t.next = (t.next + 1) % keep
	return r
}

// Find returns the record of a request.
func (t *Trail) Find(request string) (Entry, bool) {
	t.mutex.Lock()
	r, ok := t.byName[request]
	t.mutex.Unlock()
	if !ok {
		return Entry{}, false
	}
	return r.Entry(), true
}
