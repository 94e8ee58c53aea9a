package boot

import (
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

func dotted(key []string) string {
	return strings.Join(key, ".")
}

// wrongValue is an error of the decoder in the words of a settings file.
type wrongValue struct {
	err *toml.DecodeError
}

var goType = regexp.MustCompile(`into struct field \S+ of type`)

// Error implements error.
func (w *wrongValue) Error() string {
	text := strings.TrimPrefix(w.err.Error(), "toml: ")
	text = goType.ReplaceAllString(text, "into")
	if key := dotted(w.err.Key()); key != "" {
		return key + ": " + text
	}
	return text
}

// Unwrap returns the cause.
func (w *wrongValue) Unwrap() error { return w.err }

// line finds the line that sets a dotted key, or the inline table that holds
// it; 1 if the file leaves it out.
func line(b []byte, key string) int {
	var p unstable.Parser
	p.Reset(b)
	var table []string
	best := 1
	for p.NextExpression() {
		e := p.Expression()
		parts, offset := path(e.Key())
		if e.Kind != unstable.KeyValue {
			table = parts
			continue
		}
		set := dotted(slices.Concat(table, parts))
		if set == key {
			return row(b, offset)
		}
		if strings.HasPrefix(key, set+".") {
			best = row(b, offset)
		}
	}
	return best
}

// path returns the parts of a key and where it starts.
func path(i unstable.Iterator) ([]string, int) {
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
