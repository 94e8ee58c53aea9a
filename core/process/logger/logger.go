// Package logger writes the structured log of a process as JSON lines. Logging
// is rate limited and never blocks the code that logs. Lines of level Warn and
// above have their own limit, so that a flood of request lines can't displace
// them.
package logger

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// queueLines is the capacity of the queue of lines to be written.
	queueLines = 2048
	// flushInterval is the time between writes of the queued lines.
	flushInterval = 100 * time.Millisecond
	// infoLinesPerSecond limits the lines below level Warn, and
	// warnLinesPerSecond those of Warn and above. With lines of 200 bytes the
	// log stays below 150 KB a second.
	infoLinesPerSecond = 600
	warnLinesPerSecond = 100
	// burstSeconds is the capacity of a token bucket, in seconds at its rate.
	burstSeconds = 2
)

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Log queues, limits and writes log lines.
type Log struct {
	counter Counter
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}

	mutex      sync.Mutex
	infoBucket tokenBucket
	warnBucket tokenBucket
	dropped    int
}

// New returns a logger that writes to w, and a function that writes the queued
// lines and stops it.
func New(w io.Writer, c Counter) (*slog.Logger, func()) {
	l := &Log{
		counter:    c,
		queue:      make(chan []byte, queueLines),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		infoBucket: tokenBucket{rate: infoLinesPerSecond, tokens: burstSeconds * infoLinesPerSecond},
		warnBucket: tokenBucket{rate: warnLinesPerSecond, tokens: burstSeconds * warnLinesPerSecond},
	}
	go l.run(w)
	return slog.New(&handler{log: l, inner: slog.NewJSONHandler(lineWriter{l}, nil)}), func() {
		close(l.stop)
		<-l.done
	}
}

// handler applies the rate limit before lines are encoded.
type handler struct {
	log   *Log
	inner slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.admit(r.Level, r.Time) {
		h.log.counter.Count("log", "dropped", "rate")
		return nil
	}
	return h.inner.Handle(ctx, r) //nolint:wrapcheck // lineWriter returns no errors
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithAttrs(a)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, inner: h.inner.WithGroup(name)}
}

func (l *Log) admit(level slog.Level, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b := &l.infoBucket
	if level >= slog.LevelWarn {
		b = &l.warnBucket
	}
	if !b.take(now) {
		l.dropped++
		return false
	}
	return true
}

// lineWriter adds encoded lines to the queue of a log.
type lineWriter struct{ log *Log }

// Write implements io.Writer. It drops the line if the queue is full.
func (r lineWriter) Write(b []byte) (int, error) {
	select {
	case r.log.queue <- bytes.Clone(b):
	default:
		r.log.counter.Count("log", "dropped", "ring")
		r.log.mutex.Lock()
		r.log.dropped++
		r.log.mutex.Unlock()
	}
	return len(b), nil
}

func (l *Log) run(w io.Writer) {
	defer close(l.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			l.flush(w)
			return
		case <-ticker.C:
			l.flush(w)
		}
	}
}

// flush writes all queued lines in one call, followed by the number of lines
// dropped since the last flush.
func (l *Log) flush(w io.Writer) {
	var b bytes.Buffer
	for {
		select {
		case line := <-l.queue:
			b.Write(line)
			continue
		default:
		}
		break
	}
	l.mutex.Lock()
	dropped := l.dropped
	l.dropped = 0
	l.mutex.Unlock()
	if dropped > 0 {
		slog.New(slog.NewJSONHandler(&b, nil)).Warn("log lines dropped", "count", dropped)
	}
	if b.Len() == 0 {
		return
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		l.counter.Count("log", "failed")
	}
}

// tokenBucket limits the rate of lines.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.rate*burstSeconds, b.tokens+b.rate*elapsed.Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
