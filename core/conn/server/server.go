// Package server defines the codec between the reverse proxy of entry instances
// and backend servers whose requests are opaque. The proxy chooses the backend
// server and relays its response, whatever it is.
package server

import (
	"net/http"
	"net/url"
	"time"

	"verbenahaven.example/core/conn/httpc"
)

// Call is one request of a caller.
type Call struct {
	ID          string // unique per request
	Method      string
	Target      string // path and query, exactly as sent by the caller
	Path        string
	Host        string
	Header      http.Header // header fields to forward
	Key         Key         // of the caller's account; empty if there is none or KeyRepeated is set
	KeyRepeated bool        // the caller sent more than one key
	Account     string      // name of the account that Key belongs to, set by the proxy; empty for none
	Body        []byte
	TimeLeft    time.Duration // time left until the caller's deadline, 0 for none
	LastEventID string        // ID of the last event that the caller received
	Resumes     string        // ID of the caller's request that brought the first event of a stream that this one continues
	Prompt      *Prompt       // nil if the request has no prompt
	State       uint64        // state version under which another instance accepted the call; 0 for a caller's own request
}

// Prompt describes the size of a generation request.
type Prompt struct {
	Model      string
	Tokens     int // prompt length
	MaxOutput  int // maximum output length, in tokens
	OutputHint int // caller's estimate of the output length, in tokens; 0 if absent
	Parts      []Part
}

// Part is a segment of a prompt that several requests may share, so its KV
// cache can be reused.
type Part struct {
	ID     string
	Tokens int
}

// Request is one attempt of a call at a backend server.
type Request struct {
	Call         *Call
	ServerID     string        // expected identity of the server; another one at its address refuses the request
	TimeLeft     time.Duration // time left for the attempt, 0 for no deadline
	PrefillOnly  bool          // only run prefill and keep the KV cache
	KVSource     string        // address of the engine that holds the KV cache of KVHandle
	KVHandle     string
	PrefixSource string // address of an engine that may hold KV cache of parts of the prompt
	LastEventID  string // resume after this event
	Priority     int    // 0 (most urgent) to 9; negative if unset
}

// ResponseHead is what the status and header of a backend server's response say.
type ResponseHead struct {
	NotExecuted bool          // the server states that it didn't execute the request
	Misdirected bool          // another server uses the address now
	Signed      bool          // the server itself produced the response
	Limited     bool          // the server names the requests that it takes
	Limit       float64       // requests a second from all instances together, if Limited
	Unable      bool          // the answer is an entry instance's refusal that is Unable
	UnknownKey  bool          // and one of UnknownKey
	Leaving     bool          // the server is leaving
	RetryAfter  time.Duration // with a refusal: the server wants no request from this machine for so long
}

// PrefillResult is the result of a prefill.
type PrefillResult struct {
	KVHandle string
	Tokens   int
}

// Codec translates between the product's types and the HTTP protocol of callers
// and backend servers.
type Codec interface {
	// DecodeCall decodes a caller's request without its body.
	DecodeCall(r *http.Request) (*Call, error)
	// EncodeRequest returns the request to a backend server, with the name of the
	// call's account but without its key.
	EncodeRequest(s *Request) *httpc.Request
	// EncodeCall returns the call as its caller sent it, key included, to another
	// entry instance, with the time that is left for it and the state version under which
	// it was accepted.
	EncodeCall(c *Call, timeLeft time.Duration, accepted uint64) *httpc.Request
	// EncodeProbe returns a request that a backend server answers at once. healthPath
	// is that of its pool, or empty for an engine. Another server at its address refuses
	// the request.
	EncodeProbe(serverID, address, healthPath string) *httpc.Request
	// ParseHead interprets the status and header of a response.
	ParseHead(a *http.Response) ResponseHead
	// EventFields returns the fields of servers' events that the format doesn't have.
	EventFields() []string
	// DecodePrefill decodes the response to a prefill.
	DecodePrefill(body []byte) (PrefillResult, error)
	// EncodeRelease returns the request that frees the KV cache of a handle at the engine
	// that made it. Another server at its address refuses the request.
	EncodeRelease(serverID, address, handle string) *httpc.Request
	// CopyHeader copies the header of a server's response to the caller's response,
	// without what only entry instances tell each other.
	CopyHeader(to http.Header, a *http.Response)
	// WriteRefusal writes the response to a call that the system itself ends.
	WriteRefusal(w http.ResponseWriter, r Refusal)
}

// Refusal is an error response produced by the system, not by a backend server.
type Refusal struct {
	Kind       RefusalKind
	RetryAfter time.Duration // when the caller should retry, 0 for unspecified
	Message    string
	Unable     bool // to another instance: this one can't run any call now, a third may
	UnknownKey bool // to another instance, with Unable: that is so for calls with this key only
}

// RefusalKind says why a call is refused and whether it may have run.
type RefusalKind string

// Kinds of refusal.
const (
	RefuseNotExecuted    RefusalKind = "not_run" // the call hasn't run and never will
	RefuseOutcomeUnknown RefusalKind = "unknown" // the call may have run
	RefuseDeadline       RefusalKind = "late"    // the call may have run, and its deadline has passed
	RefuseNoRoute        RefusalKind = "no_route"
	RefuseUnauthorized   RefusalKind = "unauthorized" // no key of a known account
	RefuseBadRequest     RefusalKind = "bad_request"
	RefuseHeaderTooLarge RefusalKind = "header_too_large"
	RefuseBodyTooLarge   RefusalKind = "body_too_large"
)

// HostPort returns the host and port of a backend server's URL, or raw itself if
// it isn't a URL with a host.
func HostPort(raw string) string {
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" {
		return raw
	}
	return u.Host
}
