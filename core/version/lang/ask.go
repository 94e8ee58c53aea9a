package lang

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// Errors of queries.
var (
	ErrNotAsk     = errors.New("not an ask statement")
	ErrNotExplain = errors.New("not an explain statement")
	ErrNotFound   = errors.New("no such object")
)

// Ask evaluates an ask statement.
func Ask(d Data, s Statement) (proto.Table, error) {
	if s.verb != VerbAsk {
		return proto.Table{}, fmt.Errorf("%s: %w", s.verb, ErrNotAsk)
	}
	src := nounTables[s.noun]
	names := src.names()
	rows := slices.DeleteFunc(src.rows(d), func(row []cell) bool { return !s.matches(names, row) })
	if s.sort != "" {
		sortRows(rows, slices.Index(names, s.sort), s.descending)
	}
	if s.limit != noLimit && len(rows) > s.limit {
		rows = rows[:s.limit]
	}
	if s.count {
		return proto.Table{Columns: []string{"count"}, Rows: [][]string{{strconv.Itoa(len(rows))}}}, nil
	}
	return selectColumns(names, s.show, rows), nil
}

func (s Statement) matches(names []string, row []cell) bool {
	for _, c := range s.where {
		if !row[slices.Index(names, c.column)].matches(c.operator, c.value) {
			return false
		}
	}
	return true
}

// sortRows sorts rows stably by one column.
func sortRows(rows [][]cell, by int, descending bool) {
	slices.SortStableFunc(rows, func(a, b []cell) int {
		if descending {
			a, b = b, a
		}
		return a[by].compare(b[by])
	})
}

// selectColumns returns a table of the columns in show, or of all columns if show
// is empty.
func selectColumns(names, show []string, rows [][]cell) proto.Table {
	if len(show) == 0 {
		show = names
	}
	t := proto.Table{Columns: slices.Clone(show), Rows: make([][]string, len(rows))}
	for i, row := range rows {
		t.Rows[i] = make([]string, len(show))
		for j, name := range show {
			t.Rows[i][j] = row[slices.Index(names, name)].text
		}
	}
	return t
}

// Explain evaluates an explain statement about an engine, order or decision. It
// lists the recorded orders and decisions that concern it.
func Explain(d Data, s Statement) (proto.Table, error) {
	if s.verb != VerbExplain {
		return proto.Table{}, fmt.Errorf("%s: %w", s.verb, ErrNotExplain)
	}
	t := proto.Table{Columns: []string{"about", "key", "value"}}
	key := "number"
	if s.noun == state.NounEngine {
		key = "name"
	}
	if !appendObjects(&t, d, s.noun, key, s.name) {
		return proto.Table{}, fmt.Errorf("%s %s: %w", s.noun, s.name, ErrNotFound)
	}
	if s.noun == state.NounEngine {
		appendObjects(&t, d, state.NounOrder, "engine", s.name)
		appendObjects(&t, d, state.NounDecision, "engine", s.name)
	}
	return t, nil
}

// appendObjects adds each object whose column has the given text to the table, with
// one row per value that is set. It reports whether an object was found.
func appendObjects(t *proto.Table, d Data, noun state.Noun, column, text string) bool {
	src, found := nounTables[noun], false
	if src == nil {
		return false
	}
	names := src.names()
	by := slices.Index(names, column)
	for _, row := range src.rows(d) {
		if row[by].text != text {
			continue
		}
		found = true
		about := string(noun) + " " + row[0].text
		for i, c := range row[1:] {
			if c.text != "" {
				t.Rows = append(t.Rows, []string{about, names[i+1], c.text})
			}
		}
	}
	return found
}
