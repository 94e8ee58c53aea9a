package items

import "encoding/json"

const (
	// maxPasses bounds how often a document is read to find the ends of broken items.
	maxPasses = 16
	// maxItems and maxDepth bound the items of a list, and how deeply a value is nested: a
	// document without end may consist of them, and each takes more memory than its text.
	maxItems = 1 << 16
	maxDepth = 1 << 18
)

// scanner finds the ends of values in a document. It checks how they are nested, with a
// stack of its own in place of recursion, but not what strings and numbers hold.
type scanner struct {
	text     []byte
	left     int  // bytes that may still be read
	unclosed bits // where the objects begin of which the end wasn't found
}

// bits is a set of positions.
type bits []uint64

func (b bits) has(at int) bool { return b[at/64]&(1<<(at%64)) != 0 }

func (b bits) add(at int) { b[at/64] |= 1 << (at % 64) }

func newScanner(b []byte) *scanner {
	return &scanner{text: b, left: maxPasses * (len(b) + 1), unclosed: make(bits, len(b)/64+1)}
}

func (s *scanner) is(at int, c byte) bool { return at < len(s.text) && s.text[at] == c }

// skipSpace returns the next position that isn't white space.
func (s *scanner) skipSpace(at int) int {
	for ; at < len(s.text); at++ {
		switch s.text[at] {
		case ' ', '\t', '\r', '\n':
		default:
			return at
		}
	}
	return at
}

// endsAt reports whether only white space follows.
func (s *scanner) endsAt(at int) bool { return s.skipSpace(at) == len(s.text) }

// closesAt reports whether the rest of the members of the document follows, the one named
// first at once if that isn't empty.
func (s *scanner) closesAt(at int, first string) bool {
	return s.moreMembers(at, func(name string, at int) (end int, ok bool) {
		end, ok = s.value(at)
		ok = ok && (first == "" || name == first)
		first = ""
		return end, ok
	}) && first == ""
}

// visitor reads the value of a member and returns its end.
type visitor func(name string, at int) (end int, ok bool)

// members reads the members of the document, whose first brace is at a position. It returns
// false if they can't be read or if anything follows them.
func (s *scanner) members(at int, visit visitor) bool {
	if !s.is(at, '{') {
		return false
	}
	first := s.skipSpace(at + 1)
	if s.is(first, '}') {
		return s.endsAt(first + 1)
	}
	end, ok := s.member(first, visit)
	return ok && s.moreMembers(end, visit)
}

// moreMembers reads the members that follow another one.
func (s *scanner) moreMembers(at int, visit visitor) bool {
	for {
		at = s.skipSpace(at)
		if !s.is(at, ',') {
			return s.is(at, '}') && s.endsAt(at+1)
		}
		end, ok := s.member(s.skipSpace(at+1), visit)
		if !ok {
			return false
		}
		at = end
	}
}

func (s *scanner) member(at int, visit visitor) (end int, ok bool) {
	end, ok = s.quoted(at)
	var name string
	if !ok || json.Unmarshal(s.text[at:end], &name) != nil {
		return at, false
	}
	if end = s.skipSpace(end); !s.is(end, ':') {
		return at, false
	}
	return visit(name, s.skipSpace(end+1))
}

// listEnd reports whether what may follow the list is at a position. In a broken list, a
// bracket of a broken item may look like the end.
type listEnd func(at int, broken bool) bool

// items reads the items of the list that begins at a position.
func (s *scanner) items(at int, closes listEnd) (list []json.RawMessage, end int, ok bool) {
	if !s.is(at, '[') {
		return nil, at, false
	}
	list = []json.RawMessage{}
	at = s.skipSpace(at + 1)
	if s.is(at, ']') && closes(at+1, false) {
		return list, at + 1, true
	}
	for broken := false; ; {
		end, found := s.item(at, closes, broken)
		if found && len(list) == maxItems {
			return nil, at, false
		}
		if found {
			list = append(list, s.text[at:end])
		} else if end, broken = s.resume(at, closes); !broken {
			return nil, at, false
		}
		end = s.skipSpace(end)
		if s.is(end, ']') {
			return list, end + 1, true
		}
		at = s.skipSpace(end + 1)
	}
}

// item returns the end of the item at a position, if another one or the end of the list follows.
func (s *scanner) item(at int, closes listEnd, broken bool) (end int, ok bool) {
	end, ok = s.value(at)
	next := s.skipSpace(end)
	return end, ok && (s.is(next, ',') || s.is(next, ']') && closes(next+1, broken))
}

// resume returns where a broken item ends: at the comma before the next whole object, or at
// the bracket that ends the list.
func (s *scanner) resume(at int, closes listEnd) (end int, ok bool) {
	for ; at < len(s.text) && s.left > 0; at++ {
		switch s.text[at] {
		case ',':
			next := s.skipSpace(at + 1)
			if !s.is(next, '{') {
				continue
			}
			if _, ok := s.item(next, closes, true); ok {
				return at, true
			}
		case ']':
			if closes(at+1, true) {
				return at, true
			}
		}
	}
	return at, false
}

// value returns the end of the value at a position.
func (s *scanner) value(at int) (end int, ok bool) {
	if s.left <= 0 || s.unclosed.has(at) {
		return at, false
	}
	v := value{scanner: s, at: at}
	ok = v.scan()
	s.left -= v.at - at + 1
	for _, begin := range v.open {
		if s.text[begin] == '{' {
			s.unclosed.add(begin)
		}
	}
	return v.at, ok
}

// quoted returns the end of a string.
func (s *scanner) quoted(at int) (end int, ok bool) {
	if !s.is(at, '"') {
		return at, false
	}
	for at++; at < len(s.text); at++ {
		switch s.text[at] {
		case '"':
			return at + 1, true
		case '\\':
			at++
		}
	}
	return len(s.text), false
}
