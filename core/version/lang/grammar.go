package lang

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"

	"verbenahaven.example/core/version/state"
)

const operatorList = "= != < > <= >= ~"

var verbGrammars = map[string]verbGrammar{
	string(VerbAsk):            newVerbGrammar[askNode]("where, and, show, sort by, limit, count or the end of the statement"),
	string(VerbExplain):        newVerbGrammar[nameNode]("the end of the statement"),
	string(state.VerbDeclare):  newVerbGrammar[fieldsNode]("a key with its value or the end of the statement"),
	string(state.VerbAssign):   newVerbGrammar[fieldsNode]("a key with its value or the end of the statement"),
	string(state.VerbDrain):    newVerbGrammar[nameNode]("the end of the statement"),
	string(state.VerbWithdraw): newVerbGrammar[nameNode]("the end of the statement"),
	string(state.VerbReplace):  newVerbGrammar[replaceNode]("the end of the statement"),
}

// word is a bare word with its position.
type word struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// nounNode is a noun with its position.
type nounNode struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// value is a bare word or a quoted text with its position.
type value struct {
	Pos lexer.Position
	Raw string `parser:"@( Word | Text )"`
}

func (v value) text() (string, error) {
	if v.Raw == "" || v.Raw[0] != '"' {
		return v.Raw, nil
	}
	text, err := strconv.Unquote(v.Raw)
	if err != nil {
		return "", errorAt(v.Pos, "bad escape in quoted text", `escapes such as \" \\ \n \t`)
	}
	return text, nil
}

func (v value) name() (string, error) {
	text, err := v.text()
	if err != nil {
		return "", err
	}
	if text == "" {
		return "", errorAt(v.Pos, "empty name", "a name")
	}
	return text, nil
}

type pairNode struct {
	Key    word    `parser:"@@"`
	Values []value `parser:"@@ ( ',' @@ )*"`
}

// text returns the values, separated by commas.
func (p *pairNode) text() (string, error) {
	joined := ""
	for i, v := range p.Values {
		t, err := v.text()
		if err != nil {
			return "", err
		}
		if i > 0 {
			joined += ","
		}
		joined += t
	}
	return joined, nil
}

type fieldsNode struct {
	Verb  string     `parser:"@Word"`
	Noun  nounNode   `parser:"@@"`
	Name  value      `parser:"@@"`
	Pairs []pairNode `parser:"@@*"`
}

func (n *fieldsNode) statement() (Statement, error) {
	s, err := parseNounAndName(n.Verb, n.Noun, n.Name)
	if err != nil {
		return s, err
	}
	allowed := allowedKeys(s.verb, s.noun)
	if len(n.Pairs) == 0 && s.verb == state.VerbAssign {
		return s, errorAt(n.Name.Pos, "assign without a key", oneOf(allowed))
	}
	seen := make(map[string]bool, len(n.Pairs))
	for i := range n.Pairs {
		p := &n.Pairs[i]
		key := p.Key.Text
		if !contains(allowed, key) {
			return s, errorAt(p.Key.Pos, fmt.Sprintf("%s %s has no key %q", s.verb, s.noun, key), oneOf(allowed))
		}
		if seen[key] {
			return s, errorAt(p.Key.Pos, fmt.Sprintf("key %q is given twice", key), "each key once")
		}
		seen[key] = true
		text, err := p.text()
		if err != nil {
			return s, err
		}
		s.fields = append(s.fields, state.Field{Key: key, Value: text})
	}
	return s, nil
}

type nameNode struct {
	Verb string   `parser:"@Word"`
	Noun nounNode `parser:"@@"`
	Name value    `parser:"@@"`
}

func (n *nameNode) statement() (Statement, error) {
	return parseNounAndName(n.Verb, n.Noun, n.Name)
}

type replaceNode struct {
	Verb   string   `parser:"@Word"`
	Noun   nounNode `parser:"@@"`
	Name   value    `parser:"@@"`
	Target value    `parser:"'with' @@"`
}

func (n *replaceNode) statement() (Statement, error) {
	s, err := parseNounAndName(n.Verb, n.Noun, n.Name)
	if err != nil {
		return s, err
	}
	s.target, err = n.Target.name()
	if err != nil {
		return s, err
	}
	if s.target == s.name {
		return s, errorAt(n.Target.Pos, "an object can't replace itself", "another name")
	}
	return s, nil
}

