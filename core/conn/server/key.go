package server

import (
	"fmt"
	"io"
)

// hiddenKey takes the place of a key in logs and errors.
const hiddenKey = "(key)"

// Key is an API key. Formatting or encoding it, also as part of a Call, doesn't show
// it; convert it to a string to send it.
type Key string

// Format implements fmt.Formatter.
func (k Key) Format(w fmt.State, _ rune) {
	if k != "" {
		_, _ = io.WriteString(w, hiddenKey) // an error can't be reported
	}
}

// MarshalText implements encoding.TextMarshaler, which structured logs use.
func (k Key) MarshalText() ([]byte, error) {
	if k == "" {
		return nil, nil
	}
	return []byte(hiddenKey), nil
}
