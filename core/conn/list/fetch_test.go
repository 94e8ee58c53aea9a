package list_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/strict"
)

// An error response of the platform must not be read as an empty list.
func TestFetchRejectsErrorStatus(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`[{"name":"a"}]`))
	}))
	defer s.Close()
	if l, err := list.Fetch(t.Context(), s.Client(), s.URL); err != nil || len(l) != 1 || l[0].Name != "a" {
		t.Fatalf("list %v, error %v", l, err)
	}
	status = http.StatusBadGateway
	if _, err := list.Fetch(t.Context(), s.Client(), s.URL); !errors.Is(err, list.ErrStatus) {
		t.Fatalf("error %v, want ErrStatus", err)
	}
}

// Servers that a list lacks since it was cut would be given up.
func TestFetchRejectsListCutAtAnyByte(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\n\r\n" + `[{"name":"a"},{"name":"b"}]`
	length := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, whole[:length])
		_ = c.Close()
	}))
	defer s.Close()
	for length = range len(whole) + 1 {
		if l, err := list.Fetch(t.Context(), s.Client(), s.URL); (err == nil) != (length == len(whole)) {
			t.Errorf("cut after %d of %d bytes: list %v, error %v", length, len(whole), l, err)
		}
	}
}

// Lists were taken from answers whose heads aren't HTTP.
func TestFetchRejectsMalformedHead(t *testing.T) {
	text := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, text+"\r\n\r\n[]")
		_ = c.Close()
	}))
	defer s.Close()
	c := list.NewClient()
	defer c.CloseIdleConnections()
	for _, text = range []string{
		"HTTP/1.1 103 X\r\nX Odd: 2\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX Odd: 2", "HTTP/1.1 200 OK\r\nContent-Length : 2", "HTTP/1.1 200 OK\r\nA: b\r\n Odd: 2",
	} {
		if l, err := list.Fetch(t.Context(), c, s.URL); !errors.Is(err, strict.ErrField) {
			t.Errorf("%q: list %v, error %v", text, l, err)
		}
	}
	text = "HTTP/1.1 103 X\r\nOdd: 2\r\n\r\nHTTP/1.1 200 OK"
	if _, err := list.Fetch(t.Context(), c, s.URL); err != nil {
		t.Errorf("after an interim head: %v", err)
	}
}

// A copy of an older list that arrives late on a connection must not be taken for the
// next one.
func TestFetchUsesNoConnectionTwice(t *testing.T) {
	addresses := make(map[string]bool)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addresses[r.RemoteAddr] = true
		_, _ = w.Write([]byte(`[]`))
	}))
	defer s.Close()
	for range 3 {
		if _, err := list.Fetch(t.Context(), s.Client(), s.URL); err != nil {
			t.Fatal(err)
		}
	}
	if len(addresses) != 3 {
		t.Fatalf("%d connections for three reads", len(addresses))
	}
}

// An entry of another writer must not keep the others from being followed.
func TestOddEntryHidesNoOthers(t *testing.T) {
	text, unframed := "", false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !unframed {
			_, _ = w.Write([]byte(text))
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + text))
		_ = c.Close()
	}))
	defer s.Close()
	for _, odd := range []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `{"name":"x","leaving":1}`, `{"name":1e400}`, `{"name":""}`, `{"name":"x`, "\x00", "null", "[{}]",
	} {
		text = `[{"name":"a"},` + odd + `,{"name":"b","leaving":true}]`
		l, err := list.Fetch(t.Context(), s.Client(), s.URL)
		if err != nil || len(l) != 2 || l[0].Name != "a" || l[1].Name != "b" || !l[1].Leaving {
			t.Errorf("%.20q: list %v, error %v", odd, l, err)
		}
	}
	unframed = true
	for cut, want := range map[string]int{`[{"name":"a"},{"name":7}]`: 1, `[{"name":"a"},{"name":"b","x":[1,{"c":2}]`: -1, "null": -1} {
		text = cut
		l, err := list.Fetch(t.Context(), s.Client(), s.URL)
		if want < 0 && err == nil || want >= 0 && len(l) != want {
			t.Errorf("%s without length: list %v, error %v", text, l, err)
		}
	}
}

// A list may be given with a head or a body without end, also a compressed one.
func TestFetchGivesUpListWithoutEnd(t *testing.T) {
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, _ = w.Write(bytes.Repeat([]byte("["), 64<<20))
	_ = w.Close()
	for name, text := range map[string]string{
		"head": strings.Repeat("a:\r\n", pool.MaxHeadBytes), "body": "\r\n" + strings.Repeat("[", 8<<20),
		"compressed": fmt.Sprintf("Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", zipped.Len(), zipped.String()),
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+text)
			_, _ = io.Copy(io.Discard, c) // until the client closes
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if l, err := list.Fetch(ctx, list.NewClient(), s.URL); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %d entries, error %.200v", name, len(l), err)
		}
		cancel()
		s.Close()
	}
}
