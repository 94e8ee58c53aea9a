package front

import (
	"fmt"
	"net/http"
	"time"
)

// wholeChunk is the part of a whole answer that a caller must take within
// writeStallTimeout, in bytes. Progress is judged by it: a caller that reads a byte now
// and then would hold its call for good.
const wholeChunk = 64 << 10

// writeWhole writes the body of a whole answer in chunks, each within a time.
func writeWhole(w http.ResponseWriter, b []byte, timeout time.Duration) error {
	control := http.NewResponseController(w)
	for len(b) > 0 {
		// The error is ignored: response writers without a connection have no deadlines.
		_ = control.SetWriteDeadline(time.Now().Add(timeout))
		n := min(wholeChunk, len(b))
		if _, err := w.Write(b[:n]); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		b = b[n:]
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	_ = control.SetWriteDeadline(time.Time{}) // the next call on the connection has its own
	return nil
}
