// Package audit writes a process's structured log: JSON lines, bounded in
// their rate, that never hold up whoever logs. Lines of level Warn and above
// have a bound of their own, so that a flood of requests can't hide them.
package audit

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// ringLines is the number of lines that may wait to be written.
	ringLines = 2048
	// flushEvery is the time between writes.
	flushEvery = 100 * time.Millisecond
	// quietRate and loudRate bound the lines a second below Warn, and from it.
	// At 200 bytes a line the log stays below 150 KB a second.
	quietRate = 600
	loudRate  = 100
	// burst is the number of seconds' worth of lines that may come at once.
	burst = 2
)

// Counter counts by name.
type Counter interface {
	Count(parts ...string)
}

// Log is a running log.
type Log struct {
	counter Counter
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}

	mutex   sync.Mutex
	quiet   bucket
	loud    bucket
	dropped int
}

// New starts a log that writes to w. The clean-up writes what waits.
func New(w io.Writer, c Counter) (*slog.Logger, func()) {
	l := &Log{
		counter: c,
		lines:   make(chan []byte, ringLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		quiet:   bucket{rate: quietRate, level: burst * quietRate},
		loud:    bucket{rate: loudRate, level: burst * loudRate},
	}
	go l.run(w)
	return slog.New(&handler{log: l, inner: slog.NewJSONHandler(ring{l}, nil)}), func() {
		close(l.stop)
		<-l.done
	}
}

// handler admits lines before they are encoded.
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
	return h.inner.Handle(ctx, r) //nolint:wrapcheck // the ring never fails
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
	b := &l.quiet
	if level >= slog.LevelWarn {
		b = &l.loud
	}
	if !b.take(now) {
		l.dropped++
		return false
	}
	return true
}

// ring queues encoded lines.
type ring struct{ log *Log }

// Write implements io.Writer. A full ring drops the line.
func (r ring) Write(b []byte) (int, error) {
	select {
	case r.log.lines <- bytes.Clone(b):
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
	ticker := time.NewTicker(flushEvery)
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

// flush writes what waits in one call.
func (l *Log) flush(w io.Writer) {
	var b bytes.Buffer
	for {
		select {
		case line := <-l.lines:
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

// bucket bounds lines over time.
type bucket struct {
	rate  float64
	level float64
	at    time.Time
}

func (b *bucket) take(now time.Time) bool {
	if passed := now.Sub(b.at); !b.at.IsZero() && passed > 0 {
		b.level = min(b.rate*burst, b.level+b.rate*passed.Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
