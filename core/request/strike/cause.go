package strike

import (
	"strconv"

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
		if len(id) > maxNameBytes {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		list = append(list, partPrefix+id)
	}
	return list
}
