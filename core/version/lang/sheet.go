package lang

import (
	"strings"
	"time"

	"verbenahaven.example/core/version/state"
)

// Data is the state that queries are evaluated on.
type Data struct {
	View      state.View
	Orders    []state.Order
	Decisions []state.Decision
}

// column is a column in a table of objects of type T.
type column[T any] struct {
	name string
	kind kind
	cell func(T) cell
}

// nounTable is the table of all objects of one noun.
type nounTable interface {
	names() []string
	kind(name string) kind
	rows(d Data) [][]cell
}

// typedTable is the nounTable of objects of type T.
type typedTable[T any] struct {
	list    func(d Data) []T
	columns []column[T]
}

func (t typedTable[T]) names() []string {
	names := make([]string, len(t.columns))
	for i, c := range t.columns {
		names[i] = c.name
	}
	return names
}

func (t typedTable[T]) kind(name string) kind {
	for _, c := range t.columns {
		if c.name == name {
			return c.kind
		}
	}
	return kindText
}

func (t typedTable[T]) rows(d Data) [][]cell {
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

func textColumn[T any, S ~string](name string, get func(T) S) column[T] {
	return column[T]{name: name, kind: kindText, cell: func(o T) cell { return textCell(get(o)) }}
}

func numberColumn[T any](name string, get func(T) uint64) column[T] {
	return column[T]{name: name, kind: kindNumber, cell: func(o T) cell { return numberCell(get(o)) }}
}

func durationColumn[T any](name string, get func(T) time.Duration) column[T] {
	return column[T]{name: name, kind: kindDuration, cell: func(o T) cell { return durationCell(get(o)) }}
}

func timeColumn[T any](name string, get func(T) time.Time) column[T] {
	return column[T]{name: name, kind: kindTime, cell: func(o T) cell { return timeCell(get(o)) }}
}

func boolColumn[T any](name string, get func(T) bool) column[T] {
	return column[T]{name: name, kind: kindBool, cell: func(o T) cell { return boolCell(get(o)) }}
}

// listColumn returns a text column of names, separated by commas.
func listColumn[T any](name string, get func(T) []string) column[T] {
	return textColumn(name, func(o T) string { return strings.Join(get(o), ",") })
}
