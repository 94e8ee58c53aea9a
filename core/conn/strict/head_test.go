package strict_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/strict"
)

// parts is the reading side of a connection on which each string arrives by itself.
type parts struct {
	net.Conn
	list []string
}

func (p *parts) Read(b []byte) (int, error) {
	if len(p.list) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.list[0])
	p.list = p.list[1:]
	return n, nil
}

// outcome reads answers whose heads are checked, and returns the status and the body of the
// final one, or why there is none.
func outcome(t *testing.T, list []string) string {
	t.Helper()
	c := strict.NewConn(&parts{list: list})
	if err := c.BeginAnswer(nil); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	for {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			err = c.Cause(err)
		}
		switch {
		case errors.Is(err, strict.ErrStatus):
			return "invalid status"
		case errors.Is(err, strict.ErrField):
			return "malformed field"
		case err != nil:
			return "other error"
		case a.StatusCode >= http.StatusOK:
			b, _ := io.ReadAll(a.Body)
			return strconv.Itoa(a.StatusCode) + " " + strconv.Quote(string(b))
		}
	}
}

func TestHeadsAreChecked(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads", func(t *testing.T, d *datadriven.TestData) string {
		out := ""
		for line := range strings.Lines(d.Input) {
			text, err := strconv.Unquote(strings.TrimSpace(line))
			if err != nil {
				d.Fatalf(t, "%s: %v", line, err)
			}
			got := outcome(t, []string{text})
			if single := outcome(t, strings.Split(text, "")); single != got {
				d.Fatalf(t, "%s: %s, byte by byte %s", line, got, single)
			}
			out += got + "\n"
		}
		return out
	})
}

func FuzzHeadsAreChecked(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length : 2\n\npart",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, at int) {
		at = max(0, min(at, len(text)))
		if whole, cut := outcome(t, []string{text}), outcome(t, []string{text[:at], text[at:]}); whole != cut {
			t.Errorf("%q: %s, cut after %d %s", text, whole, at, cut)
		}
	})
}

// Answers over TLS can't be checked, and must not be refused.
func TestTransportChecksAnswers(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
	plain, secure := httptest.NewServer(h), httptest.NewTLSServer(h)
	defer plain.Close()
	defer secure.Close()
	get := func(s *httptest.Server) (string, error) {
		a, err := (&http.Client{Transport: strict.NewTransport(s.Client().Transport.(*http.Transport).Clone())}).Get(s.URL)
		if err != nil {
			return "", err
		}
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}
	for _, s := range []*httptest.Server{plain, secure} {
		if b, err := get(s); b != "ok" || err != nil {
			t.Errorf("%s: %q, %v", s.URL, b, err)
		}
	}
	answer = "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	if b, err := get(plain); !errors.Is(err, strict.ErrStatus) {
		t.Errorf("%q, %v", b, err)
	}
	answer = "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok"
	if b, err := get(plain); !errors.Is(err, strict.ErrField) {
		t.Errorf("%q, %v", b, err)
	}
}
