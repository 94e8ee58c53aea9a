package httpc

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedNames bounds the names of earlier requests that a connection remembers. A
// copy of a response that arrives after as many others isn't recognized.
const maxCarriedNames = 64

// carried is what a connection has carried before, of which late copies may arrive. A
// server that sends a response twice may do so after the next request was written, so
// that neither the state of the connection nor the order of responses shows it.
type carried struct {
	names   []uint64 // hashes of the names of requests, oldest first
	unnamed bool     // a response may have named no request
	stray   bool     // a response to another request arrived
}

// begin records a request that is about to be written.
func (c *carried) begin(r *Request) {
	if r.Matches == nil {
		c.unnamed = true
	}
	if r.Name == "" {
		return
	}
	if len(c.names) == maxCarriedNames {
		c.names = slices.Delete(c.names, 0, 1)
	}
	c.names = append(c.names, xxhash.Sum64String(r.Name))
}

// allows reports whether no late copy of an earlier response could be taken for that to
// a request.
func (c *carried) allows(r *Request) bool {
	if c.unnamed && r.Unnamed != nil {
		return false
	}
	return r.Name == "" || !slices.Contains(c.names, xxhash.Sum64String(r.Name))
}

// accepts reports whether a response is that to the request, and whether it may be
// although it names none.
func (r *Request) accepts(resp *http.Response) (matches, unnamed bool) {
	if r.Matches == nil || r.Matches(resp) {
		return true, false
	}
	return false, r.Unnamed != nil && r.Unnamed(resp)
}
