package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// A caller that reads a byte now and then must not hold its call for good; one that is slow
// but takes the answer piece by piece must get all of it.
func TestWholeAnswerToSlowCaller(t *testing.T) {
	const size, timeout = 16 << 20, 3 * time.Second
	for name, c := range map[string]struct {
		bytes int // that the caller reads each 50 ms
		whole bool
	}{"a byte": {1, false}, "slowly": {128 << 10, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan error, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(size))
				written <- writeWhole(w, make([]byte, size), timeout)
			}))
			defer s.Close()
			conn, err := net.Dial("tcp4", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			go func() {
				for b := make([]byte, c.bytes); ; time.Sleep(50 * time.Millisecond) {
					if _, err := io.ReadFull(conn, b); err != nil {
						return
					}
				}
			}()
			select {
			case err := <-written:
				if (err == nil) != c.whole {
					t.Errorf("written: %v", err)
				}
			case <-time.After(20 * time.Second):
				t.Error("the call runs on")
			}
		})
	}
}
