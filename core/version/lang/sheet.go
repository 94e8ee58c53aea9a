package lang

import (
	"strings"
	"time"

	"verbenahaven.example/core/version/state"
)

// Data is what questions are answered from.
type Data struct {
	View      state.View
	Orders    []state.Order
	Decisions []state.Decision
}

// column is a column of a table about objects of type T.
type column[T any] struct {
	name string
	kind kind
	cell func(T) cell
}

// sheet is the table of one noun.
type sheet interface {
	names() []string
	kind(name string) kind
	rows(d Data) [][]cell
}

// table is the sheet of objects of type T.
type table[T any] struct {
	list    func(d Data) []T
	columns []column[T]
}

func (t table[T]) names() []string {
	names := make([]string, len(t.columns))
	for i, c := range t.columns {
		names[i] = c.name
	}
	return names
}

func (t table[T]) kind(name string) kind {
	for _, c := range t.columns {
		if c.name == name {
			return c.kind
		}
	}
	return kindText
}

func (t table[T]) rows(d Data) [][]cell {
	list := t.list(d)
	rows := make([][]cell, len(list))
	for i, o := range list {
		row := make([]cell, len(t.columns))
		for j, c := range t.columns {
			row[j] = c.cell(o)
		}
		rows[i] = row
	}
	return rows
}

func text[T any, S ~string](name string, get func(T) S) column[T] {
	return column[T]{name: name, kind: kindText, cell: func(o T) cell { return textCell(get(o)) }}
}

func number[T any](name string, get func(T) uint64) column[T] {
	return column[T]{name: name, kind: kindNumber, cell: func(o T) cell { return numberCell(get(o)) }}
}

func duration[T any](name string, get func(T) time.Duration) column[T] {
	return column[T]{name: name, kind: kindDuration, cell: func(o T) cell { return durationCell(get(o)) }}
}

func moment[T any](name string, get func(T) time.Time) column[T] {
	return column[T]{name: name, kind: kindTime, cell: func(o T) cell { return timeCell(get(o)) }}
}

func flag[T any](name string, get func(T) bool) column[T] {
	return column[T]{name: name, kind: kindFlag, cell: func(o T) cell { return flagCell(get(o)) }}
}

// list is a column of names, joined by commas.
func list[T any](name string, get func(T) []string) column[T] {
	return text(name, func(o T) string { return strings.Join(get(o), ",") })
}
