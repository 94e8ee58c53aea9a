// Package abort lets an HTTP/1.0 caller recognize a response that was cut short.
// Such a response may have neither a length nor chunks, so it ends with its
// connection: an orderly close of that after half of the response would look like
// its end.
package abort

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// Install makes a server reset the connection of an HTTP/1.0 response that its
// handler didn't complete. It covers the end of the process as well, since the
// kernel then resets the connection. It must be called before the server serves.
func Install(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, isTCP := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
		if !isTCP || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(0) // fails only for a connection that is closed already
		next.ServeHTTP(w, r)
		_ = c.SetLinger(-1) // not reached if the handler panics
	})
}
