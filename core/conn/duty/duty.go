// Package duty defines the calls to the platform that one instance makes on behalf of
// all: reports of usage and orders of engines.
package duty

// Result is the platform's answer to a call.
type Result uint8

// Results of a call.
const (
	Accepted Result = iota + 1
	Refused         // none are available, or a higher fencing token was seen
	Retry           // over the rate, or the platform failed
	Fenced          // the answer names a higher fencing token
)

// Usage is the usage of one window, by client account.
type Usage struct {
	Window int64
	Counts map[string]uint64
}

// Target is the number of engines of one kind that a pool shall have in a data centre.
type Target struct {
	Pool        string
	Centre      string
	Engines     int
	Reclaimable bool
}
