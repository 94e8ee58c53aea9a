package store

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
)

const chunkBytes = 64 << 10

// Weights serves model weights. All readers share its bandwidth.
type Weights struct {
	config  config.Weights
	limiter *rate.Limiter
}

// NewWeights returns a weight store; Listen starts it.
func NewWeights(c config.Weights) *Weights {
	return &Weights{config: c, limiter: rate.NewLimiter(rate.Limit(c.BytesPerSecond), chunkBytes)}
}

// Listen serves weights. The returned function stops the server and closes all
// connections.
func (s *Weights) Listen(ctx context.Context) (func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{model}/{revision}", s.serve)
	_, cleanup, err := gate.Serve(ctx, s.config.Listen, m)
	if err != nil {
		return nil, fmt.Errorf("weight store: %w", err)
	}
	return cleanup, nil
}

// serve writes as many zero bytes as a model has.
func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.ModelBytes, 10))
	buffer := make([]byte, chunkBytes)
	for left := s.config.ModelBytes; left > 0; {
		n := min(left, chunkBytes)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return
		}
		left -= n
	}
}
