package relay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// readRequest reads the body and enforces the limits of the routing table.
func (f *inflightCall) readRequest(r *http.Request, limits state.Limits) *server.Refusal {
	if limits.HeaderBytes > 0 && !f.ofPeer && headerSize(r) > limits.HeaderBytes {
		return &server.Refusal{Kind: server.RefuseHeaderTooLarge, Message: fmt.Sprintf("the header is larger than %d bytes", limits.HeaderBytes)}
	}
	maxBytes := int64(defaultMaxBody)
	if limits.BodyBytes > 0 {
		maxBytes = limits.BodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	timeout := defaultBodyTimeout
	if limits.IdleTimeout > 0 {
		timeout = limits.IdleTimeout
	}
	control := http.NewResponseController(f.w)
	whole := max(timeout, defaultCallTimeout)
	if f.call.TimeLeft > 0 {
		whole = f.call.TimeLeft
	}
	content, err := f.readBody(&bodyReader{
		Reader: http.MaxBytesReader(f.w, r.Body, maxBytes), ctx: r.Context(), control: control, clock: f.clock, idle: timeout, end: f.start.Add(whole),
	}, r.ContentLength, maxBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, body.ErrNoRoom):
		return f.refuseMemory("bodies")
	case errors.As(err, &tooLarge):
		return &server.Refusal{Kind: server.RefuseBodyTooLarge, Message: fmt.Sprintf("the body is larger than %d bytes", maxBytes)}
	case err != nil && wasCut(r.Context()):
		f.meter.Count("leaving", "cut")
		return &server.Refusal{
			Kind: server.RefuseNotExecuted, RetryAfter: f.fleet.ReturnAfterLeaving(), Message: "the instance stopped before the body arrived", Unable: f.ofPeer,
		}
	case err != nil:
		return &server.Refusal{Kind: server.RefuseBadRequest, Message: "the body was cut short"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		f.meter.Count("front", "no_read_deadline")
	}
	f.call.Body = content
	return nil
}

// headerSize returns the least size of a request's head, in bytes: a caller may write it in
// the shortest way.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerFieldOverhead
		}
	}
	return size
}

// hostname returns a host in lower case and without its port.
func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// fingerprint returns a hash of the request that is equal for copies of the same
// request.
func (f *inflightCall) fingerprint() string {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range []string{f.call.Method, f.call.Host, f.call.Target} {
		_, _ = digest.WriteString(text) // never fails
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(f.call.Body)
	return strconv.FormatUint(digest.Sum64(), 16)
}
