// Package items reads the items of a JSON list that has several writers. An item that can't
// be read takes none of the others with it: encoding/json refuses a whole document for one
// invalid byte, or for one value that is nested too deeply.
package items

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrUnreadable reports a document that isn't a list, has too many items, or of which the end
// is missing.
var ErrUnreadable = errors.New("not a readable list")

// Array returns the items of a document that is a list. They may be invalid JSON. The
// document must be whole: the end of a part of it may look like that of a list with broken
// items.
func Array(b []byte) ([]json.RawMessage, error) {
	s := newScanner(b)
	list, _, ok := s.items(s.skipSpace(0), func(at int, _ bool) bool { return s.endsAt(at) })
	if !ok {
		return nil, fmt.Errorf("%w: %d bytes", ErrUnreadable, len(b))
	}
	return list, nil
}

// Member returns the items of the list that is the member name of a document, and the
// document's other members. The list is nil if there is no such member. A list with broken
// items ends only where the member next follows, since the document may be cut short.
func Member(b []byte, name, next string) (list []json.RawMessage, others map[string]json.RawMessage, err error) {
	s := newScanner(b)
	others = make(map[string]json.RawMessage)
	closes := func(at int, broken bool) bool {
		if broken {
			return s.closesAt(at, next)
		}
		return s.closesAt(at, "")
	}
	ok := s.members(s.skipSpace(0), func(key string, at int) (end int, ok bool) {
		if key == name && s.is(at, '[') {
			list, end, ok = s.items(at, closes)
			return end, ok
		}
		end, ok = s.value(at)
		if ok {
			others[key] = b[at:end]
		}
		return end, ok
	})
	if !ok {
		return nil, nil, fmt.Errorf("%w: %d bytes", ErrUnreadable, len(b))
	}
	return list, others, nil
}
