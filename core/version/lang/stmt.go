package lang

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"verbenahaven.example/core/version/state"
)

const noLimit = -1

// condition compares a column with a value.
type condition struct {
	column   string
	operator string
	text     string // as given in the statement
	value    cell
}

// Statement is a parsed query or change.
type Statement struct {
	verb   state.Verb
	noun   state.Noun
	name   string
	target string
	fields []state.Field

	where      []condition
	show       []string
	sort       string
	descending bool
	limit      int
	count      bool

	pos lexer.Position
}

// Verb returns what the statement does.
func (s Statement) Verb() state.Verb { return s.verb }

// Noun returns the kind of object that the statement is about.
func (s Statement) Noun() state.Noun { return s.noun }

// Name returns the name of the object; ask statements have none.
func (s Statement) Name() string { return s.name }

// Line returns the line on which the statement starts, starting at 1.
func (s Statement) Line() int { return s.pos.Line }

// Change returns the state change of the statement, or false for a query.
func (s Statement) Change() (state.Change, bool) {
	if s.verb == VerbAsk || s.verb == VerbExplain {
		return state.Change{}, false
	}
	return state.Change{
		Verb:        s.verb,
		Noun:        s.noun,
		Name:        s.name,
		Replacement: s.target,
		Fields:      slices.Clone(s.fields),
	}, true
}

// String returns the canonical form of the statement, which parses to an equal
// statement.
func (s Statement) String() string {
	if s.verb == VerbAsk {
		return s.askString()
	}
	words := []string{string(s.verb), string(s.noun), quoteIfNeeded(s.name)}
	if s.target != "" {
		words = append(words, "with", quoteIfNeeded(s.target))
	}
	for _, f := range s.fields {
		words = append(words, f.Key, quoteIfNeeded(f.Value))
	}
	return strings.Join(words, " ")
}

func (s Statement) askString() string {
	words := []string{string(s.verb), plural(s.noun)}
	for i, c := range s.where {
		keyword := "and"
		if i == 0 {
			keyword = "where"
		}
		words = append(words, keyword, c.column, c.operator, quoteIfNeeded(c.text))
	}
	if len(s.show) > 0 {
		words = append(words, "show", strings.Join(s.show, ", "))
	}
	if s.sort != "" {
		words = append(words, "sort", "by", s.sort)
	}
	if s.descending {
		words = append(words, "desc")
	}
	if s.limit != noLimit {
		words = append(words, "limit", strconv.Itoa(s.limit))
	}
	if s.count {
		words = append(words, "count")
	}
	return strings.Join(words, " ")
}

var bareWord = regexp.MustCompile(`^[^\s;,#"=!<>~]+$`)

// quoteIfNeeded quotes a value unless it can be written as a bare word.
func quoteIfNeeded(text string) string {
	if bareWord.MatchString(text) {
		return text
	}
	return strconv.Quote(text)
}
