package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"verbenahaven.example/core/process/clock"
)

// bodyReader reads a body with a limit on the time between its bytes and one on
// all of it. A caller that sends a long body steadily keeps the first. Reading ends with
// the context.
type bodyReader struct {
	io.Reader
	ctx     context.Context
	control *http.ResponseController
	clock   clock.Clock
	idle    time.Duration
	end     time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	deadline := b.clock.Now().Add(b.idle)
	if deadline.After(b.end) {
		deadline = b.end
	}
	// The error is ignored: readRequest counts connections without deadlines.
	_ = b.control.SetReadDeadline(deadline)
	defer context.AfterFunc(b.ctx, func() { _ = b.control.SetReadDeadline(time.Unix(1, 0)) })()
	return b.Reader.Read(p) //nolint:wrapcheck // io.EOF is compared by value
}
