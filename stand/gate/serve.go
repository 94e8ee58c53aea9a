package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/process/boot"
)

const headerTimeout = 10 * time.Second

// Serve starts an HTTP server on an address. The returned function closes the
// listener and all connections and waits for the server to stop.
func Serve(ctx context.Context, address string, h http.Handler) (*Listener, func(), error) {
	raw, err := boot.Listen(ctx, "listen", address)
	if err != nil {
		return nil, nil, fmt.Errorf("serve HTTP: %w", err)
	}
	l := New(raw)
	s := &http.Server{Handler: nameExchanges(h), ReadHeaderTimeout: headerTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "HTTP server stopped unexpectedly", "address", address)
		}
	}()
	return l, func() {
		_ = s.Close()
		<-done
	}, nil
}

// nameExchanges returns the name of each exchange in its response.
func nameExchanges(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if name := r.Header.Get(engine.HeaderExchange); name != "" {
			w.Header().Set(engine.HeaderExchange, name)
		}
		h.ServeHTTP(w, r)
	})
}
