package strike

import (
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	requestPrefix = "request/"
	partPrefix    = "part/"
	// maxNameBytes is the length above which the ID of a part is hashed.
	maxNameBytes = 64
	// maxParts bounds the parts of one prompt that are suspected. The first ones
	// are shared by most requests.
	maxParts = 64
)

// RequestCause returns the name of a request as a cause, given its fingerprint.
func RequestCause(fingerprint string) string { return requestPrefix + fingerprint }

// PartCauses returns the names of shared parts of a prompt as causes.
func PartCauses(parts []string) []string {
	parts = parts[max(0, len(parts)-maxParts):]
	list := make([]string, 0, len(parts))
	for _, id := range parts {
		list = append(list, partPrefix+ShortID(id, maxNameBytes))
	}
	return list
}

// ShortID returns an ID that a caller chose, or a hash of it if it is longer than maxBytes
// or if no message can hold it, since it isn't UTF-8.
func ShortID(id string, maxBytes int) string {
	if len(id) <= maxBytes && utf8.ValidString(id) {
		return id
	}
	return strconv.FormatUint(xxhash.Sum64String(id), 16)
}
