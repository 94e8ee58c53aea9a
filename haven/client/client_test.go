package client_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"verbenahaven.example/core/conn/strict"
	"verbenahaven.example/haven/client"
)

// Operators got replies from answers whose heads aren't HTTP.
func TestMalformedHeadIsNoReply(t *testing.T) {
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
	c, cleanup := client.New([]string{s.URL}, "")
	defer cleanup()
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK": nil, "HTTP/1.1 200 OK\r\nX Odd: 2": strict.ErrField, "HTTP/1.1 000 X": strict.ErrStatus,
	} {
		var reply struct{}
		head = text
		if err := c.Get(t.Context(), s.URL, &reply); !errors.Is(err, want) {
			t.Errorf("%q: error %v, want %v", text, err, want)
		}
	}
}
