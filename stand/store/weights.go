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

const blockBytes = 64 << 10

// Weights is the weight store. All readers share one rate.
type Weights struct {
	config  config.Weights
	limiter *rate.Limiter
}

// NewWeights returns a weight store.
func NewWeights(c config.Weights) *Weights {
	return &Weights{config: c, limiter: rate.NewLimiter(rate.Limit(c.Rate), blockBytes)}
}

// Listen serves weights. The clean-up closes all connections.
func (s *Weights) Listen(ctx context.Context) (func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{model}/{revision}", s.serve)
	_, cleanup, err := gate.Serve(ctx, s.config.Listen, m)
	if err != nil {
		return nil, fmt.Errorf("weight store: %w", err)
	}
	return cleanup, nil
}

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.Bytes, 10))
	block := make([]byte, blockBytes)
	for left := s.config.Bytes; left > 0; {
		n := min(left, blockBytes)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		if _, err := w.Write(block[:n]); err != nil {
			return
		}
		left -= n
	}
}
