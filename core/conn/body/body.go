// Package body reads message bodies of limited size.
package body

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge reports a body that is larger than its limit.
var ErrTooLarge = errors.New("body too large")

// Read reads r to its end. A body of more than limit bytes is an error, not a
// body cut short.
func Read(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return b, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limit)
	}
	return b, nil
}
