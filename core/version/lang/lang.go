// Package lang implements the operators' query and command language. A text holds
// statements separated by semicolons or newlines: queries of the state (ask,
// explain) and changes to it (declare, assign, drain, withdraw, replace). The
// package parses texts and evaluates queries; it applies no change itself.
package lang

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"verbenahaven.example/core/version/state"
)

// Limits of one text.
const (
	MaxText       = 256 << 10 // bytes
	MaxStatements = 2000
)

// Verbs of queries, which change no state.
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
	endToken    = tokens.Symbols()["End"]
	wordToken   = tokens.Symbols()["Word"]
	elidedTypes = []lexer.TokenType{tokens.Symbols()["Comment"], tokens.Symbols()["Space"]}
)

// Parse parses the statements of a text. A syntax error is an *Error with its
// position; a text beyond the limits gives a plain error.
func Parse(text string) ([]Statement, error) {
	if len(text) > MaxText {
		return nil, fmt.Errorf("text of %d bytes: at most %d are allowed", len(text), MaxText)
	}
	tokenLists, err := splitStatements(text)
	if err != nil {
		return nil, withPosition(text, err, "")
	}
	if len(tokenLists) > MaxStatements {
		return nil, fmt.Errorf("%d statements: at most %d are allowed", len(tokenLists), MaxStatements)
	}
	statements := make([]Statement, 0, len(tokenLists))
	for _, r := range tokenLists {
		s, err := parseStatement(text, r)
		if err != nil {
			return nil, err
		}
		statements = append(statements, s)
	}
	return statements, nil
}

func parseStatement(text string, stmtTokens []lexer.Token) (Statement, error) {
	first := stmtTokens[0]
	grammar, ok := verbGrammars[first.Value]
	if !ok || first.Type != wordToken {
		return Statement{}, newError(text, first.Pos, "unknown verb "+quote(first.Value), verbList())
	}
	peeking, err := lexer.Upgrade(&tokenReplay{tokens: stmtTokens}, elidedTypes...)
	if err != nil {
		return Statement{}, withPosition(text, err, grammar.expectedNext)
	}
	s, err := grammar.parse(peeking)
	if err != nil {
		return Statement{}, withPosition(text, err, grammar.expectedNext)
	}
	s.pos = first.Pos
	return s, nil
}

// splitStatements splits the tokens of a text by statement and drops elided tokens.
// Each statement ends with an end-of-file token, so that its verb's grammar can
// parse it alone.
func splitStatements(text string) ([][]lexer.Token, error) {
	l, err := tokens.LexString("", text)
	if err != nil {
		return nil, fmt.Errorf("read text: %w", err)
	}
	var tokenLists [][]lexer.Token
	var stmtTokens []lexer.Token
	for {
		t, err := l.Next()
		if err != nil {
			return nil, fmt.Errorf("read text: %w", err)
		}
		if t.Type != endToken && !t.EOF() {
			if !isElided(t.Type) {
				stmtTokens = append(stmtTokens, t)
			}
			continue
		}
		if len(stmtTokens) > 0 {
			tokenLists = append(tokenLists, append(stmtTokens, lexer.EOFToken(t.Pos)))
			stmtTokens = nil
		}
		if t.EOF() {
			return tokenLists, nil
		}
	}
}

func isElided(t lexer.TokenType) bool {
	for _, e := range elidedTypes {
		if t == e {
			return true
		}
	}
	return false
}

// tokenReplay is a lexer that returns tokens read earlier.
type tokenReplay struct {
	tokens []lexer.Token
	next   int
}

// Next implements lexer.Lexer.
func (r *tokenReplay) Next() (lexer.Token, error) {
	t := r.tokens[min(r.next, len(r.tokens)-1)]
	r.next++
	return t, nil
}

// verbGrammar is the grammar of one verb. If the parser names no expected token,
// expectedNext says what could have followed.
type verbGrammar struct {
	parse        func(l *lexer.PeekingLexer) (Statement, error)
	expectedNext string
}

// node is a parsed statement of one verb, with the grammar G.
type node[G any] interface {
	*G
	statement() (Statement, error)
}

func newVerbGrammar[G any, N node[G]](expectedNext string) verbGrammar {
	p := participle.MustBuild[G](participle.Lexer(tokens), participle.Elide("Comment", "Space"))
	return verbGrammar{
		expectedNext: expectedNext,
		parse: func(l *lexer.PeekingLexer) (Statement, error) {
			g, err := p.ParseFromLexer(l)
			if err != nil {
				return Statement{}, err //nolint:wrapcheck // withPosition adds the context
			}
			return N(g).statement()
		},
	}
}

// errorAt returns an *Error at a position. Its source line is added later by
// withPosition.
func errorAt(pos lexer.Position, problem, expected string) error {
	return &Error{pos: pos, problem: problem, expected: expected}
}

var errStatement = errors.New("not a single statement")

// ParseOne parses a text that must hold exactly one statement.
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
