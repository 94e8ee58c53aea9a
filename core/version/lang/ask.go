package lang

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// Failures of evaluation.
var (
	ErrNotAsk     = errors.New("not an ask statement")
	ErrNotExplain = errors.New("not an explain statement")
	ErrNotFound   = errors.New("no such object")
)

// Ask answers an ask statement.
func Ask(d Data, s Statement) (proto.Table, error) {
	if s.verb != VerbAsk {
		return proto.Table{}, fmt.Errorf("%s: %w", s.verb, ErrNotAsk)
	}
	sh := sheets[s.noun]
	names := sh.names()
	rows := slices.DeleteFunc(sh.rows(d), func(row []cell) bool { return !s.selects(names, row) })
	if s.sort != "" {
		order(rows, slices.Index(names, s.sort), s.descending)
	}
	if s.limit != noLimit && len(rows) > s.limit {
		rows = rows[:s.limit]
	}
	if s.count {
		return proto.Table{Columns: []string{"count"}, Rows: [][]string{{strconv.Itoa(len(rows))}}}, nil
	}
	return project(names, s.show, rows), nil
}

func (s Statement) selects(names []string, row []cell) bool {
	for _, c := range s.where {
		if !row[slices.Index(names, c.column)].matches(c.operator, c.value) {
			return false
		}
	}
	return true
}

// order sorts rows by one column; rows that are equal in it keep their order.
func order(rows [][]cell, by int, descending bool) {
	slices.SortStableFunc(rows, func(a, b []cell) int {
		if descending {
			a, b = b, a
		}
		return a[by].compare(b[by])
	})
}

// project keeps the columns to show, all if none are named.
func project(names, show []string, rows [][]cell) proto.Table {
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

// Explain answers an explain statement about an engine, order or decision from
// the recorded orders and decisions.
func Explain(d Data, s Statement) (proto.Table, error) {
	if s.verb != VerbExplain {
		return proto.Table{}, fmt.Errorf("%s: %w", s.verb, ErrNotExplain)
	}
	t := proto.Table{Columns: []string{"about", "key", "value"}}
	key := "number"
	if s.noun == state.NounEngine {
		key = "name"
	}
	if !describe(&t, d, s.noun, key, s.name) {
		return proto.Table{}, fmt.Errorf("%s %s: %w", s.noun, s.name, ErrNotFound)
	}
	if s.noun == state.NounEngine {
		describe(&t, d, state.NounOrder, "engine", s.name)
		describe(&t, d, state.NounDecision, "engine", s.name)
	}
	return t, nil
}

// describe adds each object whose column has the given text, a line for each
// of its values that is set.
func describe(t *proto.Table, d Data, noun state.Noun, column, text string) bool {
	sh, found := sheets[noun], false
	if sh == nil {
		return false
	}
	names := sh.names()
	by := slices.Index(names, column)
	for _, row := range sh.rows(d) {
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
