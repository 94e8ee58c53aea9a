package lang

import (
	"cmp"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// kind is the type of the values in a column.
type kind int

const (
	kindText kind = iota
	kindNumber
	kindDuration
	kindTime
	kindFlag
)

// cell is one value of a table. Numbers, durations and times compare by
// number; texts and flags by text.
type cell struct {
	kind   kind
	text   string
	number int64
}

func textCell[S ~string](s S) cell {
	return cell{kind: kindText, text: string(s)}
}

func numberCell(n uint64) cell {
	return cell{kind: kindNumber, text: strconv.FormatUint(n, 10), number: clamp(n)}
}

func clamp(n uint64) int64 {
	return int64(min(n, math.MaxInt64))
}

func durationCell(d time.Duration) cell {
	return cell{kind: kindDuration, text: d.String(), number: int64(d)}
}

func timeCell(t time.Time) cell {
	if t.IsZero() {
		return cell{kind: kindTime}
	}
	return cell{kind: kindTime, text: t.UTC().Format(time.RFC3339Nano), number: t.UnixNano()}
}

func flagCell(b bool) cell {
	return cell{kind: kindFlag, text: strconv.FormatBool(b)}
}

var (
	errNumber   = errors.New("not a number")
	errDuration = errors.New("not a duration")
	errTime     = errors.New("not a time")
	errFlag     = errors.New("neither true nor false")
)

// read reads a value of the kind as an operator wrote it.
func (k kind) read(text string) (cell, error) {
	switch k {
	case kindNumber:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return cell{}, errNumber
		}
		return numberCell(n), nil
	case kindDuration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return cell{}, errDuration
		}
		return durationCell(d), nil
	case kindTime:
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return cell{}, errTime
		}
		return timeCell(t), nil
	case kindFlag:
		if text != "true" && text != "false" {
			return cell{}, errFlag
		}
		return flagCell(text == "true"), nil
	default:
		return textCell(text), nil
	}
}

// example tells operators how a value of the kind is written.
func (k kind) example() string {
	switch k {
	case kindNumber:
		return "a whole number such as 12"
	case kindDuration:
		return "a duration such as 250ms or 30s"
	case kindTime:
		return "a time such as 2026-01-31T12:00:00Z"
	case kindFlag:
		return "true or false"
	default:
		return "a word or a quoted text"
	}
}

func (c cell) compare(o cell) int {
	if c.kind == kindText || c.kind == kindFlag {
		return strings.Compare(c.text, o.text)
	}
	return cmp.Compare(c.number, o.number)
}

// matches evaluates a condition on the cell.
func (c cell) matches(operator string, o cell) bool {
	if operator == "~" {
		return strings.Contains(c.text, o.text)
	}
	order := c.compare(o)
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	case ">=":
		return order >= 0
	default:
		panic("lang: operator " + operator + " passed the lexer")
	}
}
