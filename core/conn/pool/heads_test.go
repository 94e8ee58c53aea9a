package pool_test

import (
	"errors"
	"testing"

	"verbenahaven.example/core/conn/strict"
)

// Callers got answers whose status HTTP doesn't have, and those whose heads have malformed
// names.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const sound = namedHead + "Content-Length: 2\r\n\r\nok"
	for answer, want := range map[string]error{
		"HTTP/1.1 000 X\r\n\r\n" + sound:                          strict.ErrStatus,
		"HTTP/1.1 101 X\r\n\r\n" + sound:                          strict.ErrStatus,
		"HTTP/1.1 600 X\r\n" + sound[len("HTTP/1.1 200 OK\r\n"):]: strict.ErrStatus,
		namedHead + "Content-Length : 1\r\n\r\nok":                strict.ErrField,
		namedHead + "X Odd: 1\r\n\r\nok":                          strict.ErrField,
		namedHead + " Content-Length: 1\r\n\r\nok":                strict.ErrField,
		namedHead + "X\x01Odd: 1\r\n\r\nok":                       strict.ErrField,
		"HTTP/1.1 103 X\r\nX Odd: 1\r\n\r\n" + sound:              strict.ErrField,
		"HTTP/1.1 103 X\r\nOdd: 1\r\n\r\n" + sound:                nil,
	} {
		for _, kept := range []bool{false, true} {
			if b, err := post(t, (&earlyServer{answer: answer}).start(t), nil, kept); !errors.Is(err, want) || err == nil && b != "ok" {
				t.Errorf("%q, kept %v: %q, %v", answer, kept, b, err)
			}
		}
	}
}
