// Package score aggregates the request outcomes of a benchmark into counts,
// latency histograms and goodput.
package score

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Outcome is how one request ended.
type Outcome struct {
	Segment  int
	Service  int
	Whole    bool // the answer is complete and correct
	InTime   bool // complete, and within the latency limits of its service
	Cut      bool // the answer ended early after at least one token
	Wrong    bool // the answer holds tokens that don't belong to it
	Code     string
	Tokens   int
	First    time.Duration
	Gaps     []time.Duration // between consecutive tokens
	Took     time.Duration
	Retry    time.Duration // retry delay that a refusal asked for
	Lateness time.Duration // delay of sending against the schedule
}

// Cell holds the counts and latencies of the requests of a segment, of a service,
// or of a service in a segment.
type Cell struct {
	Offered int
	Good    int
	Tokens  int // output tokens of good requests
	Cut     int
	Wrong   int
	Refused int
	Failed  int // neither complete nor refused
	Told    int // refusals that carried a retry delay
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	Refusal *hdrhistogram.Histogram
}

func newCell() *Cell {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, significantDigits) }
	return &Cell{First: h(), Between: h(), Refusal: h()}
}

// Goodput returns the share of offered requests that got a complete answer
// within their latency limits.
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
		recordDuration(c.Refusal, o.Took)
		if o.Retry > 0 {
			c.Told++
		}
	default:
		c.Failed++
	}
	if o.Whole && o.First > 0 {
		recordDuration(c.First, o.First)
	}
	for _, g := range o.Gaps {
		recordDuration(c.Between, g)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// Board collects outcomes. Add is safe for concurrent use.
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
	b := &Board{codes: make(map[string]int), late: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
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

// Add adds the outcome of one request.
func (b *Board) Add(o Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.segments[o.Segment].add(o)
	b.services[o.Service].add(o)
	b.cells[o.Segment][o.Service].add(o)
	if o.Code != "" {
		b.codes[o.Code]++
	}
	recordDuration(b.late, o.Lateness)
}

// Segment returns the counts of a segment. Accessors take no lock and must not
// be called before the last Add has returned.
func (b *Board) Segment(i int) *Cell { return b.segments[i] }

// Service returns the counts of a service.
func (b *Board) Service(i int) *Cell { return b.services[i] }

// Cell returns the counts of a service in a segment.
func (b *Board) Cell(segment, service int) *Cell { return b.cells[segment][service] }

// Codes returns the number of refusals and failures by error code.
func (b *Board) Codes() map[string]int { return b.codes }

// Late returns the histogram of send delays against the schedule.
func (b *Board) Late() *hdrhistogram.Histogram { return b.late }

// Total returns the goodput and its tokens over the segments for which counted
// returns true, and the cut and wrong answers over all segments.
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
