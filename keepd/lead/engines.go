package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/strict"
	"verbenahaven.example/core/version/state"
)

// EngineClient probes engines and sends them orders.
type EngineClient interface {
	// Probe reads the order status that an engine reports, on a new connection.
	Probe(ctx context.Context, e state.Engine) (engine.Status, error)
	// Order sends an order. LastOrder is the number that the engine reported in
	// the last probe.
	Order(ctx context.Context, w *guard.Writer, e state.Engine, o state.Order, lastOrder uint64) (engine.OrderResult, error)
}

// NativeClient implements EngineClient for engines with the product's own HTTP
// interface.
type NativeClient struct{}

// NewNativeClient returns a client for the product's own engine interface.
func NewNativeClient() NativeClient { return NativeClient{} }

// Order implements EngineClient.
func (NativeClient) Order(ctx context.Context, w *guard.Writer, e state.Engine, o state.Order, _ uint64) (engine.OrderResult, error) {
	var result engine.OrderResult
	if _, err := w.PostJSON(ctx, e.URL+engine.PathOrder, o, &result); err != nil {
		return result, fmt.Errorf("order engine %s: %w", e.Name, err)
	}
	return result, nil
}

// Probe implements EngineClient.
func (NativeClient) Probe(ctx context.Context, e state.Engine) (engine.Status, error) {
	var status engine.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.URL+engine.PathState, nil)
	if err != nil {
		return status, fmt.Errorf("create probe request: %w", err)
	}
	transport := strict.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: pool.MaxHeadBytes})
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return status, fmt.Errorf("probe engine: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("probe engine: status %d, want 200", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("decode engine state: %w", err)
	}
	return status, nil
}
