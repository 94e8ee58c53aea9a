package list

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxBytes bounds the platform's answer.
const maxBytes = 4 << 20

// ErrStatus tells that the platform answered with another status than 200.
var ErrStatus = errors.New("unexpected status")

// Fetch reads the platform's list at a URL.
func Fetch(ctx context.Context, c *http.Client, url string) ([]Instance, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make request for list: %w", err)
	}
	answer, err := c.Do(r)
	if err != nil {
		return nil, fmt.Errorf("read list: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read list: status %d: %w", answer.StatusCode, ErrStatus)
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxBytes)).Decode(&instances); err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	return instances, nil
}
