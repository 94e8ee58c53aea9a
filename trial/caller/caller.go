// Package caller is a test client of the system. It makes calls as client
// accounts do and records the answers for later checks.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"verbenahaven.example/core/conn/engine"
)

const (
	maxLineBytes = 1 << 20
	maxIdleConns = 256
	dataPrefix   = "data:"
)

// ErrBadEvent is returned if an event of a stream could not be decoded.
var ErrBadEvent = errors.New("invalid event in stream")

// Caller makes calls under one account.
type Caller struct {
	token  string
	client *http.Client
}

// New returns a caller with the bearer token of its account.
func New(token string) *Caller {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Caller{token: token, client: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Chat describes a streamed chat completion.
type Chat struct {
	Service  string
	Prompt   string
	Tokens   int // requested output tokens
	Seed     int64
	Deadline time.Duration // sent as a header if not 0
}

// Answer is the answer to a call as the caller received it.
type Answer struct {
	status     int
	id         string
	body       []byte
	tokens     []string
	positions  []int
	complete   bool
	started    time.Time
	arrivals   []time.Time
	ended      time.Time
	code       string
	execution  string
	retryAfter time.Duration
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// ID returns the request's identifier, with which explain looks it up.
func (a *Answer) ID() string { return a.id }

// Body returns the body of an answer that was not a stream.
func (a *Answer) Body() []byte { return a.body }

// Tokens returns the text of the events in the order of their arrival.
func (a *Answer) Tokens() []string { return a.tokens }

// Positions returns the position of each token that its event carries.
func (a *Answer) Positions() []int { return a.positions }

// Complete reports whether the answer is complete: the stream had its end
// marker, or the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// TTFT returns the time to the first token, 0 if there was none.
func (a *Answer) TTFT() time.Duration {
	if len(a.arrivals) == 0 {
		return 0
	}
	return a.arrivals[0].Sub(a.started)
}

// Arrivals returns the arrival time of each token.
func (a *Answer) Arrivals() []time.Time { return a.arrivals }

// Latency returns the time to the end of the answer.
func (a *Answer) Latency() time.Duration { return a.ended.Sub(a.started) }

// Code returns the code of the error body, "" if there is none.
func (a *Answer) Code() string { return a.code }

// Execution returns what the error body says about the execution of the call:
// not_run, ran or unknown.
func (a *Answer) Execution() string { return a.execution }

// RetryAfter returns the retry delay that the error body asks for.
func (a *Answer) RetryAfter() time.Duration { return a.retryAfter }

// Chat requests a streamed chat completion. If the connection breaks, it returns
// an error together with the part of the answer that came before.
func (c *Caller) Chat(ctx context.Context, url string, chat Chat) (*Answer, error) {
	body, err := json.Marshal(engine.Request{
		Model:     chat.Service,
		Messages:  []engine.Message{{Role: "user", Content: chat.Prompt}},
		MaxTokens: chat.Tokens,
		Stream:    true,
		Seed:      chat.Seed,
	})
	if err != nil {
		return nil, fmt.Errorf("encode chat: %w", err)
	}
	header := http.Header{}
	if chat.Deadline > 0 {
		header.Set("Deadline", fmt.Sprint(chat.Deadline.Milliseconds()))
	}
	return c.send(ctx, url+engine.PathChat, header, body)
}

// PlainCall describes a call to a plain service.
type PlainCall struct {
	Service string
	Path    string
	Key     string // idempotency key, "" for none
	Body    string
}

// CallPlain calls a plain service.
func (c *Caller) CallPlain(ctx context.Context, url string, call PlainCall) (*Answer, error) {
	header := http.Header{}
	if call.Key != "" {
		header.Set("Idempotency-Key", call.Key)
	}
	return c.send(ctx, url+"/s/"+call.Service+"/"+call.Path, header, []byte(call.Body))
}

func (c *Caller) send(ctx context.Context, url string, header http.Header, body []byte) (*Answer, error) {
	a := &Answer{started: time.Now()}
	defer func() { a.ended = time.Now() }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("make request: %w", err)
	}
	r.Header = header
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.client.Do(r)
	if err != nil {
		return a, fmt.Errorf("call %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	a.id = response.Header.Get("Request-Id")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.readStream(response.Body)
	}
	return a, a.readBody(response.Body)
}

func (a *Answer) readBody(r io.Reader) error {
	b, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	a.body = b
	a.complete = true
	a.readError(b)
	return nil
}

func (a *Answer) readError(b []byte) {
	var body struct {
		Error struct {
			Code  string `json:"code"`
			Ran   string `json:"ran"`
			Retry int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &body) != nil {
		return
	}
	a.code, a.execution = body.Error.Code, body.Error.Ran
	a.retryAfter = time.Duration(body.Error.Retry) * time.Millisecond
}

func (a *Answer) readStream(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), dataPrefix)
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == engine.EndOfStream {
			a.complete = true
			return nil
		}
		if err := a.readEvent([]byte(data)); err != nil {
			return err
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return nil
}

func (a *Answer) readEvent(data []byte) error {
	var e engine.Event
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrBadEvent, err)
	}
	if len(e.Choices) == 0 {
		a.readError(data)
		return nil
	}
	a.tokens = append(a.tokens, e.Choices[0].Delta.Content)
	a.positions = append(a.positions, e.Token)
	a.arrivals = append(a.arrivals, time.Now())
	return nil
}
