// Package score sums the results of a trial.
package score

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest = int64(5 * time.Minute / time.Microsecond)
	digits  = 3
)

// Outcome is how one request ended.
type Outcome struct {
	Segment  int
	Service  int
	Whole    bool // answered whole and right
	InTime   bool // and within the deadline of its class
	Cut      bool // broke off after its first token
	Wrong    bool // carries tokens that aren't its own
	Code     string
	Tokens   int
	First    time.Duration
	Gaps     []time.Duration // between tokens
	Took     time.Duration
	Retry    time.Duration // of a refusal: when to come back
	Lateness time.Duration // of the sender, against the schedule
}

// Cell counts the requests of one segment or service.
type Cell struct {
	Offered int
	Good    int
	Tokens  int // of good requests
	Cut     int
	Wrong   int
	Refused int
	Failed  int // neither refused nor whole
	Told    int // refusals with a time to come back
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	Refusal *hdrhistogram.Histogram
}

func newCell() *Cell {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }
	return &Cell{First: h(), Between: h(), Refusal: h()}
}

// Goodput is the share of offered requests that were answered whole in time.
func (c *Cell) Goodput() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

func (c *Cell) add(o Outcome) {
	c.Offered++
	if o.InTime {
		c.Good++
		c.Tokens += o.Tokens
	}
	if o.Cut {
		c.Cut++
	}
	if o.Wrong {
		c.Wrong++
	}
	switch {
	case o.Whole:
	case o.Code != "" && !o.Cut:
		c.Refused++
		record(c.Refusal, o.Took)
		if o.Retry > 0 {
			c.Told++
		}
	default:
		c.Failed++
	}
	if o.Whole && o.First > 0 {
		record(c.First, o.First)
	}
	for _, g := range o.Gaps {
		record(c.Between, g)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), longest))
}

// Board collects outcomes from many goroutines.
type Board struct {
	mutex    sync.Mutex
	segments []*Cell
	services []*Cell
	cells    [][]*Cell // by segment and service
	codes    map[string]int
	late     *hdrhistogram.Histogram
}

// NewBoard returns an empty board.
func NewBoard(segments, services int) *Board {
	b := &Board{codes: make(map[string]int), late: hdrhistogram.New(1, longest, digits)}
	for range services {
		b.services = append(b.services, newCell())
	}
	for range segments {
		b.segments = append(b.segments, newCell())
		row := make([]*Cell, services)
		for i := range row {
			row[i] = newCell()
		}
		b.cells = append(b.cells, row)
	}
	return b
}

// Add counts one request.
func (b *Board) Add(o Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.segments[o.Segment].add(o)
	b.services[o.Service].add(o)
	b.cells[o.Segment][o.Service].add(o)
	if o.Code != "" {
		b.codes[o.Code]++
	}
	record(b.late, o.Lateness)
}

// Segment returns the counts of a segment. All accessors are for use after the
// last Add.
func (b *Board) Segment(i int) *Cell { return b.segments[i] }

// Service returns the counts of a service.
func (b *Board) Service(i int) *Cell { return b.services[i] }

// Cell returns the counts of a service in a segment.
func (b *Board) Cell(segment, service int) *Cell { return b.cells[segment][service] }

// Codes counts refusals and failures by their code.
func (b *Board) Codes() map[string]int { return b.codes }

// Late is how late requests were sent against the schedule.
func (b *Board) Late() *hdrhistogram.Histogram { return b.late }

// Total is the goodput and the tokens of goodput over some segments.
func (b *Board) Total(counted func(segment int) bool) (goodput float64, tokens, cut, wrong int) {
	offered, good := 0, 0
	for i, c := range b.segments {
		cut += c.Cut
		wrong += c.Wrong
		if !counted(i) {
			continue
		}
		offered += c.Offered
		good += c.Good
		tokens += c.Tokens
	}
	if offered == 0 {
		return 1, tokens, cut, wrong
	}
	return float64(good) / float64(offered), tokens, cut, wrong
}
