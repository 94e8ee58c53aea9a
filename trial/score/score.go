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
	Segment       int
	Service       int
	Complete      bool // the answer is complete and correct
	InTime        bool // complete, and within the latency limits of its service
	Truncated     bool // the answer ended early after at least one token
	ForeignTokens bool // the answer holds tokens that don't belong to it
	Code          string
	Tokens        int
	TTFT          time.Duration
	TokenGaps     []time.Duration // between consecutive tokens
	Latency       time.Duration
	RetryAfter    time.Duration // retry delay that a refusal asked for
	SendDelay     time.Duration // delay of sending against the schedule
}

// Counts holds the counts and latencies of the requests of a segment, of a
// service, or of a service in a segment.
type Counts struct {
	Offered          int
	Good             int
	Tokens           int // output tokens of good requests
	Truncated        int
	ForeignTokens    int
	Refused          int
	Failed           int // neither complete nor refused
	RefusedWithRetry int // refusals that carried a retry delay
	TTFT             *hdrhistogram.Histogram
	TokenGaps        *hdrhistogram.Histogram
	RefusalLatency   *hdrhistogram.Histogram
}

func newCounts() *Counts {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, significantDigits) }
	return &Counts{TTFT: h(), TokenGaps: h(), RefusalLatency: h()}
}

// Goodput returns the share of offered requests that got a complete answer
// within their latency limits.
func (c *Counts) Goodput() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Offered)
}

func (c *Counts) add(o Outcome) {
	c.Offered++
	if o.InTime {
		c.Good++
		c.Tokens += o.Tokens
	}
	if o.Truncated {
		c.Truncated++
	}
	if o.ForeignTokens {
		c.ForeignTokens++
	}
	switch {
	case o.Complete:
	case o.Code != "" && !o.Truncated:
		c.Refused++
		recordDuration(c.RefusalLatency, o.Latency)
		if o.RetryAfter > 0 {
			c.RefusedWithRetry++
		}
	default:
		c.Failed++
	}
	if o.Complete && o.TTFT > 0 {
		recordDuration(c.TTFT, o.TTFT)
	}
	for _, g := range o.TokenGaps {
		recordDuration(c.TokenGaps, g)
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// Collector collects outcomes. Add is safe for concurrent use.
type Collector struct {
	mutex      sync.Mutex
	segments   []*Counts
	services   []*Counts
	cells      [][]*Counts // by segment and service
	codes      map[string]int
	sendDelays *hdrhistogram.Histogram
}

// NewCollector returns a collector without outcomes.
func NewCollector(segments, services int) *Collector {
	b := &Collector{codes: make(map[string]int), sendDelays: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
	for range services {
		b.services = append(b.services, newCounts())
	}
	for range segments {
		b.segments = append(b.segments, newCounts())
		row := make([]*Counts, services)
		for i := range row {
			row[i] = newCounts()
		}
		b.cells = append(b.cells, row)
	}
	return b
}

// Add adds the outcome of one request.
func (b *Collector) Add(o Outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.segments[o.Segment].add(o)
	b.services[o.Service].add(o)
	b.cells[o.Segment][o.Service].add(o)
	if o.Code != "" {
		b.codes[o.Code]++
	}
	recordDuration(b.sendDelays, o.SendDelay)
}

// Segment returns the counts of a segment. Accessors take no lock and must not
// be called before the last Add has returned.
func (b *Collector) Segment(i int) *Counts { return b.segments[i] }

// Service returns the counts of a service.
func (b *Collector) Service(i int) *Counts { return b.services[i] }

// Cell returns the counts of a service in a segment.
func (b *Collector) Cell(segment, service int) *Counts { return b.cells[segment][service] }

// Codes returns the number of refusals and failures by error code.
func (b *Collector) Codes() map[string]int { return b.codes }

// SendDelays returns the histogram of send delays against the schedule.
func (b *Collector) SendDelays() *hdrhistogram.Histogram { return b.sendDelays }

// Total returns the goodput and its tokens over the segments for which counted
// returns true, and the number of truncated answers and of those with foreign
// tokens over all segments.
func (b *Collector) Total(counted func(segment int) bool) (goodput float64, tokens, truncated, foreign int) {
	offered, good := 0, 0
	for i, c := range b.segments {
		truncated += c.Truncated
		foreign += c.ForeignTokens
		if !counted(i) {
			continue
		}
		offered += c.Offered
		good += c.Good
		tokens += c.Tokens
	}
	if offered == 0 {
		return 1, tokens, truncated, foreign
	}
	return float64(good) / float64(offered), tokens, truncated, foreign
}
