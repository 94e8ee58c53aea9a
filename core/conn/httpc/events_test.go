package httpc_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/httpc"
)

// frame returns a body as it is sent with a framing, and the header field that
// announces it.
func frame(framing, body string) (field, sent string) {
	switch httpc.Framing(framing) {
	case httpc.FramedByLength:
		return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n", body
	case httpc.FramedByChunks:
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		return "", body
	}
}

func TestEventStreamThatEndsInsideEventIsBrokenOff(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, d *datadriven.TestData) string {
		var framing, contentType string
		d.ScanArgs(t, "framing", &framing)
		d.ScanArgs(t, "type", &contentType)
		body, err := strconv.Unquote(d.Input)
		if err != nil {
			d.Fatalf(t, "body: %v", err)
		}
		address, _ := startServer(t, func(c net.Conn, r *bufio.Reader) bool {
			if _, ok := readRequest(r); ok {
				field, sent := frame(framing, body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s\r\n%s", contentType, field, sent)
			}
			return false
		})
		a, err := newPool(t).Do(t.Context(), address, &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			d.Fatalf(t, "no answer: %v", err)
		}
		defer func() { _ = a.Body.Close() }()
		b, err := io.ReadAll(a.Body)
		if string(b) != body {
			d.Fatalf(t, "body %q", b)
		}
		switch {
		case err == nil:
			return "whole\n"
		case errors.Is(err, io.ErrUnexpectedEOF):
			return "broken off\n"
		default:
			return err.Error() + "\n"
		}
	})
}
