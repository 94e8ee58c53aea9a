package stream

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
)

// fields are those of server-sent events.
var fields = []string{"data", "id", "event", "retry"}

// IsStream reports whether a response says that its body is a stream of server-sent events.
func IsStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == ContentType
}

// ValidEvents reports whether whole lines of a stream consist of the fields of events,
// comments and the given other fields. Callers ignore other lines, but no server in order
// sends them: they are another answer, which its connection brought into the stream.
func ValidEvents(lines []byte, others ...string) bool {
	for line := range bytes.FieldsFuncSeq(lines, func(r rune) bool { return r == '\n' || r == '\r' }) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if len(name) > 0 && !slices.Contains(fields, string(name)) && !slices.Contains(others, string(name)) {
			return false
		}
	}
	return true
}
