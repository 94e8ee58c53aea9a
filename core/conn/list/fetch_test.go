package list_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"verbenahaven.example/core/conn/list"
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
