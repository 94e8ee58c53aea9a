package boot

import (
	"bytes"
	"errors"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

var errMissingUnit = errors.New(`a number without a unit, want a duration such as "250ms"`)

var durationType = reflect.TypeFor[Duration]()

// findBareDuration returns the key and the line of the first duration that is
// written as a number without a unit, which the decoder would take for
// nanoseconds. The key is empty if there is none.
func findBareDuration(b []byte, settings any) (string, int) {
	var p unstable.Parser
	p.Reset(b)
	root := reflect.TypeOf(settings)
	table := root
	var header []string
	for p.NextExpression() {
		e := p.Expression()
		parts, offset := keyPath(e.Key())
		if e.Kind != unstable.KeyValue {
			header, table = parts, typeAt(root, parts)
			continue
		}
		if key := bareDurationInValue(typeAt(table, parts), e.Value(), parts); key != nil {
			return joinKey(slices.Concat(header, key)), lineAt(b, offset)
		}
	}
	return "", 0
}

// bareDurationInValue returns the key of the first duration without a unit in
// the value of a key, including inline tables and arrays; nil if there is none.
func bareDurationInValue(t reflect.Type, v *unstable.Node, key []string) []string {
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		if t == durationType {
			return key
		}
	case unstable.InlineTable, unstable.Array:
		for i := v.Children(); i.Next(); {
			if found := bareDurationInChild(t, i.Node(), key); found != nil {
				return found
			}
		}
	}
	return nil
}

// bareDurationInChild does the same for a key of an inline table or an element
// of an array.
func bareDurationInChild(t reflect.Type, n *unstable.Node, key []string) []string {
	if n.Kind != unstable.KeyValue {
		return bareDurationInValue(elementType(t), n, key)
	}
	parts, _ := keyPath(n.Key())
	return bareDurationInValue(typeAt(t, parts), n.Value(), slices.Concat(key, parts))
}

// typeAt returns the type of the value at key within t, nil if t has no such
// key.
func typeAt(t reflect.Type, key []string) reflect.Type {
	for _, part := range key {
		t = elementType(t)
		switch {
		case t == nil:
			return nil
		case t.Kind() == reflect.Map:
			t = t.Elem()
		case t.Kind() == reflect.Struct:
			t = fieldType(t, part)
		default:
			return nil
		}
	}
	return t
}

// elementType returns the type that pointers and slices of t refer to.
func elementType(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	return t
}

func fieldType(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		if f := t.Field(i); f.Tag.Get("toml") == name {
			return f.Type
		}
	}
	return nil
}

func lineAt(b []byte, offset int) int {
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}
