// Package usage sums up by client account what all entry instances counted, and
// reports it to the platform. It serves deployments whose platform expects one report
// for each window of time and must never get two different ones, while instances,
// leaders and the platform fail. A Record is replicated: it fixes each window's sums
// once. A Collector is the state machine of the leader. Neither does I/O.
package usage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
)

// maxClosed bounds the closed windows that are kept, accepted or not: at windows of 5 s
// the last 8 minutes.
const maxClosed = 100

// Counted holds the counts of one run of an instance's process.
type Counted struct {
	_      struct{} `cbor:",toarray"`
	From   string
	Counts []proto.UsageCount
}

// Recording adds counts to the open windows.
type Recording struct {
	First  int64     `cbor:"1,keyasint,omitempty"` // first window to be reported; only the first command that names one counts
	Counts []Counted `cbor:"2,keyasint,omitempty"`
}

// Closing fixes the sums of a window, if it is the next one, after it added the last
// counts.
type Closing struct {
	Window int64     `cbor:"1,keyasint"`
	Counts []Counted `cbor:"2,keyasint,omitempty"`
}

// Acceptance records that the platform accepted the report of a window.
type Acceptance struct {
	Window int64 `cbor:"1,keyasint"`
}

// AccountCount is the usage of an account in a window.
type AccountCount struct {
	_        struct{} `cbor:",toarray"`
	Account  string
	Requests uint64
}

// Window is a closed window. Its counts don't change.
type Window struct {
	Number   int64          `cbor:"1,keyasint"`
	Accepted bool           `cbor:"2,keyasint,omitempty"` // the platform accepted its report
	Counts   []AccountCount `cbor:"3,keyasint,omitempty"` // sorted by account
}

// Requests returns the sum of all accounts.
func (w *Window) Requests() uint64 {
	total := uint64(0)
	for _, c := range w.Counts {
		total += c.Requests
	}
	return total
}

// Closed is the result of a Closing.
type Closed struct {
	Window    Window
	Done      bool  // the command closed the window; it had been closed before otherwise
	Abandoned int64 // window that was never accepted and isn't kept any longer, 0 for none
}

// openWindow holds the counts of an open window, by process run and account.
type openWindow map[string]map[string]uint64

// Record is the replicated record of usage. It isn't safe for concurrent use.
type Record struct {
	first  int64 // first window to be reported, 0 before it is known
	next   int64 // window to be closed next, 0 before the first
	open   map[int64]openWindow
	closed []Window // by number
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{open: make(map[int64]openWindow)} }

// First returns the first window that is reported, or 0 before it is known.
func (r *Record) First() int64 { return r.first }

// Next returns the window that is closed next, or 0 before the first.
func (r *Record) Next() int64 { return r.next }

// NewestClosed returns the newest closed window, or 0 before the first.
func (r *Record) NewestClosed() int64 { return max(0, r.next-1) }

// Closed returns a closed window that is still kept.
func (r *Record) Closed(window int64) (Window, bool) {
	i, found := slices.BinarySearchFunc(r.closed, window, func(w Window, n int64) int { return cmp.Compare(w.Number, n) })
	if !found {
		return Window{}, false
	}
	return r.closed[i], true
}

// Unreported returns the closed windows without an accepted report, oldest first.
func (r *Record) Unreported() []Window {
	var list []Window
	for _, w := range r.closed {
		if !w.Accepted {
			list = append(list, w)
		}
	}
	return list
}

// Recorded returns what is recorded of an account in an open window.
func (r *Record) Recorded(window int64, from, account string) uint64 {
	return r.open[window][from][account]
}

// Add applies a Recording.
func (r *Record) Add(q Recording) {
	if r.next == 0 {
		r.first, r.next = q.First, q.First
	}
	r.add(q.Counts)
}

// add keeps the highest of each count, so that it doesn't matter in which order and how
// often they come. Counts of closed windows are dropped.
func (r *Record) add(list []Counted) {
	for _, c := range list {
		for _, u := range c.Counts {
			if r.next == 0 || u.Window < r.next {
				continue
			}
			w := r.open[u.Window]
			if w == nil {
				w = make(openWindow)
				r.open[u.Window] = w
			}
			if w[c.From] == nil {
				w[c.From] = make(map[string]uint64)
			}
			w[c.From][u.Account] = max(w[c.From][u.Account], u.Count)
		}
	}
}

// Close applies a Closing. A window that was closed before is left as it is.
func (r *Record) Close(q Closing) Closed {
	if r.next == 0 || q.Window != r.next {
		w, _ := r.Closed(q.Window)
		return Closed{Window: w}
	}
	r.add(q.Counts)
	sums := make(map[string]uint64)
	for _, counts := range r.open[q.Window] {
		for account, n := range counts {
			sums[account] += n
		}
	}
	delete(r.open, q.Window)
	w := Window{Number: q.Window}
	for _, account := range slices.Sorted(maps.Keys(sums)) {
		w.Counts = append(w.Counts, AccountCount{Account: account, Requests: sums[account]})
	}
	r.closed = append(r.closed, w)
	r.next++
	result := Closed{Window: w, Done: true}
	if len(r.closed) > maxClosed {
		if !r.closed[0].Accepted {
			result.Abandoned = r.closed[0].Number
		}
		r.closed = slices.Clone(r.closed[1:])
	}
	return result
}

// Accept applies an Acceptance.
func (r *Record) Accept(q Acceptance) {
	for i := range r.closed {
		if r.closed[i].Number == q.Window {
			r.closed[i].Accepted = true
		}
	}
}

// encodedRecord is the content of a snapshot. Field 2 held the newest accepted window, which
// nothing read.
type encodedRecord struct {
	Next   int64           `cbor:"1,keyasint"`
	Open   []encodedWindow `cbor:"3,keyasint,omitempty"`
	Closed []Window        `cbor:"4,keyasint,omitempty"`
	First  int64           `cbor:"5,keyasint"`
}

// encodedWindow is an open window; its counts are sorted.
type encodedWindow struct {
	Number int64     `cbor:"1,keyasint"`
	Counts []Counted `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns the encoding of the record, empty before the first window. Equal
// records have equal snapshots.
func (r *Record) Snapshot() ([]byte, error) {
	if r.next == 0 {
		return nil, nil
	}
	e := encodedRecord{Next: r.next, First: r.first, Closed: r.closed}
	for _, number := range slices.Sorted(maps.Keys(r.open)) {
		w := encodedWindow{Number: number}
		for _, from := range slices.Sorted(maps.Keys(r.open[number])) {
			c := Counted{From: from}
			counts := r.open[number][from]
			for _, account := range slices.Sorted(maps.Keys(counts)) {
				c.Counts = append(c.Counts, proto.UsageCount{Window: number, Account: account, Count: counts[account]})
			}
			w.Counts = append(w.Counts, c)
		}
		e.Open = append(e.Open, w)
	}
	b, err := codec.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode usage: %w", err)
	}
	return b, nil
}

// Restore replaces the record by that of a snapshot. An empty snapshot, as builds
// without the record write it, gives an empty record.
func (r *Record) Restore(b []byte) error {
	*r = *NewRecord()
	if len(b) == 0 {
		return nil
	}
	var e encodedRecord
	if err := codec.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("decode usage: %w", err)
	}
	r.first, r.next, r.closed = e.First, e.Next, e.Closed
	for _, w := range e.Open {
		r.add(w.Counts)
	}
	return nil
}
