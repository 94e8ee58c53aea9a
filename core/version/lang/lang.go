// Package lang is the operators' query and command language. A text holds
// statements, separated by semicolons or line ends: questions about the state
// (ask, explain) and changes to it (declare, assign, drain, withdraw, replace).
// The package parses texts and answers questions; it changes nothing itself.
package lang

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"verbenahaven.example/core/version/state"
)

// Bounds of one text.
const (
	MaxText       = 256 << 10 // bytes
	MaxStatements = 2000
)

// Verbs that change nothing.
const (
	VerbAsk     state.Verb = "ask"
	VerbExplain state.Verb = "explain"
)

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `[ \t\r]+`},
	{Name: "End", Pattern: `[;\n]`},
	{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s;,#"=!<>~]+`},
})

var (
	endToken  = tokens.Symbols()["End"]
	wordToken = tokens.Symbols()["Word"]
	elided    = []lexer.TokenType{tokens.Symbols()["Comment"], tokens.Symbols()["Space"]}
)

// Parse reads the statements of a text. An error is an *Error with the place
// at fault.
func Parse(text string) ([]Statement, error) {
	if len(text) > MaxText {
		return nil, fmt.Errorf("text of %d bytes: at most %d are allowed", len(text), MaxText)
	}
	runs, err := split(text)
	if err != nil {
		return nil, place(text, err, "")
	}
	if len(runs) > MaxStatements {
		return nil, fmt.Errorf("%d statements: at most %d are allowed", len(runs), MaxStatements)
	}
	statements := make([]Statement, 0, len(runs))
	for _, r := range runs {
		s, err := parse(text, r)
		if err != nil {
			return nil, err
		}
		statements = append(statements, s)
	}
	return statements, nil
}

func parse(text string, run []lexer.Token) (Statement, error) {
	first := run[0]
	rule, ok := rules[first.Value]
	if !ok || first.Type != wordToken {
		return Statement{}, fault(text, first.Pos, "unknown verb "+quote(first.Value), verbList())
	}
	peeking, err := lexer.Upgrade(&replay{tokens: run}, elided...)
	if err != nil {
		return Statement{}, place(text, err, rule.rest)
	}
	s, err := rule.parse(peeking)
	if err != nil {
		return Statement{}, place(text, err, rule.rest)
	}
	s.pos = first.Pos
	return s, nil
}

// split cuts the tokens of a text into the runs of its statements. Each run
// ends with an end-of-file token, so that the grammar of one verb reads it.
func split(text string) ([][]lexer.Token, error) {
	l, err := tokens.LexString("", text)
	if err != nil {
		return nil, fmt.Errorf("read text: %w", err)
	}
	var runs [][]lexer.Token
	var run []lexer.Token
	for {
		t, err := l.Next()
		if err != nil {
			return nil, fmt.Errorf("read text: %w", err)
		}
		if t.Type != endToken && !t.EOF() {
			if !isElided(t.Type) {
				run = append(run, t)
			}
			continue
		}
		if len(run) > 0 {
			runs = append(runs, append(run, lexer.EOFToken(t.Pos)))
			run = nil
		}
		if t.EOF() {
			return runs, nil
		}
	}
}

func isElided(t lexer.TokenType) bool {
	for _, e := range elided {
		if t == e {
			return true
		}
	}
	return false
}

// replay is a lexer over tokens that were read before.
type replay struct {
	tokens []lexer.Token
	next   int
}

// Next implements lexer.Lexer.
func (r *replay) Next() (lexer.Token, error) {
	t := r.tokens[min(r.next, len(r.tokens)-1)]
	r.next++
	return t, nil
}

// rule is the grammar of one verb. Its rest is what may follow a statement
// that was read in part.
type rule struct {
	parse func(l *lexer.PeekingLexer) (Statement, error)
	rest  string
}

// node is a parsed statement of one verb, of the form G.
type node[G any] interface {
	*G
	statement() (Statement, error)
}

func grammar[G any, N node[G]](rest string) rule {
	p := participle.MustBuild[G](participle.Lexer(tokens), participle.Elide("Comment", "Space"))
	return rule{
		rest: rest,
		parse: func(l *lexer.PeekingLexer) (Statement, error) {
			g, err := p.ParseFromLexer(l)
			if err != nil {
				return Statement{}, err //nolint:wrapcheck // place adds the context
			}
			return N(g).statement()
		},
	}
}

// at marks err with a place unless it has one.
func at(pos lexer.Position, found, expected string) error {
	return &Error{pos: pos, found: found, expected: expected}
}

var errStatement = errors.New("not a single statement")

// ParseOne reads a text of exactly one statement.
func ParseOne(text string) (Statement, error) {
	list, err := Parse(text)
	if err != nil {
		return Statement{}, err
	}
	if len(list) != 1 {
		return Statement{}, fmt.Errorf("%d statements: %w", len(list), errStatement)
	}
	return list[0], nil
}
