// Package trail keeps a trace of the most recent requests in memory: the routing
// decisions, the attempts and the outcome, which an instance serves on request.
package trail

import (
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/request/route"
)

const maxRecords = 4096

// maxPerRequest bounds the decisions and the steps kept for one request; the
// oldest are dropped.
const maxPerRequest = 16

// Record traces one request. It is safe for concurrent use.
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

func (r *Record) update(f func(e *Entry)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(&r.entry)
}

// Request returns the identifier of the request.
func (r *Record) Request() string { return r.entry.Request }

// SetVersion sets the configuration version under which the request began.
func (r *Record) SetVersion(version uint64) {
	r.update(func(e *Entry) { e.Version = version })
}

// SetAccount sets the account that made the request.
func (r *Record) SetAccount(account string) {
	r.update(func(e *Entry) { e.Account = account })
}

// SetService sets the service that was requested.
func (r *Record) SetService(service string) {
	r.update(func(e *Entry) { e.Service = service })
}

// AddDecision adds a routing decision.
func (r *Record) AddDecision(d route.Decision) {
	r.update(func(e *Entry) { e.Decisions = newest(append(e.Decisions, d)) })
}

// AddStep adds an attempt.
func (r *Record) AddStep(s Step) {
	r.update(func(e *Entry) { e.Steps = newest(append(e.Steps, s)) })
}

// SetRefusal sets the error with which the request was refused.
func (r *Record) SetRefusal(err error) {
	r.update(func(e *Entry) { e.Refused = err.Error() })
}

// Entry returns a copy of the content.
func (r *Record) Entry() Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e := r.entry
	e.Decisions, e.Steps = slices.Clone(e.Decisions), slices.Clone(e.Steps)
	return e
}

func newest[T any](list []T) []T {
	return list[max(len(list)-maxPerRequest, 0):]
}

// Step is one attempt and how it ended.
type Step struct {
	Attempt string    `json:"attempt"`
	At      time.Time `json:"at"`
	Prefill string    `json:"prefill,omitempty"`
	Server  string    `json:"server"`
	Tokens  int       `json:"tokens,omitempty"` // already delivered when the attempt began
	End     string    `json:"end"`
}

// Trail is a ring buffer of the last maxRecords records.
type Trail struct {
	mutex     sync.Mutex
	ring      [maxRecords]*Record
	next      int
	byRequest map[string]*Record
}

// New returns an empty trail.
func New() *Trail {
	return &Trail{byRequest: make(map[string]*Record)}
}

// Begin adds a record for a request and drops the oldest if the buffer is full.
func (t *Trail) Begin(request string, at time.Time) *Record {
	r := &Record{entry: Entry{Request: request, At: at}}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if old := t.ring[t.next]; old != nil {
		delete(t.byRequest, old.Request())
	}
	t.ring[t.next] = r
	t.byRequest[request] = r
	t.next = (t.next + 1) % maxRecords
	return r
}

// Find returns a copy of the record of a request, and whether it is still kept.
func (t *Trail) Find(request string) (Entry, bool) {
	t.mutex.Lock()
	r, ok := t.byRequest[request]
	t.mutex.Unlock()
	if !ok {
		return Entry{}, false
	}
	return r.Entry(), true
}
