package exit

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"verbenahaven.example/core/process/boot"
)

// newTestBound returns a bound that tells the time at which it exits.
func newTestBound(t *testing.T, w io.Writer) (b *Bound, exited chan time.Duration) {
	t.Helper()
	began := time.Now()
	exited = make(chan time.Duration, 1)
	b = NewBound("testd")
	b.output = w
	b.exit = func(code int) {
		if code != boot.ExitFailure {
			t.Errorf("exit code %d", code)
		}
		exited <- time.Since(began)
	}
	return b, exited
}

// A process ended with the signal, or never, where its grace wasn't set.
func TestProcessThatHangsEndsWithinGrace(t *testing.T) {
	for _, c := range []struct {
		name    string
		grace   time.Duration
		release bool
		want    time.Duration // 0 if it goes on
	}{
		{name: "set", grace: 10 * time.Second, want: 9800 * time.Millisecond},
		{name: "not set", grace: 0, want: 7840 * time.Millisecond},
		{name: "negative", grace: -time.Second, want: 7840 * time.Millisecond},
		{name: "ended in time", grace: 10 * time.Second, release: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var output bytes.Buffer
				b, exited := newTestBound(t, &output)
				ctx, stop := context.WithCancel(t.Context())
				release := b.Watch(ctx)
				defer release()
				b.SetGrace(c.grace)
				stop()
				if c.release {
					time.Sleep(time.Second)
					release()
				}
				time.Sleep(time.Minute)
				select {
				case got := <-exited:
					if got != c.want || !strings.HasPrefix(output.String(), "testd: shutdown did not finish") {
						t.Errorf("exit after %v, want %v; told %q", got, c.want, output.String())
					}
				default:
					if c.want != 0 {
						t.Error("still running after a minute")
					}
				}
			})
		})
	}
}

// The process outlived its grace period while nobody read its standard error.
func TestForcedExitDoesNotWaitForReaderOfProfile(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	b, exited := newTestBound(t, w)
	go b.force()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		t.Fatal("still running 5 s later")
	}
}

func TestShutdownBeginsWithSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newTestBound(t, io.Discard)
		ctx, stop := context.WithCancel(t.Context())
		release := b.Watch(ctx)
		signal := time.Now()
		stop()
		synctest.Wait()
		time.Sleep(time.Second)
		if got := b.Begin(); !got.Equal(signal) {
			t.Errorf("it began %v after the signal", got.Sub(signal))
		}
		release() // it wasn't the end of the process
		if got := b.Begin(); time.Since(got) != 0 {
			t.Errorf("the next one began %v ago", time.Since(got))
		}
	})
}
