package stream_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/stream"
)

func ExampleReader() {
	r := stream.NewReader(strings.NewReader(": comment\ndata: one\n\ndata: two\ndata: lines\n\ndata: cut"))
	for {
		data, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%q\n", data)
	}
	// Output:
	// "one"
	// "two\nlines"
	// unexpected EOF
}

// Reader returns the appended events however the reads are split. A truncated
// stream yields a prefix of the events and never a partial one.
func TestReaderReturnsOnlyWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.StringMatching(`[^\r\n]{0,50}`)).Draw(t, "events")
		var b []byte
		for _, e := range events {
			b = stream.AppendEvent(b, []byte(e))
		}
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		r := stream.NewReader(iotest.HalfReader(bytes.NewReader(b[:cut])))
		for i := 0; ; i++ {
			data, err := r.Next()
			if err != nil {
				if cut == len(b) && (i != len(events) || !errors.Is(err, io.EOF)) {
					t.Fatalf("%d of %d events, then %v", i, len(events), err)
				}
				return
			}
			if string(data) != events[i] {
				t.Fatalf("event %d is %q, want %q", i, data, events[i])
			}
		}
	})
}

func TestOversizedEventIsRejected(t *testing.T) {
	for _, text := range []string{"data: x\n", "data: xxx"} {
		r := stream.NewReader(strings.NewReader(strings.Repeat(text, stream.MaxEventBytes)))
		if _, err := r.Next(); !errors.Is(err, stream.ErrTooLarge) {
			t.Errorf("%.10q without end: %v", text, err)
		}
	}
}

func FuzzReader(f *testing.F) {
	for _, s := range []string{"data: {}\n\n", "data:a\r\n\r\n", ":c\n\ndata\n\n", "data: a\n", "\n\n\n", "event: x\ndata: y\n\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := stream.NewReader(bytes.NewReader(b))
		total := 0
		for {
			data, err := r.Next()
			if err != nil {
				break
			}
			total += len(data)
		}
		if total > len(b) {
			t.Fatalf("%d bytes of data out of %d", total, len(b))
		}
	})
}

// A stream may be read in pieces of any size and be cut anywhere.
func TestCursorFindsEndOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ending := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "ending")
		blocks := rapid.SliceOf(rapid.SampledFrom([]string{": c|", "data: x||", "id: 1|: c|data|data: x||", "|"})).Draw(t, "blocks")
		b, ends := make([]byte, 0, 8*len(blocks)), make([]int, 1, 1+2*len(blocks))
		for _, block := range blocks {
			b = append(b, strings.ReplaceAll(block, "|", ending)...)
			ends = append(ends, len(b)-len(ending)+1, len(b)) // the line feed after a carriage return may be missing
		}
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		want := 0
		for _, end := range ends {
			if end <= cut {
				want = end
			}
		}
		var c stream.Cursor
		got := 0
		for read := 0; read < cut; {
			n := rapid.IntRange(1, cut-read).Draw(t, "read")
			if end := c.Advance(b[read : read+n]); end > 0 {
				got = read + end
			}
			read += n
		}
		if got != want || c.Between() != (got == cut) {
			t.Fatalf("%q: the last event ends at %d, want %d", b[:cut], got, want)
		}
	})
}

// Whatever the bytes are, it doesn't matter how they are split.
func FuzzCursor(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n: c\rdata\n\n\r\rd"), 7)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		split = min(max(split, 0), len(b))
		var whole, parts stream.Cursor
		want, got := whole.Advance(b), parts.Advance(b[:split])
		if end := parts.Advance(b[split:]); end > 0 {
			got = split + end
		}
		if got != want || whole != parts || whole.Between() != (want == len(b)) {
			t.Fatalf("%q split at %d: events end at %d, whole at %d", b, split, got, want)
		}
	})
}
