package strict

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

// ErrStatus reports a status that HTTP doesn't have, or that of a protocol switch, which no
// request asks for.
var ErrStatus = errors.New("the status of the answer is invalid")

// ErrField reports a line of a head that is no field with a valid name. A line that begins
// with a blank continues the one before, unless it reads like a field: its name may have been
// damaged, and a gateway may refuse any such line.
var ErrField = errors.New("the head of the answer has a malformed field")

// place is a place in an answer.
type place int

const (
	outsideHead place = iota
	inVersion
	beforeStatus
	inStatus
	inReason
	atLine      // at the start of a line
	afterReturn // after a carriage return at the start of a line
	inName
	inContinuation // as long as it reads like a field
	inValue
)

// head follows the bytes of an answer's interim heads and of its final one. net/http takes any
// three digits for a status, and leaves a name that holds a blank as it is.
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
	case inReason, inValue:
		if c == '\n' {
			h.place = atLine
		}
		return nil
	default:
		return h.stepField(c)
	}
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
	h.place = inReason
	return h.step(c)
}

func (h *head) validStatus() bool {
	const switchingProtocols = 101
	return h.status >= 100 && h.status < 600 && h.status != switchingProtocols
}

// stepField moves over a byte of a field up to its value, or of the empty line.
func (h *head) stepField(c byte) error {
	isBlank, isToken := c == ' ' || c == '\t', httpguts.IsTokenRune(rune(c))
	switch {
	case h.place == inContinuation:
		return h.stepContinuation(c, isBlank || isToken)
	case c == '\n' && h.place != inName:
		h.end()
	case c == '\r' && h.place == atLine:
		h.place = afterReturn
	case c == ':' && h.place == inName:
		h.place = inValue
	case isBlank && h.place == atLine:
		h.place = inContinuation
	case isToken && h.place != afterReturn:
		h.place = inName
	default:
		return ErrField
	}
	return nil
}

func (h *head) stepContinuation(c byte, inName bool) error {
	switch {
	case c == ':':
		return ErrField
	case c == '\n':
		h.place = atLine
	case !inName:
		h.place = inValue
	}
	return nil
}

// end moves over the end of a head. An interim one is followed by another.
func (h *head) end() {
	next := outsideHead
	if h.status < 200 {
		next = inVersion
	}
	*h = head{place: next}
}
