package state

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of values in operators' statements. Lengths are in bytes.
const (
	maxNameLen   = 64
	maxTextLen   = 512
	maxDeadline  = 24 * time.Hour
	digestHexLen = 64 // SHA-256 in hex
)

// Defaults of a declared service.
const (
	defaultDeadline   = 60 * time.Second
	defaultFirstToken = 5 * time.Second
)

// checkName refuses names that can't be used in a statement, a URL path or a
// metric.
func checkName(noun Noun, name string) error {
	if name == "" || len(name) > maxNameLen {
		return refuse(CodeInvalid, "%s: a name has 1 to %d characters", noun, maxNameLen)
	}
	for _, r := range name {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./", r) {
			continue
		}
		return refuse(CodeInvalid, "%s %q: a name has letters, digits and -_./ only", noun, name)
	}
	return nil
}

// fieldParser reads the fields of one change and keeps the first error. A field
// that was read is removed from the list, so that finish finds unknown ones.
type fieldParser struct {
	noun   Noun
	name   string
	fields []Field
	err    error
}

// fail records an error at a field, unless an earlier one is recorded.
func (p *fieldParser) fail(key, format string, args ...any) {
	if p.err == nil {
		p.err = refuse(CodeInvalid, "%s %s: %s: "+format, append([]any{p.noun, p.name, key}, args...)...)
	}
}

// takeField removes a field from the list and returns its value; found is false
// if the field is missing. A field that is given twice is an error.
func (p *fieldParser) takeField(key string) (value string, found bool) {
	for i, f := range p.fields {
		if f.Key != key {
			continue
		}
		p.fields = slices.Delete(slices.Clone(p.fields), i, i+1)
		if _, twice := p.lookup(key); twice {
			p.fail(key, "set twice")
		}
		return f.Value, true
	}
	return "", false
}

func (p *fieldParser) lookup(key string) (string, bool) {
	for _, f := range p.fields {
		if f.Key == key {
			return f.Value, true
		}
	}
	return "", false
}

// finish returns the first error. A field that was not read is an error, too;
// allowed lists the known keys for its text.
func (p *fieldParser) finish(allowed string) error {
	if p.err == nil && len(p.fields) > 0 {
		p.fail(p.fields[0].Key, "unknown field; allowed are %s", allowed)
	}
	return p.err
}

// freeText reads an optional text of any characters.
func (p *fieldParser) freeText(key string, dest *string) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	if len(v) > maxTextLen {
		p.fail(key, "longer than %d characters", maxTextLen)
		return
	}
	*dest = v
}

// identifier reads an optional text with the characters of a name.
func (p *fieldParser) identifier(key string, dest *string) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	if v != "" && checkName(p.noun, v) != nil {
		p.fail(key, "%q has other characters than letters, digits and -_./", v)
		return
	}
	*dest = v
}

func (p *fieldParser) boolean(key string, dest *bool) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	switch v {
	case "true", "yes":
		*dest = true
	case "false", "no":
		*dest = false
	default:
		p.fail(key, "%q is neither true nor false", v)
	}
}

func (p *fieldParser) wholeNumber(key string, dest *uint64) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	n, err := strconv.ParseUint(v, 10, 53)
	if err != nil {
		p.fail(key, "%q is no whole number from 0", v)
		return
	}
	*dest = n
}

func (p *fieldParser) duration(key string, dest *time.Duration) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxDeadline {
		p.fail(key, "%q is no duration of more than 0s to %s", v, maxDeadline)
		return
	}
	*dest = d
}

// httpURL reads an optional URL and drops a slash at its end.
func (p *fieldParser) httpURL(key string, dest *string) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || len(v) > maxTextLen {
		p.fail(key, "%q is no http or https URL", v)
		return
	}
	*dest = strings.TrimSuffix(v, "/")
}

// oneOf reads an optional field with one of the allowed values.
func oneOf[T ~string](p *fieldParser, key string, dest *T, allowed ...T) {
	v, found := p.takeField(key)
	if !found {
		return
	}
	if slices.Contains(allowed, T(v)) {
		*dest = T(v)
		return
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	p.fail(key, "%q is none of %s", v, strings.Join(names, ", "))
}

// require makes an empty value an error.
func (p *fieldParser) require(key, value string) {
	if value == "" {
		p.fail(key, "missing")
	}
}
