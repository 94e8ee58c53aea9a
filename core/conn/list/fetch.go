package list

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/items"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/strict"
)

// maxListBytes limits the size of the platform's response.
const maxListBytes = 4 << 20

// ErrStatus reports that the platform responded with a status other than 200.
var ErrStatus = errors.New("unexpected status")

// NewClient returns a client for Fetch.
func NewClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone() //nolint:forcetypeassert // unless a program replaces it
	t.MaxResponseHeaderBytes = pool.MaxHeadBytes
	return &http.Client{Transport: strict.NewTransport(t)}
}

// Fetch returns the platform's list at a URL.
func Fetch(ctx context.Context, c *http.Client, url string) ([]Instance, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create list request: %w", err)
	}
	// A late copy of an older list, on a connection that is used again, would be taken
	// for the new one.
	r.Close = true
	resp, err := c.Do(r)
	if err != nil {
		return nil, fmt.Errorf("fetch list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch list: status %d: %w", resp.StatusCode, ErrStatus)
	}
	b, err := body.Read(resp.Body, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("fetch list: %w", err)
	}
	list, err := decode(b, isFramed(resp))
	if err != nil {
		return nil, fmt.Errorf("decode list: %w", err)
	}
	return list, nil
}

// isFramed reports whether a response that is cut short ends with an error.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed
}

// decode returns the entries of a list without those that name no instance, which may come
// from other writers. A list that may be cut short must be valid as a whole.
func decode(b []byte, whole bool) ([]Instance, error) {
	if !whole && !json.Valid(b) {
		return nil, items.ErrUnreadable
	}
	entries, err := items.Array(b)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller says what couldn't be decoded
	}
	list := make([]Instance, 0, len(entries))
	for _, raw := range entries {
		var i Instance
		if json.Unmarshal(raw, &i) == nil && i.Name != "" {
			list = append(list, i)
		}
	}
	return list, nil
}
