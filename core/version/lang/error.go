package lang

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Error is a syntax error in a text, with its position.
type Error struct {
	pos      lexer.Position
	source   string // the line with the error
	problem  string
	expected string
}

// Line returns the line of the error, starting at 1.
func (e *Error) Line() int { return e.pos.Line }

// Column returns the column of the error in characters, starting at 1.
func (e *Error) Column() int { return e.pos.Column }

// Expected describes what could stand at the position.
func (e *Error) Expected() string { return e.expected }

// Error implements error. The first line holds the position and the problem; then
// follow the source line, a caret below the position, and what was expected.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d, column %d: %s", e.pos.Line, e.pos.Column, e.problem)
	if e.source != "" {
		fmt.Fprintf(&b, "\n  %s\n  %s^", e.source, caretIndent(e.source, e.pos.Column-1))
	}
	if e.expected != "" {
		fmt.Fprintf(&b, "\nexpected %s", e.expected)
	}
	return b.String()
}

// caretIndent returns white space as wide as the first n characters of the line. It
// keeps tabs, so that the caret stands below its column.
func caretIndent(line string, n int) string {
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

func newError(text string, pos lexer.Position, problem, expected string) *Error {
	return &Error{pos: pos, source: sourceLine(text, pos.Line), problem: problem, expected: expected}
}

func sourceLine(text string, n int) string {
	lines := strings.Split(text, "\n")
	if n < 1 || n > len(lines) {
		return ""
	}
	return strings.TrimRight(lines[n-1], "\r")
}

// withPosition converts a parser error into an *Error with its source line.
// expectedNext is used if the parser doesn't name what it expected.
func withPosition(text string, err error, expectedNext string) error {
	var known *Error
	if errors.As(err, &known) {
		return newError(text, known.pos, known.problem, known.expected)
	}
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		problem := "unexpected " + quote(unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			problem = "the statement ends too early"
		}
		return newError(text, unexpected.Unexpected.Pos, problem, expectedWords(unexpected, expectedNext))
	}
	var other participle.Error
	if !errors.As(err, &other) {
		return err
	}
	problem := other.Message()
	if strings.Contains(problem, "invalid input text") {
		return newError(text, other.Position(), "unexpected character", "a word, or a quoted text that ends on its line")
	}
	return newError(text, other.Position(), problem, "")
}

// expectations maps the start of the parser's list of expected grammar elements to
// plain words.
var expectations = []struct{ element, words string }{
	{"<operator>", "one of " + operatorList},
	{"NounNode", "a noun such as engine or service"},
	{"Word", "a word"},
	{"Value", "a word or a quoted text"},
	{`"with"`, "with and the name of the successor"},
	{`"by"`, "by and a column"},
}

func expectedWords(u *participle.UnexpectedTokenError, expectedNext string) string {
	_, after, _ := strings.Cut(u.Message(), "(expected ")
	for _, e := range expectations {
		if strings.HasPrefix(after, e.element) {
			return e.words
		}
	}
	return expectedNext
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}
