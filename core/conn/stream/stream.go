// Package stream reads and writes server-sent events and limits the size of the
// events that a peer may send.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxEventBytes is the maximum size of an event's data, in bytes, unless a reader has another.
const MaxEventBytes = 1 << 20

const readBufferBytes = 4096

// ErrTooLarge reports that an event is larger than it may be.
var ErrTooLarge = errors.New("event too large")

// DataPrefix starts an event that has one data line.
const DataPrefix = "data: "

var (
	dataField = []byte("data")
	eventEnd  = []byte("\n\n")
)

// Reader parses a stream of server-sent events.
type Reader struct {
	buffer *bufio.Reader
	limit  int
	data   []byte
}

// NewReader returns a Reader for the stream r.
func NewReader(r io.Reader) *Reader { return NewLimitedReader(r, MaxEventBytes) }

// NewLimitedReader returns a Reader for the stream r, whose events may have data of limit
// bytes.
func NewLimitedReader(r io.Reader, limit int) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, readBufferBytes), limit: limit}
}

// Next returns the data of the next event. The slice is valid until the next
// call. If the stream ends within an event, Next returns io.ErrUnexpectedEOF
// instead of the partial event. Comments and other fields that are larger than an
// event may be return ErrTooLarge, since they may come without end.
func (r *Reader) Next() ([]byte, error) {
	r.data = r.data[:0]
	hasData, skipped := false, 0
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && hasData {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return r.data, nil
			}
		}
		value, ok := dataValue(line)
		if !ok {
			if skipped += len(line) + 1; skipped > r.limit {
				return nil, ErrTooLarge
			}
			continue
		}
		if hasData {
			r.data = append(r.data, '\n')
		}
		if len(r.data)+len(value) > r.limit {
			return nil, ErrTooLarge
		}
		r.data = append(r.data, value...)
		hasData = true
	}
}

// EventBuffered reports whether the end of another event is already buffered.
func (r *Reader) EventBuffered() bool {
	b, err := r.buffer.Peek(r.buffer.Buffered())
	return err == nil && bytes.Contains(b, eventEnd)
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.buffer.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, readError(line, err)
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > r.limit {
			return nil, ErrTooLarge
		}
		line, err = r.buffer.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, readError(long, err)
	}
	return bytes.TrimRight(long, "\r\n"), nil
}

// readError returns the error for a read that ended after a partial line: the
// end of the stream is unexpected unless the line is empty.
func readError(line []byte, err error) error {
	if errors.Is(err, io.EOF) {
		if len(line) > 0 {
			return io.ErrUnexpectedEOF
		}
		return io.EOF
	}
	return fmt.Errorf("read event: %w", err)
}

// dataValue returns the value of a data field. It reports false for comments
// and other fields.
func dataValue(line []byte) ([]byte, bool) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, dataField) {
		return nil, false
	}
	if !found {
		return nil, true
	}
	return bytes.TrimPrefix(value, []byte{' '}), true
}

// AppendEvent appends an event with one data line to b and returns the result.
func AppendEvent(b, data []byte) []byte {
	b = append(b, DataPrefix...)
	b = append(b, data...)
	return append(b, eventEnd...)
}
