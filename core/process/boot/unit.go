package boot

import (
	"bytes"
	"errors"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

var errUnit = errors.New(`a number without a unit, want a duration such as "250ms"`)

var durationType = reflect.TypeFor[Duration]()

// bareDuration finds the first duration that is written as a plain number: the
// decoder would take it for nanoseconds. It returns the key and its line.
func bareDuration(b []byte, settings any) (string, int) {
	var p unstable.Parser
	p.Reset(b)
	whole := reflect.TypeOf(settings)
	table := whole
	var header []string
	for p.NextExpression() {
		e := p.Expression()
		parts, offset := path(e.Key())
		if e.Kind != unstable.KeyValue {
			header, table = parts, typeAt(whole, parts)
			continue
		}
		if key := bareIn(typeAt(table, parts), e.Value(), parts); key != nil {
			return dotted(slices.Concat(header, key)), row(b, offset)
		}
	}
	return "", 0
}

// bareIn looks into the value of one key, inline tables and arrays included.
func bareIn(t reflect.Type, v *unstable.Node, key []string) []string {
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		if t == durationType {
			return key
		}
	case unstable.InlineTable, unstable.Array:
		for i := v.Children(); i.Next(); {
			if found := bareInside(t, i.Node(), key); found != nil {
				return found
			}
		}
	}
	return nil
}

// bareInside looks into one key of an inline table or one element of an array.
func bareInside(t reflect.Type, n *unstable.Node, key []string) []string {
	if n.Kind != unstable.KeyValue {
		return bareIn(element(t), n, key)
	}
	parts, _ := path(n.Key())
	return bareIn(typeAt(t, parts), n.Value(), slices.Concat(key, parts))
}

// typeAt follows a key into a type; nil if it leads nowhere.
func typeAt(t reflect.Type, key []string) reflect.Type {
	for _, part := range key {
		t = element(t)
		switch {
		case t == nil:
			return nil
		case t.Kind() == reflect.Map:
			t = t.Elem()
		case t.Kind() == reflect.Struct:
			t = field(t, part)
		default:
			return nil
		}
	}
	return t
}

// element is the type that pointers and slices lead to.
func element(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	return t
}

func field(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("toml") == name {
			return f.Type
		}
	}
	return nil
}

func row(b []byte, offset int) int {
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}
