package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"testing"

	"verbenahaven.example/core/process/meter"
)

// FuzzFrame reads frames from arbitrary bytes and passes their bodies to a handler.
// Neither may panic, and a frame that was read must survive a write and a re-read.
func FuzzFrame(f *testing.F) {
	encode := func(e envelope) []byte {
		var b bytes.Buffer
		if err := writeFrame(&b, e); err != nil {
			f.Fatal(err)
		}
		return b.Bytes()
	}
	frame := encode(envelope{Kind: "raft", Body: []byte{0x83, 1, 2, 3}})
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add(encode(envelope{Kind: "x", Err: &RemoteError{Code: CodeOverloaded, Detail: "y"}}))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0x04, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 2, 0xbf, 0xff})
	s := NewServer(meter.New())
	Handle(s, "raft", func(_ context.Context, _ string, list []int) (int, error) { return len(list), nil })
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := readFrame(bytes.NewReader(b), admitAll)
		if err != nil {
			return
		}
		_, _ = s.handlers["raft"](t.Context(), "keep1", e.Body)
		var rewritten bytes.Buffer
		if err := writeFrame(&rewritten, e); err != nil {
			t.Fatalf("rewrite frame: %v", err)
		}
		second, err := readFrame(&rewritten, admitAll)
		if err != nil || second.Kind != e.Kind || !bytes.Equal(second.Body, e.Body) {
			t.Fatalf("%+v became %+v, %v", e, second, err)
		}
	})
}

// TestFrameSizeCheckedBeforeBody checks that a frame is refused by the size in its
// header, before any byte of its body is read.
func TestFrameSizeCheckedBeforeBody(t *testing.T) {
	largest := binary.BigEndian.AppendUint32(nil, MaxFrame)
	r := bytes.NewReader(append(largest, 1, 2, 3))
	_, err := readFrame(r, func(n int) bool { return n < MaxFrame })
	if !errors.Is(err, errPendingLimit) || r.Len() != 3 {
		t.Errorf("got %v with %d bytes unread", err, r.Len())
	}
	above := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	if _, err := readFrame(bytes.NewReader(above), admitAll); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want %v", err, ErrTooLarge)
	}
}
