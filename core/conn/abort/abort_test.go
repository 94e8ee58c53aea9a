package abort_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"verbenahaven.example/core/conn/abort"
)

func TestAbortedResponseDoesNotLookCompleteToHTTP10Caller(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "data: a\n\n")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "data: b\n\n")
	}))
	abort.Install(s.Config)
	s.Start()
	defer s.Close()
	for path, want := range map[string]error{"/cut": syscall.ECONNRESET, "/whole": nil} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path)
		if _, err := io.ReadAll(c); !errors.Is(err, want) {
			t.Errorf("%s: read error %v, want %v", path, err, want)
		}
		_ = c.Close()
	}
}
