package state

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of values that operators write.
const (
	maxName     = 64
	maxText     = 512
	maxDeadline = 24 * time.Hour
	digestBytes = 64 // hex digits of SHA-256
)

// Defaults of services.
const (
	defaultDeadline = 60 * time.Second
	defaultFirst    = 5 * time.Second
)

// checkName refuses names that can't stand in a statement, a URL path or a
// metric.
func checkName(noun Noun, name string) error {
	if name == "" || len(name) > maxName {
		return refuse(CodeInvalid, "%s: a name has 1 to %d characters", noun, maxName)
	}
	for _, r := range name {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_./", r) {
			continue
		}
		return refuse(CodeInvalid, "%s %q: a name has letters, digits and -_./ only", noun, name)
	}
	return nil
}

// reader takes fields one by one and keeps the first error.
type reader struct {
	noun   Noun
	name   string
	fields []Field
	err    error
}

func (r *reader) fail(key, format string, args ...any) {
	if r.err == nil {
		r.err = refuse(CodeInvalid, "%s %s: %s: "+format, append([]any{r.noun, r.name, key}, args...)...)
	}
}

// take removes a field; found is false when it isn't there.
func (r *reader) take(key string) (value string, found bool) {
	for i, f := range r.fields {
		if f.Key != key {
			continue
		}
		r.fields = slices.Delete(slices.Clone(r.fields), i, i+1)
		if _, twice := r.peek(key); twice {
			r.fail(key, "set twice")
		}
		return f.Value, true
	}
	return "", false
}

func (r *reader) peek(key string) (string, bool) {
	for _, f := range r.fields {
		if f.Key == key {
			return f.Value, true
		}
	}
	return "", false
}

// done refuses the fields that nothing took.
func (r *reader) done(allowed string) error {
	if r.err == nil && len(r.fields) > 0 {
		r.fail(r.fields[0].Key, "unknown field; allowed are %s", allowed)
	}
	return r.err
}

// text reads an optional name.
func (r *reader) text(key string, to *string) {
	v, found := r.take(key)
	if !found {
		return
	}
	if len(v) > maxText {
		r.fail(key, "longer than %d characters", maxText)
		return
	}
	*to = v
}

func (r *reader) word(key string, to *string) {
	v, found := r.take(key)
	if !found {
		return
	}
	if v != "" && checkName(r.noun, v) != nil {
		r.fail(key, "%q has other characters than letters, digits and -_./", v)
		return
	}
	*to = v
}

func (r *reader) flag(key string, to *bool) {
	v, found := r.take(key)
	if !found {
		return
	}
	switch v {
	case "true", "yes":
		*to = true
	case "false", "no":
		*to = false
	default:
		r.fail(key, "%q is neither true nor false", v)
	}
}

func (r *reader) count(key string, to *uint64) {
	v, found := r.take(key)
	if !found {
		return
	}
	n, err := strconv.ParseUint(v, 10, 53)
	if err != nil {
		r.fail(key, "%q is no whole number from 0", v)
		return
	}
	*to = n
}

func (r *reader) duration(key string, to *time.Duration) {
	v, found := r.take(key)
	if !found {
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 || d > maxDeadline {
		r.fail(key, "%q is no duration of more than 0s to %s", v, maxDeadline)
		return
	}
	*to = d
}

func (r *reader) address(key string, to *string) {
	v, found := r.take(key)
	if !found {
		return
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || len(v) > maxText {
		r.fail(key, "%q is no http or https URL", v)
		return
	}
	*to = strings.TrimSuffix(v, "/")
}

// choice reads one of a few words.
func choice[T ~string](r *reader, key string, to *T, allowed ...T) {
	v, found := r.take(key)
	if !found {
		return
	}
	if slices.Contains(allowed, T(v)) {
		*to = T(v)
		return
	}
	words := make([]string, 0, len(allowed))
	for _, a := range allowed {
		words = append(words, string(a))
	}
	r.fail(key, "%q is none of %s", v, strings.Join(words, ", "))
}

// need refuses an empty value.
func (r *reader) need(key, value string) {
	if value == "" {
		r.fail(key, "missing")
	}
}
