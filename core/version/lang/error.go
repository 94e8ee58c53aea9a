package lang

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Error is a fault in a text, with its place.
type Error struct {
	pos      lexer.Position
	source   string // the line at fault
	found    string
	expected string
}

// Line is the line of the fault, from 1.
func (e *Error) Line() int { return e.pos.Line }

// Column is the column of the fault in characters, from 1.
func (e *Error) Column() int { return e.pos.Column }

// Expected tells what could stand at the place.
func (e *Error) Expected() string { return e.expected }

// Error implements error: the place and fault on the first line, then the
// text with a caret below the place, then what was expected.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d, column %d: %s", e.pos.Line, e.pos.Column, e.found)
	if e.source != "" {
		fmt.Fprintf(&b, "\n  %s\n  %s^", e.source, indent(e.source, e.pos.Column-1))
	}
	if e.expected != "" {
		fmt.Fprintf(&b, "\nexpected %s", e.expected)
	}
	return b.String()
}

// indent is as wide as the first n characters of the line; tabs stay tabs so
// that the caret stands below its place.
func indent(line string, n int) string {
	var b strings.Builder
	for _, r := range line {
		if n <= 0 {
			break
		}
		if r != '\t' {
			r = ' '
		}
		b.WriteRune(r)
		n--
	}
	return b.String()
}

func fault(text string, pos lexer.Position, found, expected string) *Error {
	return &Error{pos: pos, source: sourceLine(text, pos.Line), found: found, expected: expected}
}

func sourceLine(text string, n int) string {
	lines := strings.Split(text, "\n")
	if n < 1 || n > len(lines) {
		return ""
	}
	return strings.TrimRight(lines[n-1], "\r")
}

// place turns an error of the parser into an *Error. The rest names what may
// follow when the parser itself has no expectation.
func place(text string, err error, rest string) error {
	var own *Error
	if errors.As(err, &own) {
		return fault(text, own.pos, own.found, own.expected)
	}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		found := "unexpected " + quote(unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			found = "the statement ends too early"
		}
		return fault(text, unexpected.Unexpected.Pos, found, expectation(unexpected, rest))
	}
	var other participle.Error
	if !errors.As(err, &other) {
		return err
	}
	found := other.Message()
	if strings.Contains(found, "invalid input text") {
		return fault(text, other.Position(), "unexpected character", "a word, or a quoted text that ends on its line")
	}
	return fault(text, other.Position(), found, "")
}

// expectations put the first element of the grammar that the parser expected
// into plain words.
var expectations = []struct{ element, words string }{
	{"<operator>", "one of " + operatorList},
	{"NounNode", "a noun such as engine or service"},
	{"Word", "a word"},
	{"Value", "a word or a quoted text"},
	{`"with"`, "with and the name of the successor"},
	{`"by"`, "by and a column"},
}

func expectation(u *participle.UnexpectedTokenError, rest string) string {
	_, after, _ := strings.Cut(u.Message(), "(expected ")
	for _, e := range expectations {
		if strings.HasPrefix(after, e.element) {
			return e.words
		}
	}
	return rest
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}
