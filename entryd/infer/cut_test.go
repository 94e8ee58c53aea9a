package infer

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
)

// tokensFrom returns the events of an answer of two tokens, from the first that the request
// wants to the end marker.
func tokensFrom(r *engine.Request) string {
	var b strings.Builder
	for i := r.DeliveredTokens; i < 2; i++ {
		finish := []string{"", "stop"}[i]
		b.Write(stream.AppendEvent(nil, fmt.Appendf(nil, `{"attempt":%q,"token":%d,"choices":[{"text":"%d","finish_reason":%q}]}`, r.Attempt, i, i, finish)))
	}
	b.Write(stream.AppendEvent(nil, []byte(engine.EndOfStream)))
	return b.String()
}

// cuttingEngines cut the first answer at a path after some bytes, by a close or a reset of the
// connection.
type cuttingEngines struct {
	path, framing, ending string
	length                int
	cut                   atomic.Bool // an answer was cut
	whole                 atomic.Bool // that had all its bytes
}

func (e *cuttingEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	body := ""
	switch r.URL.Path {
	case engine.PathPrefill:
		b, _ := json.Marshal(engine.PrefillResult{Attempt: request.Attempt, KVHandle: "h"})
		body = string(b)
	case engine.PathChat:
		body = tokensFrom(&request)
	}
	if r.URL.Path != e.path || e.cut.Swap(true) {
		_, _ = io.WriteString(w, body)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	field := ""
	switch e.framing {
	case "length":
		field = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case "chunks":
		field, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	answer := "HTTP/1.1 200 OK\r\n" + field + "\r\n" + body
	e.whole.Store(e.length >= len(answer))
	_, _ = io.WriteString(c, answer[:min(e.length, len(answer))])
	if e.ending == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// An engine that stopped in the head of its answer left callers with one that looked whole.
func TestCompletionCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	mixed, split := []state.Role{state.RoleMixed, state.RoleMixed}, []state.Role{state.RolePrefill, state.RolePrefill, state.RoleDecode}
	for _, c := range []struct {
		path, framing, ending string
		roles                 []state.Role
	}{
		{engine.PathChat, "chunks", "close", mixed},
		{engine.PathChat, "connection", "close", mixed},
		{engine.PathChat, "connection", "reset", mixed},
		{engine.PathPrefill, "connection", "close", split},
		{engine.PathPrefill, "length", "reset", split},
	} {
		t.Run(fmt.Sprint(c.path, " by ", c.framing, ", ", c.ending), func(t *testing.T) {
			for n, whole := 0, false; !whole; n++ {
				e := &cuttingEngines{path: c.path, framing: c.framing, ending: c.ending, length: n}
				sink, call := &textSink{}, testCall()
				call.Request.Messages[0].Content = strings.Repeat("x", 1<<14)
				err := startEngines(t, e, c.roles...).Complete(t.Context(), call, sink)
				whole = e.whole.Load()
				if err != nil || !e.cut.Load() || !sink.ended || sink.text.String() != "01" {
					t.Fatalf("cut after %d bytes: error %v, ended %v, text %q", n, err, sink.ended, sink.text.String())
				}
			}
		})
	}
}
