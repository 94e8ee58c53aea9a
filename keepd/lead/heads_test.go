package lead_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/strict"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/keepd/lead"
)

// The state of an engine and its acceptance of an order were taken from answers whose heads
// aren't HTTP.
func TestMalformedHeadIsNoAnswerOfEngine(t *testing.T) {
	head := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, head+"\r\n\r\n{}")
		_ = c.Close()
	}))
	defer s.Close()
	c, e := lead.NewNativeClient(), state.Engine{Name: "e", URL: s.URL}
	w := guard.New(func() time.Duration { return time.Minute }, time.Second, 10*time.Second)
	for _, call := range []func() error{
		func() error {
			_, err := c.Probe(t.Context(), e)
			return err
		},
		func() error {
			_, err := c.Order(t.Context(), w, e, state.Order{}, 0)
			return err
		},
	} {
		for text, want := range map[string]error{
			"HTTP/1.1 200 OK": nil, "HTTP/1.1 200 OK\r\nX Odd: 2": strict.ErrField, "HTTP/1.1 200 OK\r\nContent-Length : 2": strict.ErrField,
			"HTTP/1.1 200 OK\r\nA: b\r\n Odd: 2": strict.ErrField, "HTTP/1.1 000 X": strict.ErrStatus,
		} {
			if head = text; !errors.Is(call(), want) {
				t.Errorf("%q: error %v, want %v", text, call(), want)
			}
		}
	}
}
