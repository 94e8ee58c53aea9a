// Package client sends texts of the operators' language to the instances that
// keep the state, over HTTP.
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
)

// Outcomes of a text that got no answer.
var (
	// ErrUnknown tells that an instance may have taken up the text. The same
	// command sent again under the same number takes effect at most once.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotTaken tells that no instance took up the text.
	ErrNotTaken = errors.New("not taken up by any instance")
	// ErrNoKeeper tells that no address was given.
	ErrNoKeeper = errors.New("no address of an instance that keeps the state")
)

const (
	pathRun     = "/run"
	tryTimeout  = 5 * time.Second
	pause       = 100 * time.Millisecond
	maxReply    = 64 << 20 // bytes
	maxErrorLen = 4 << 10  // bytes of an error that isn't JSON
)

// Codes of refusals after which another instance may accept the text. Nothing
// was taken up.
var elsewhere = map[string]bool{
	"no_leader":  true,
	"not_leader": true,
	"full":       true,
	"stopping":   true,
}

// Code of a failure after which the text may yet take effect.
const codeUnknown = "unknown"

// Refused is the answer of an instance that refused a text.
type Refused struct {
	status  int
	code    string
	message string
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.code, r.message)
}

// Code is the machine-readable reason.
func (r *Refused) Code() string { return r.code }

// denied tells that the refusal is about the sender, not about the text.
func (r *Refused) denied() bool {
	return r.status == http.StatusUnauthorized || r.status == http.StatusForbidden
}

// Client sends texts to one of several instances.
type Client struct {
	urls  []string
	token string
	http  *http.Client
}

// New returns a client for the URLs of instances and its clean-up.
func New(urls []string, token string) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: tryTimeout}).DialContext,
		TLSHandshakeTimeout: tryTimeout,
	}
	c := &Client{token: token, http: &http.Client{Transport: transport}}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	return c, transport.CloseIdleConnections
}

// Run sends a text until an instance answers or ctx ends. Each try carries the
// same number, so a text whose answer was lost takes effect at most once.
func (c *Client) Run(ctx context.Context, r proto.RunRequest) (proto.RunReply, error) {
	if len(c.urls) == 0 {
		return proto.RunReply{}, ErrNoKeeper
	}
	body, err := json.Marshal(r)
	if err != nil {
		return proto.RunReply{}, fmt.Errorf("encode text: %w", err)
	}
	unsure := false
	var told error // what an instance last said
	for i := 0; ; i++ {
		url := c.urls[i%len(c.urls)]
		reply, err := c.try(ctx, url, body)
		var refused *Refused
		switch {
		case err == nil:
			return reply, nil
		case errors.As(err, &refused) && !elsewhere[refused.code] && refused.code != codeUnknown:
			if unsure && refused.denied() {
				return reply, fmt.Errorf("%s: %w: %w", url, ErrUnknown, err)
			}
			return reply, fmt.Errorf("%s: %w", url, err)
		case r.Number != 0 && !untouched(err):
			unsure = true // a question, which has no number, has no outcome
		}
		if refused != nil || told == nil {
			told = err
		}
		if err := c.rest(ctx, i, unsure, told); err != nil {
			return reply, err
		}
	}
}

// rest waits after each round of tries. When ctx has ended it returns the
// outcome as far as it is known.
func (c *Client) rest(ctx context.Context, i int, unsure bool, cause error) error {
	wait := time.Duration(0)
	if (i+1)%len(c.urls) == 0 {
		wait = pause
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
		return nil
	}
	if unsure {
		return fmt.Errorf("%w: %w", ErrUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotTaken, cause)
}

// untouched tells that the failed try can't have had an effect.
func untouched(err error) bool {
	var refused *Refused
	if errors.As(err, &refused) {
		return elsewhere[refused.code]
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) try(ctx context.Context, url string, body []byte) (proto.RunReply, error) {
	var reply proto.RunReply
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+pathRun, bytes.NewReader(body))
	if err != nil {
		return reply, &Refused{code: "bad_address", message: err.Error()}
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return reply, c.exchange(r, &reply)
}

// Get reads JSON from a URL.
func (c *Client) Get(ctx context.Context, url string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	return c.exchange(r, reply)
}

func (c *Client) exchange(r *http.Request, reply any) error {
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxReply))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if answer.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, reply); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		return nil
	}
	return refusal(answer.StatusCode, b)
}

// refusal reads the error body that all instances use. An error without one
// comes from something else on the way: what happened to the text is unknown.
func refusal(status int, b []byte) error {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &body); err == nil && body.Error.Code != "" {
		return &Refused{status: status, code: body.Error.Code, message: body.Error.Message}
	}
	text := strings.TrimSpace(string(b[:min(len(b), maxErrorLen)]))
	return &Refused{status: status, code: codeUnknown, message: fmt.Sprintf("status %d: %s", status, text)}
}
