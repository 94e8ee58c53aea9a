package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/version/state"
)

// Engines speaks to engines for the leader.
type Engines interface {
	// Probe reads an engine's own account of its orders on a new connection.
	Probe(ctx context.Context, e state.Engine) (engine.Status, error)
	// Order sends an order. Seen is the engine's count of orders that the
	// last probe found.
	Order(ctx context.Context, w *guard.Writer, e state.Engine, o state.Order, seen uint64) (engine.OrderResult, error)
}

// Native speaks the product's own engine interface.
type Native struct{}

// NewNative returns the product's own engine interface.
func NewNative() Native { return Native{} }

// Order implements Engines.
func (Native) Order(ctx context.Context, w *guard.Writer, e state.Engine, o state.Order, _ uint64) (engine.OrderResult, error) {
	var result engine.OrderResult
	if _, err := w.Post(ctx, e.URL+engine.PathOrder, o, &result); err != nil {
		return result, fmt.Errorf("order engine %s: %w", e.Name, err)
	}
	return result, nil
}

// Probe implements Engines.
func (Native) Probe(ctx context.Context, e state.Engine) (engine.Status, error) {
	var status engine.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+engine.PathState, nil)
	if err != nil {
		return status, fmt.Errorf("make probe: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return status, fmt.Errorf("probe engine: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return status, fmt.Errorf("probe engine: status %d", answer.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxStatus)).Decode(&status); err != nil {
		return status, fmt.Errorf("decode engine state: %w", err)
	}
	return status, nil
}
