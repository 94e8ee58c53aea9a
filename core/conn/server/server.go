// Package server defines the codec between the reverse proxy of entry instances
// and backend servers whose requests are opaque. The proxy chooses the backend
// server and relays its response, whatever it is.
package server

import (
	"net/http"
	"net/url"
	"time"

	"verbenahaven.example/core/conn/kept"
)

// Call is one request of a caller.
type Call struct {
	ID     string // unique per request
	Method string
	Target string // path and query, exactly as sent by the caller
	Path   string
	Host   string
	Header http.Header // header fields to forward
	Body   []byte
	Left   time.Duration // time left until the caller's deadline, 0 for none
	After  string        // ID of the last event that the caller received
	Prompt *Prompt       // nil if the request has no prompt
}

// Prompt describes the size of a generation request.
type Prompt struct {
	Model  string
	Tokens int // prompt length
	Output int // maximum output length, in tokens
	Guess  int // caller's estimate of the output length, in tokens; 0 if absent
	Parts  []Part
}

// Part is a segment of a prompt that several requests may share, so its KV
// cache can be reused.
type Part struct {
	ID     string
	Tokens int
}

// Send is one attempt of a call at a backend server.
type Send struct {
	Call     *Call
	Engine   string        // expected identity of the server; another one at its address refuses the request
	Left     time.Duration // time left for the attempt, 0 for no deadline
	Prefill  bool          // only run prefill and keep the KV cache
	Source   string        // address of the engine that holds the KV cache of Handle
	Handle   string
	Fetch    string // address of an engine that may hold KV cache of parts of the prompt
	After    string // resume after this event
	Priority int    // 0 (most urgent) to 9; negative if unset
}

// Answer is what the status and header of a backend server's response say.
type Answer struct {
	NotRun bool // the server states that it didn't execute the request
	Moved  bool // another server uses the address now
	Signed bool // the server itself produced the response
}

// Prefilled is the result of a prefill.
type Prefilled struct {
	Handle string
	Tokens int
}

// Codec translates between the product's types and the HTTP protocol of callers
// and backend servers.
type Codec interface {
	// Read decodes a caller's request without its body.
	Read(r *http.Request) (*Call, error)
	// Encode returns the request to a backend server.
	Encode(s *Send) *kept.Request
	// Judge interprets the status and header of a response.
	Judge(a *http.Response) Answer
	// Prefilled decodes the response to a prefill.
	Prefilled(body []byte) (Prefilled, error)
	// Release returns the request that frees the KV cache of a handle.
	Release(address, handle string) *kept.Request
	// Pass copies the header of a server's response to the caller's response.
	Pass(to http.Header, a *http.Response)
	// Refuse writes the response to a call that the system itself ends.
	Refuse(w http.ResponseWriter, r Refusal)
}

// Refusal is an error response produced by the system, not by a backend server.
type Refusal struct {
	Kind  RefusalKind
	Retry time.Duration // when the caller should retry, 0 for unspecified
	Text  string
}

// RefusalKind says why a call is refused and whether it may have run.
type RefusalKind string

// Kinds of refusal.
const (
	RefuseNotRun  RefusalKind = "not_run" // the call hasn't run and never will
	RefuseUnknown RefusalKind = "unknown" // the call may have run
	RefuseLate    RefusalKind = "late"    // the call may have run, and its deadline has passed
	RefuseRoute   RefusalKind = "no_route"
	RefuseBad     RefusalKind = "bad_request"
	RefuseHeader  RefusalKind = "header_too_large"
	RefuseBody    RefusalKind = "body_too_large"
)

// Address returns the host and port of a backend server's URL, or raw itself if
// it isn't a URL with a host.
func Address(raw string) string {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" {
		return raw
	}
	return u.Host
}
