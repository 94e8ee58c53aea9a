package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ContentType is the media type of server-sent events.
const ContentType = "text/event-stream"

// ErrCutInsideEvent reports that a stream ended inside an event.
var ErrCutInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)

// ErrNoEvent reports that a connection ended where a stream should begin.
var ErrNoEvent = fmt.Errorf("the stream ended before its first event: %w", io.ErrUnexpectedEOF)

const lineEndings = "\r\n"

// Cursor follows the bytes of a stream of server-sent events and finds where
// events end. The zero value is at the start of a stream.
type Cursor struct {
	insideLine bool
	hasField   bool // the current event has begun
	afterCR    bool // a line feed would belong to the line that has just ended
	anyEvent   bool // an event has begun
	ended      int  // events that have ended
}

// Ended returns the number of events that have ended. Comments and empty lines aren't
// events.
func (c *Cursor) Ended() int { return c.ended }

// Between reports whether the cursor is between two events.
func (c *Cursor) Between() bool { return !c.insideLine && !c.hasField }

// Advance moves the cursor over b. It returns the length of the longest prefix of
// b that ends between two events, or 0 if there is none.
func (c *Cursor) Advance(b []byte) int {
	end := 0
	for i := 0; i < len(b); {
		i += c.advanceLine(b[i:])
		if c.Between() {
			end = i
		}
	}
	return end
}

// advanceLine moves the cursor to the end of the current line, or over all of b if
// that has no line ending. It returns the number of bytes moved over.
func (c *Cursor) advanceLine(b []byte) int {
	if c.afterCR && b[0] == '\n' {
		c.afterCR = false
		return 1
	}
	n := bytes.IndexAny(b, lineEndings)
	if n == 0 && !c.insideLine {
		if c.hasField {
			c.ended++
		}
		c.hasField = false // an empty line ends the event
	} else if !c.insideLine && b[0] != ':' {
		c.hasField, c.anyEvent = true, true
	}
	c.insideLine = n < 0
	c.afterCR = n >= 0 && b[n] == '\r'
	if n < 0 {
		return len(b)
	}
	return n + 1
}

// Whole returns the body of a response, whose reader gets ErrCutInsideEvent
// instead of io.EOF if the body is a stream of server-sent events that ends inside
// an event. No framing shows that: the end of a connection, or a last chunk, may
// also follow a crash of the server. It gets ErrNoEvent if the connection ends
// before the first event of a body that is framed by nothing else.
func Whole(r *http.Response) io.ReadCloser {
	if !IsStream(r.Header) || r.Body == http.NoBody {
		return r.Body
	}
	return &wholeEvents{ReadCloser: r.Body, unframed: r.ContentLength < 0 && len(r.TransferEncoding) == 0}
}

// wholeEvents is a body of server-sent events.
type wholeEvents struct {
	io.ReadCloser
	cursor   Cursor
	unframed bool // the end of the connection ends the body
}

// Read implements io.Reader.
func (w *wholeEvents) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	w.cursor.Advance(p[:n])
	switch {
	case !errors.Is(err, io.EOF):
	case !w.cursor.Between():
		return n, ErrCutInsideEvent
	case w.unframed && !w.cursor.anyEvent:
		return n, ErrNoEvent
	}
	return n, err //nolint:wrapcheck // io.EOF must be returned as it is
}
