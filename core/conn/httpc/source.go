package httpc

import (
	"bytes"
	"io"
)

// source reads from a connection, and limits the heads of responses while they are parsed:
// net/http has no limit on what it keeps of them.
type source struct {
	io.Reader
	inHead bool
	bytes  int // left for the head
	lines  int // left for the head
	unread int // lines of the last read, which may belong to a body
}

// beginHead limits what is read from now on, until endHead.
func (s *source) beginHead() {
	s.inHead, s.bytes, s.lines, s.unread = true, maxHeadBytes, maxHeadLines, 0
}

func (s *source) endHead() { s.inHead = false }

// Read implements io.Reader. What was read before belongs to the head, or more wouldn't be
// needed.
func (s *source) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.Reader.Read(p) //nolint:wrapcheck // io.EOF must be returned as it is
	}
	s.lines -= s.unread
	if s.bytes <= 0 || s.lines < 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := s.Reader.Read(p[:min(len(p), s.bytes)])
	s.bytes -= n
	s.unread = bytes.Count(p[:n], []byte{'\n'})
	return n, err //nolint:wrapcheck // as above
}
