package items

import "bytes"

// marks end a number or a word.
const marks = " \t\r\n[]{}:,\""

// value is the scan of one value.
type value struct {
	*scanner
	at   int   // position of the scan
	open []int // where the lists and objects begin that aren't closed yet, the innermost last
}

// scan moves to the end of the value. If that can't be found, open isn't empty or nothing
// was read.
func (v *value) scan() bool {
	for v.begin() {
		if ok := v.end(); !ok || len(v.open) == 0 {
			return ok
		}
	}
	return false
}

// begin reads the beginnings of values up to the end of one that holds no other.
func (v *value) begin() bool {
	for {
		v.at = v.skipSpace(v.at)
		switch {
		case v.is(v.at, '[') || v.is(v.at, '{'):
			if len(v.open) == maxDepth {
				return false
			}
			v.open = append(v.open, v.at)
		case v.is(v.at, '"'):
			return v.string()
		default:
			return v.word()
		}
		v.at = v.skipSpace(v.at + 1)
		if v.is(v.at, v.closing()) {
			return true
		}
		if v.closing() == '}' && !v.name() {
			return false
		}
	}
}

// end reads the brackets behind a value, up to where the next one of those that are open
// begins.
func (v *value) end() bool {
	for len(v.open) > 0 {
		v.at = v.skipSpace(v.at)
		switch {
		case v.is(v.at, v.closing()):
			v.open = v.open[:len(v.open)-1]
			v.at++
		case v.is(v.at, ','):
			v.at = v.skipSpace(v.at + 1)
			return v.closing() == ']' || v.name()
		default:
			return false
		}
	}
	return true
}

// closing returns the bracket that closes the innermost list or object.
func (v *value) closing() byte {
	if v.text[v.open[len(v.open)-1]] == '[' {
		return ']'
	}
	return '}'
}

// name reads the name of a member and the colon behind it.
func (v *value) name() bool {
	if !v.string() {
		return false
	}
	v.at = v.skipSpace(v.at) + 1
	return v.is(v.at-1, ':')
}

func (v *value) string() (ok bool) {
	v.at, ok = v.quoted(v.at)
	return ok
}

// word reads a number, or anything else that ends with a mark.
func (v *value) word() bool {
	begin := v.at
	if n := bytes.IndexAny(v.text[begin:], marks); n >= 0 {
		v.at += n
	} else {
		v.at = len(v.text)
	}
	return v.at > begin
}
