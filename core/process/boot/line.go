package boot

import (
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

func joinKey(key []string) string {
	return strings.Join(key, ".")
}

// valueError is a decoding error whose text names the settings key instead of
// the Go field.
type valueError struct {
	err *toml.DecodeError
}

var goTypePattern = regexp.MustCompile(`into struct field \S+ of type`)

// Error implements error.
func (w *valueError) Error() string {
	text := strings.TrimPrefix(w.err.Error(), "toml: ")
	text = goTypePattern.ReplaceAllString(text, "into")
	if key := joinKey(w.err.Key()); key != "" {
		return key + ": " + text
	}
	return text
}

// Unwrap returns the cause.
func (w *valueError) Unwrap() error { return w.err }

// keyLine returns the line that sets a dotted key, or the line of the inline
// table that holds it; 1 if the file doesn't set it.
func keyLine(b []byte, key string) int {
	var p unstable.Parser
	p.Reset(b)
	var table []string
	found := 1
	for p.NextExpression() {
		e := p.Expression()
		parts, offset := keyPath(e.Key())
		if e.Kind != unstable.KeyValue {
			table = parts
			continue
		}
		set := joinKey(slices.Concat(table, parts))
		if set == key {
			return lineAt(b, offset)
		}
		if strings.HasPrefix(key, set+".") {
			found = lineAt(b, offset)
		}
	}
	return found
}

// keyPath returns the parts of a key and the offset at which it starts.
func keyPath(i unstable.Iterator) ([]string, int) {
	var parts []string
	offset := -1
	for i.Next() {
		n := i.Node()
		if offset < 0 {
			offset = int(n.Raw.Offset)
		}
		parts = append(parts, string(n.Data))
	}
	return parts, max(offset, 0)
}