// parseNounAndName returns a statement with its verb, noun and name, the start of
// most statements.
func parseNounAndName(verb string, noun nounNode, name value) (Statement, error) {
	s := Statement{verb: state.Verb(verb)}
	var err error
	if s.noun, err = findNoun(s.verb, noun); err != nil {
		return s, err
	}
	s.name, err = name.name()
	return s, err
}

type whereNode struct {
	Column   word   `parser:"@@"`
	Operator string `parser:"@Operator"`
	Value    value  `parser:"@@"`
}

type clauseNode struct {
	Pos   lexer.Position
	Where []whereNode `parser:"  'where' @@ ( 'and' @@ )*"`
	Show  []word      `parser:"| 'show' @@ ( ',' @@ )*"`
	Sort  *word       `parser:"| 'sort' 'by' @@"`
	Desc  bool        `parser:"  @'desc'?"`
	Limit *word       `parser:"| 'limit' @@"`
	Count bool        `parser:"| @'count'"`
}

type askNode struct {
	Verb    string       `parser:"@Word"`
	Noun    nounNode     `parser:"@@"`
	Clauses []clauseNode `parser:"@@*"`
}

func (n *askNode) statement() (Statement, error) {
	s := Statement{verb: VerbAsk, limit: noLimit}
	var err error
	if s.noun, err = findNoun(s.verb, n.Noun); err != nil {
		return s, err
	}
	seen := make(map[string]bool, len(n.Clauses))
	for i := range n.Clauses {
		c := &n.Clauses[i]
		name, err := c.addTo(&s)
		if err != nil {
			return s, err
		}
		if seen[name] {
			return s, errorAt(c.Pos, "a second "+quote(name), "each clause once")
		}
		seen[name] = true
	}
	return s, nil
}

// addTo adds the clause to the statement and returns the clause's keyword.
func (n *clauseNode) addTo(s *Statement) (string, error) {
	columns := nounTables[s.noun].names()
	switch {
	case len(n.Where) > 0:
		return "where", n.addWhere(s, columns)
	case len(n.Show) > 0:
		return "show", n.addShow(s, columns)
	case n.Sort != nil:
		s.sort, s.descending = n.Sort.Text, n.Desc
		return "sort", n.Sort.checkColumn(s.noun, columns)
	case n.Limit != nil:
		return "limit", n.addLimit(s)
	default:
		s.count = true
		return "count", nil
	}
}

func (n *clauseNode) addWhere(s *Statement, columns []string) error {
	for i := range n.Where {
		c, err := n.Where[i].condition(s.noun, columns)
		if err != nil {
			return err
		}
		s.where = append(s.where, c)
	}
	return nil
}

func (n *clauseNode) addShow(s *Statement, columns []string) error {
	for _, w := range n.Show {
		if err := w.checkColumn(s.noun, columns); err != nil {
			return err
		}
		s.show = append(s.show, w.Text)
	}
	return nil
}

func (n *clauseNode) addLimit(s *Statement) error {
	limit, err := strconv.Atoi(n.Limit.Text)
	if err != nil || limit < 0 {
		return errorAt(n.Limit.Pos, "bad limit "+quote(n.Limit.Text), "a number of rows, 0 or more")
	}
	s.limit = limit
	return nil
}

func (w *whereNode) condition(noun state.Noun, columns []string) (condition, error) {
	c := condition{column: w.Column.Text, operator: w.Operator}
	if err := w.Column.checkColumn(noun, columns); err != nil {
		return c, err
	}
	text, err := w.Value.text()
	if err != nil {
		return c, err
	}
	c.text = text
	kind := nounTables[noun].kind(c.column)
	if c.operator == "~" {
		kind = kindText
	}
	if c.value, err = kind.parse(text); err != nil {
		return c, errorAt(w.Value.Pos, fmt.Sprintf("%s: %v", c.column, err), kind.example())
	}
	return c, nil
}

// checkColumn returns an error unless the word is one of the columns.
func (w *word) checkColumn(noun state.Noun, columns []string) error {
	if contains(columns, w.Text) {
		return nil
	}
	return errorAt(w.Pos, fmt.Sprintf("%s has no column %q", noun, w.Text), oneOf(columns))
}
