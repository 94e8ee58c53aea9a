package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	status    int // 0 without a complete answer
	signature string
	requestID string
	body      string
	err       error
}

// callTransport keeps connections, as clients do.
var callTransport = &http.Transport{MaxIdleConnsPerHost: 500}

var requestCount atomic.Int64

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", time.Now().UnixNano()+requestCount.Add(1)) }

// resolve asks a machine for the addresses to use.
func (w *world) resolve(machine int) ([]string, error) {
	a, err := shortClient.Get("http://" + w.address(machine, portDirectory) + "/-/resolve?name=host.example&region=here&zone=zone-a")
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	var v struct {
		Addresses []string `json:"addresses"`
	}
	if a.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", a.StatusCode)
	}
	return v.Addresses, json.NewDecoder(a.Body).Decode(&v)
}

// ask sends a request to an address on a connection of its own.
func (w *world) ask(address, method, path, id, body string, header map[string]string, timeout time.Duration) answer {
	w.record("client sends %s, %s %s, to %s", id, method, path, address)
	got := w.exchange(address, method, path, id, body, header, timeout)
	w.record("client gets %s: %d, signature %q, %d bytes, error %v", id, got.status, got.signature, len(got.body), got.err)
	return got
}

func (w *world) exchange(address, method, path, id, body string, header map[string]string, timeout time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "host.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := &http.Client{Timeout: timeout + 500*time.Millisecond, Transport: callTransport}
	a, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	got := answer{status: a.StatusCode, signature: a.Header.Get("Server-Signature"), requestID: a.Header.Get("Request-Id"), body: string(b), err: err}
	if err != nil {
		got.status = 0
	}
	return got
}
