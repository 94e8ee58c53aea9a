// Package stream reads and writes server-sent events, with bounds on what a
// peer may send.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEvent bounds the data of one event, in bytes.
const MaxEvent = 1 << 20

const bufferBytes = 4096

// ErrTooLarge tells that an event is larger than MaxEvent.
var ErrTooLarge = errors.New("event too large")

// Head begins an event with one line of data.
const Head = "data: "

var (
	dataField = []byte("data")
	eventTail = []byte("\n\n")
)

// Reader splits a stream into the data of its events.
type Reader struct {
	buffer *bufio.Reader
	data   []byte
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the data of the next event. The slice is valid until the next
// call. An event that the end of the stream cut off is not returned: the
// error is then io.ErrUnexpectedEOF.
func (r *Reader) Next() ([]byte, error) {
	r.data = r.data[:0]
	found := false
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && found {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return r.data, nil
			}
			continue
		}
		value, ok := field(line)
		if !ok {
			continue
		}
		if found {
			r.data = append(r.data, '\n')
		}
		if len(r.data)+len(value) > MaxEvent {
			return nil, ErrTooLarge
		}
		r.data = append(r.data, value...)
		found = true
	}
}

// More reports whether another whole event has already been received.
func (r *Reader) More() bool {
	b, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && bytes.Contains(b, eventTail)
}

// line returns a line without its end.
func (r *Reader) line() ([]byte, error) {
	line, err := r.buffer.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, ended(line, err)
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > MaxEvent {
			return nil, ErrTooLarge
		}
		line, err = r.buffer.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, ended(long, err)
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

func ended(line []byte, err error) error {
	if errors.Is(err, io.EOF) {
		if len(line) > 0 {
			return io.ErrUnexpectedEOF
		}
		return io.EOF
	}
	return fmt.Errorf("read event: %w", err)
}

// field returns the value of a data line. Comments and other fields are
// skipped.
func field(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return nil, false
	}
	if !found {
		return nil, true
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// Append appends an event with one line of data to b.
func Append(b, data []byte) []byte {
	b = append(b, Head...)
	b = append(b, data...)
	return append(b, eventTail...)
}
