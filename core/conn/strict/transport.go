package strict

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is a transport that reads answers from Conns. Answers over TLS aren't checked.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, and connects as t does.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return NewConn(c), nil
	}
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var gotConn atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*Conn); ok {
			_ = c.BeginAnswer(nil) // fails for buffered bytes only
			gotConn.Store(c)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if c := gotConn.Load(); err != nil && c != nil {
		err = c.Cause(err)
	}
	return resp, err //nolint:wrapcheck // as the transport returns it
}
