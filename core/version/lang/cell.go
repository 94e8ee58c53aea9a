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
	kindBool
)

// cell is one value of a table. Numbers, durations and times are compared as
// numbers, texts and booleans as text.
type cell struct {
	kind   kind
	text   string
	number int64
}

func textCell[S ~string](s S) cell {
	return cell{kind: kindText, text: string(s)}
}

func numberCell(n uint64) cell {
	return cell{kind: kindNumber, text: strconv.FormatUint(n, 10), number: clampToInt64(n)}
}

func clampToInt64(n uint64) int64 {
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

func boolCell(b bool) cell {
	return cell{kind: kindBool, text: strconv.FormatBool(b)}
}

var (
	errNumber   = errors.New("not a number")
	errDuration = errors.New("not a duration")
	errTime     = errors.New("not a time")
	errBool     = errors.New("neither true nor false")
)

// parse parses a value of the kind from an operator's text.
func (k kind) parse(text string) (cell, error) {
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
	case kindBool:
		if text != "true" && text != "false" {
			return cell{}, errBool
		}
		return boolCell(text == "true"), nil
	default:
		return textCell(text), nil
	}
}

// example describes the syntax of a value of the kind for error messages.
func (k kind) example() string {
	switch k {
	case kindNumber:
		return "a whole number such as 12"
	case kindDuration:
		return "a duration such as 250ms or 30s"
	case kindTime:
		return "a time such as 2026-01-31T12:00:00Z"
	case kindBool:
		return "true or false"
	default:
		return "a word or a quoted text"
	}
}

func (c cell) compare(o cell) int {
	if c.kind == kindText || c.kind == kindBool {
		return strings.Compare(c.text, o.text)
	}
	return cmp.Compare(c.number, o.number)
}

// matches reports whether the cell satisfies a condition.
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
