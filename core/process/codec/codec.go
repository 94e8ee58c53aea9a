// Package codec implements the binary encoding of messages between instances
// and of the replicated state: CBOR with times to the nanosecond, since the
// library's default truncates them to seconds, and with floats as short as they
// can be without loss.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic("codec: " + err.Error())
	}
	return m
}()

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Unmarshal decodes b into the value that v points to.
func Unmarshal(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
