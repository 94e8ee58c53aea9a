package boot

import (
	"bytes"
	"strings"
)

func dotted(key []string) string {
	return strings.Join(key, ".")
}

// line finds the line that sets a dotted key, 1 if the file leaves it out.
func line(b []byte, key string) int {
	table, name := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		table, name = key[:i], key[i+1:]
	}
	current := ""
	for i, raw := range bytes.Split(b, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		if strings.HasPrefix(text, "[") {
			current = strings.Trim(strings.SplitN(text, "#", 2)[0], "[] \t")
			continue
		}
		set, _, found := strings.Cut(text, "=")
		if found && current == table && strings.TrimSpace(set) == name {
			return i + 1
		}
	}
	return 1
}
