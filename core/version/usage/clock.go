package usage

import (
	"slices"
	"time"
)

const (
	// medianInterval is the least time between two calculations of the median:
	// heartbeats come hundreds of times a second, and clocks hardly change.
	medianInterval = 100 * time.Millisecond
	// samplePeriod is the time over which the fastest heartbeat of an instance is taken. It
	// spans several heartbeats.
	samplePeriod = time.Second
)

// clockSample is the time of day of an instance, as the difference from the leader's
// elapsed time, which isn't stepped. Of the heartbeats in this period and the last one
// the highest difference is kept, since it took the least time: the others were late.
type clockSample struct {
	highest, last time.Duration
	began         time.Duration // of the period
	at            time.Duration // of the newest heartbeat
}

// offset returns the difference by the heartbeat that took the least time.
func (s *clockSample) offset() time.Duration { return max(s.highest, s.last) }

// clocks estimates the true time as the median of the instances' clocks, so that a few
// stepped ones don't change it.
type clocks struct {
	lease   time.Duration // after which a sample is dropped
	samples map[string]clockSample
	median  time.Duration
	count   int // samples in the median
	taken   time.Duration
}

func newClocks(lease time.Duration) *clocks {
	return &clocks{lease: lease, samples: make(map[string]clockSample)}
}

// put takes the time of day in a heartbeat. It reports whether the heartbeat was on its
// way for less than half of settleTime longer than others of the instance. If not it was
// late, or the clock was set back.
func (c *clocks) put(now time.Duration, name string, timeOfDay int64) (prompt bool) {
	offset := time.Duration(timeOfDay)*time.Millisecond - now
	s, found := c.samples[name]
	if !found {
		s = clockSample{highest: offset, last: offset, began: now}
	} else if now-s.began >= samplePeriod {
		s.last, s.highest, s.began = s.highest, offset, now
	}
	s.highest, s.at = max(s.highest, offset), now
	c.samples[name] = s
	if len(c.samples) != c.count || now-c.taken >= medianInterval {
		c.takeMedian(now)
	}
	return found && offset >= s.offset()-settleTime/2
}

func (c *clocks) takeMedian(now time.Duration) {
	offsets := make([]time.Duration, 0, len(c.samples))
	for name, s := range c.samples {
		if now-s.at > c.lease {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset())
	}
	slices.Sort(offsets)
	c.median, c.count, c.taken = offsets[(len(offsets)-1)/2], len(offsets), now
}

// correction returns what is to be added to a time of day that came in a heartbeat.
func (c *clocks) correction(now time.Duration, timeOfDay int64) time.Duration {
	return c.trueTime(now) - time.Duration(timeOfDay)*time.Millisecond
}

// trueTime returns the time since the start of 1970.
func (c *clocks) trueTime(now time.Duration) time.Duration { return now + c.median }
