package stream_test

import (
	"fmt"

	"verbenahaven.example/core/conn/stream"
)

func ExampleValidEvents() {
	for _, lines := range []string{
		"id: 1\ndata: HTTP/1.1 500\n\n",
		": waiting\n\nretry: 5\r\nevent: x\rdata\n\n",
		"version: 3\nid: 2\ndata: b\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
		"id: 3\ndata: cHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	} {
		fmt.Println(stream.ValidEvents([]byte(lines), "version"))
	}
	// Output:
	// true
	// true
	// true
	// false
	// false
}
