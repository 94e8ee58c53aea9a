// Package client is the HTTP client of the operators' query and command
// language. It sends a text to any of the instances that keep the state, with
// failover and retries; a command number makes retries idempotent.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/strict"
)

// Errors of a text for which no instance returned a result.
var (
	// ErrUnknownOutcome reports that an instance may have applied the text.
	// Sending the same command again under the same number applies it at most
	// once.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrNotAccepted reports that no instance accepted the text.
	ErrNotAccepted = errors.New("not taken up by any instance")
	// ErrNoAddress reports that the client has no address to send to.
	ErrNoAddress = errors.New("no address of an instance that keeps the state")
)

const (
	runPath        = "/run"
	attemptTimeout = 5 * time.Second
	roundDelay     = 100 * time.Millisecond
	maxReplyBytes  = 64 << 20
	maxErrorBytes  = 4 << 10 // kept of an error body that isn't JSON
)

// retryableCodes are the codes of refusals after which another instance may
// accept the text. The instance that refused hasn't applied any of it.
var retryableCodes = map[string]bool{
	"no_leader":  true,
	"not_leader": true,
	"full":       true,
	"stopping":   true,
}

// codeUnknownOutcome is the code of a failure after which the text may still
// take effect.
const codeUnknownOutcome = "unknown"

// RefusedError is the error that an instance returned instead of a result.
type RefusedError struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.code, r.message)
}

// Code returns the machine-readable reason.
func (r *RefusedError) Code() string { return r.code }

// isAuthFailure reports whether the sender was refused rather than the text.
func (r *RefusedError) isAuthFailure() bool {
	return r.status == http.StatusUnauthorized || r.status == http.StatusForbidden
}

// Client sends texts to one of several instances.
type Client struct {
	urls  []string
	token string
	http  *http.Client
}

// New returns a client for the URLs of instances and a function that closes its
// idle connections.
func New(urls []string, token string) (*Client, func()) {
	transport := strict.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: attemptTimeout}).DialContext,
		TLSHandshakeTimeout: attemptTimeout,
	})
	c := &Client{token: token, http: &http.Client{Transport: transport}}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	return c, transport.CloseIdleConnections
}

// Run sends a text to the instances in turn until one replies or ctx ends. All
// attempts carry the same number, so a text whose reply was lost takes effect at
// most once.
func (c *Client) Run(ctx context.Context, r proto.RunRequest) (proto.RunReply, error) {
	if len(c.urls) == 0 {
		return proto.RunReply{}, ErrNoAddress
	}
	body, err := json.Marshal(r)
	if err != nil {
		return proto.RunReply{}, fmt.Errorf("encode text: %w", err)
	}
	maybeApplied := false
	var lastErr error // the last refusal, or the first other error if there was none
	for attempt := 0; ; attempt++ {
		url := c.urls[attempt%len(c.urls)]
		reply, err := c.post(ctx, url, body)
		var refused *RefusedError
		switch {
		case err == nil:
			return reply, nil
		case errors.As(err, &refused) && !retryableCodes[refused.code] && refused.code != codeUnknownOutcome:
			if maybeApplied && refused.isAuthFailure() {
				return reply, fmt.Errorf("%s: %w: %w", url, ErrUnknownOutcome, err)
			}
			return reply, fmt.Errorf("%s: %w", url, err)
		case r.Number != 0 && !hadNoEffect(err):
			maybeApplied = true // a query, which has no number, changes nothing
		}
		if refused != nil || lastErr == nil {
			lastErr = err
		}
		if err := c.waitForNextAttempt(ctx, attempt, maybeApplied, lastErr); err != nil {
			return reply, err
		}
	}
}

// waitForNextAttempt pauses once all instances have been tried. When ctx has
// ended it returns ErrUnknownOutcome if the text may have been applied, else
// ErrNotAccepted.
func (c *Client) waitForNextAttempt(ctx context.Context, attempt int, maybeApplied bool, cause error) error {
	wait := time.Duration(0)
	if (attempt+1)%len(c.urls) == 0 {
		wait = roundDelay
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
		return nil
	}
	if maybeApplied {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
}

// hadNoEffect reports whether the failed attempt can't have changed the state:
// the instance refused the text or the connection was never made.
func hadNoEffect(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return retryableCodes[refused.code]
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) post(ctx context.Context, url string, body []byte) (proto.RunReply, error) {
	var reply proto.RunReply
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+runPath, bytes.NewReader(body))
	if err != nil {
		return reply, &RefusedError{code: "bad_address", message: err.Error()}
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return reply, c.do(r, &reply)
}

// Get fetches a URL and decodes its JSON body into reply.
func (c *Client) Get(ctx context.Context, url string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return c.do(r, reply)
}

func (c *Client) do(r *http.Request, reply any) error {
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, reply); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		return nil
	}
	return parseRefusal(response.StatusCode, b)
}

// parseRefusal decodes the error body that all instances use. An error without
// one comes from an intermediary, so the outcome of the text is unknown.
func parseRefusal(status int, b []byte) error {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err == nil && body.Error.Code != "" {
		return &RefusedError{status: status, code: body.Error.Code, message: body.Error.Message}
	}
	text := strings.TrimSpace(string(b[:min(len(b), maxErrorBytes)]))
	return &RefusedError{status: status, code: codeUnknownOutcome, message: fmt.Sprintf("status %d: %s", status, text)}
}
