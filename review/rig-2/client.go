package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "caller.example"

var requests atomic.Int64

// request is one client attempt.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 []string // more lines
}

// answer is what the client got.
type answer struct {
	status    int
	signature string
	body      string
	err       error // nil if the answer is complete
	sent      time.Time
	took      time.Duration
}

func (a *answer) String() string {
	text := a.body
	if len(text) > 60 {
		text = text[:20] + "..." + text[len(text)-35:]
	}
	return fmt.Sprintf("status %d signature %q body %q (%d bytes) err %v after %s", a.status, a.signature, text, len(a.body), a.err, a.took.Round(time.Millisecond))
}

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requests.Add(1)) }

func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", q.method, q.path, host, q.id)
	if q.deadline > 0 {
		fmt.Fprintf(&b, "Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	}
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// generation returns a request for an answer of so many tokens.
func generation(path string, prompt, output int, deadline time.Duration) *request {
	id := newID()
	return &request{id: id, method: http.MethodPost, path: path, body: strings.Repeat("p", 400), deadline: deadline, header: []string{
		"Model: m", fmt.Sprintf("Token-Usage: %d,%d", prompt, output), fmt.Sprintf("Prompt-Prefix: 5c1e07a2:%d,%s:%d", prompt/3, id, prompt-prompt/3),
	}}
}

// ask sends a request on a new connection and reads the whole answer.
func ask(address string, q *request) *answer {
	a := &answer{sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	return askOn(c, bufio.NewReader(c), q, a)
}

func askOn(c net.Conn, r *bufio.Reader, q *request, a *answer) *answer {
	wait := q.deadline
	if wait <= 0 {
		wait = 20 * time.Second
	}
	_ = c.SetDeadline(time.Now().Add(wait + time.Second))
	if _, err := io.WriteString(c, q.text()); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	b, err := io.ReadAll(resp.Body)
	a.body, a.err = string(b), err
	return a
}
