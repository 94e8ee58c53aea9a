package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// stream is a client's stream, over all of its tries.
type stream struct {
	path           string
	output         int
	deadline       time.Time
	ids            []string // of the tries
	lastID         string   // of the last whole event
	versions       map[string]bool
	events         int
	statuses       []int
	complete       bool
	firstRequestID string // of the try that brought the first event
}

func newStream(path string, output int, deadline time.Duration) *stream {
	return &stream{path: path, output: output, deadline: time.Now().Add(deadline), versions: make(map[string]bool)}
}

// try makes one attempt, which goes on after the last event. It ends after a gap without an event.
func (t *stream) try(address string, gap time.Duration) (status int, err error) {
	q := generation(t.path, 220, t.output, time.Until(t.deadline))
	if t.lastID != "" {
		q.header = append(q.header, "Last-Event-Id: "+t.lastID, "Resumes: "+t.firstRequestID)
	}
	t.ids = append(t.ids, q.id)
	defer func() { t.statuses = append(t.statuses, status) }()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	wait := func() {
		end := time.Now().Add(gap)
		if end.After(t.deadline) {
			end = t.deadline
		}
		_ = c.SetReadDeadline(end)
	}
	if _, err := io.WriteString(c, q.text()); err != nil {
		return 0, err
	}
	wait()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	body := bufio.NewReader(resp.Body)
	id, version := "", ""
	for {
		wait()
		line, err := body.ReadString('\n')
		if err == io.EOF && line == "" {
			t.complete = t.lastID == fmt.Sprint(t.output)
			if !t.complete {
				return resp.StatusCode, fmt.Errorf("ended as complete after event %s", t.lastID)
			}
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		line = strings.TrimSuffix(line, "\n")
		if value, found := strings.CutPrefix(line, "id: "); found {
			id = value
		}
		if _, value, found := strings.Cut(line, " by "); found {
			version = value
		}
		if line == "" && id != "" {
			if t.lastID == "" {
				t.firstRequestID = q.id
			}
			t.lastID, t.versions[version] = id, true
			t.events++
		}
	}
}
