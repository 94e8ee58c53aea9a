package strict

import "errors"

// ErrStatus reports a status that HTTP doesn't have, or that of a protocol switch, which no
// request asks for.
var ErrStatus = errors.New("the status of the answer is invalid")

// place is a place in an answer.
type place int

const (
	outsideHead place = iota
	inVersion
	beforeStatus
	inStatus
	inLine      // after the status, or in a field
	atLine      // at the start of a line
	afterReturn // after a carriage return at the start of a line
)

// head follows the bytes of an answer's interim heads and of its final one. net/http takes
// any three digits for a status.
type head struct {
	place  place
	digits int // of the status so far
	status int
}

// advance moves over b, or to its first byte that is invalid.
func (h *head) advance(b []byte) (int, error) {
	for i, c := range b {
		if h.place == outsideHead {
			break
		}
		if err := h.step(c); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

func (h *head) step(c byte) error {
	switch h.place {
	case inVersion, beforeStatus, inStatus:
		return h.stepStatus(c)
	case inLine:
		if c == '\n' {
			h.place = atLine
		}
	default:
		h.stepLine(c)
	}
	return nil
}

// stepStatus moves over a byte of a status line up to the reason.
func (h *head) stepStatus(c byte) error {
	switch {
	case c == '\n' && h.place != inStatus:
		return ErrStatus
	case h.place == inVersion:
		if c == ' ' {
			h.place = beforeStatus
		}
		return nil
	case h.place == beforeStatus && c == ' ':
		return nil
	case c >= '0' && c <= '9':
		h.place = inStatus
		h.digits++
		h.status = h.status*10 + int(c-'0')
		if h.digits > 3 {
			return ErrStatus
		}
		return nil
	case h.digits != 3 || !h.validStatus():
		return ErrStatus
	}
	h.place = inLine
	return h.step(c)
}

func (h *head) validStatus() bool {
	const switchingProtocols = 101
	return h.status >= 100 && h.status < 600 && h.status != switchingProtocols
}

// stepLine moves over a byte at the start of a line.
func (h *head) stepLine(c byte) {
	switch {
	case c == '\n':
		h.end()
	case c == '\r' && h.place == atLine:
		h.place = afterReturn
	default:
		h.place = inLine
	}
}

// end moves over the end of a head. An interim one is followed by another.
func (h *head) end() {
	next := outsideHead
	if h.status < 200 {
		next = inVersion
	}
	*h = head{place: next}
}
