package usage

import "time"

const (
	// minReportWait and maxReportWait are the shortest and the longest time until a
	// report is sent again; it doubles with each failure in a row.
	minReportWait = 500 * time.Millisecond
	maxReportWait = 2 * time.Second
)

// Answer is the result of a report.
type Answer uint8

// Answers.
const (
	Accepted Answer = iota + 1
	Refused         // the platform has seen a higher fencing token
	Failed          // it may or may not have been executed
)

// reports is the state of the reports, which are sent one after the other.
type reports struct {
	fence    uint64 // that the last report was sent with
	refused  uint64 // highest fencing token that was refused
	sending  bool
	failures int // in a row
	nextAt   time.Duration
	tries    map[int64]int  // failures of the windows that aren't accepted
	accepted map[int64]bool // by the platform; not committed yet
}

func newReports() reports {
	return reports{tries: make(map[int64]int), accepted: make(map[int64]bool)}
}

// NextReport returns the closed window whose report is to be sent now with a fencing
// token, if any: of those with the fewest failures the oldest, so that one window that
// the platform doesn't take doesn't delay the others. The caller must pass the answer to
// ReportEnded.
func (c *Collector) NextReport(now time.Duration, r *Record, fence uint64) (Window, bool) {
	p := &c.reports
	if p.sending || now < p.nextAt || fence <= p.refused {
		return Window{}, false
	}
	var next Window
	found := false
	for _, w := range r.Unreported() {
		if !p.accepted[w.Number] && (!found || p.tries[w.Number] < p.tries[next.Number]) {
			next, found = w, true
		}
	}
	if found {
		p.sending, p.fence = true, fence
	}
	return next, found
}

// ReportEnded takes the answer to the report that was sent last.
func (c *Collector) ReportEnded(now time.Duration, window int64, a Answer) {
	p := &c.reports
	p.sending = false
	switch a {
	case Accepted:
		p.accepted[window] = true
		p.failures = 0
	case Refused:
		p.refused = max(p.refused, p.fence)
	case Failed:
		p.tries[window]++
		p.nextAt = now + min(minReportWait<<min(p.failures, 8), maxReportWait)
		p.failures++
	}
}

// NextAcceptance returns a window whose acceptance is to be committed.
func (c *Collector) NextAcceptance(r *Record) (Acceptance, bool) {
	p := &c.reports
	var next int64
	for window := range p.accepted {
		if w, kept := r.Closed(window); !kept || w.Accepted {
			delete(p.accepted, window)
			delete(p.tries, window)
		} else if next == 0 || window < next {
			next = window
		}
	}
	return Acceptance{Window: next}, next != 0
}
