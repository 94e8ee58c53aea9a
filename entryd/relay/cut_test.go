package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/stream"
)

// cuttingBackend gives one answer of each line, and cuts the last of them after some bytes, by
// a close or a reset of the connection. After that it gives whole ones. Streams go on after
// the last event that the request names.
type cuttingBackend struct {
	answers []string
	next    string // body of the whole answers
	ending  string
	prefill bool // prefills are cut, not runs
	asked   int
	handles []string // that were fetched
}

func (b *cuttingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isPrefill := r.Header.Get("Stage") != ""
	if r.Method == http.MethodDelete {
		return
	}
	if _, handle, found := strings.Cut(r.Header.Get("Kv-Source"), "/"); found {
		b.handles = append(b.handles, handle)
	}
	if isPrefill == b.prefill {
		if b.asked++; b.asked <= len(b.answers) {
			b.cut(w, b.answers[b.asked-1])
			return
		}
	}
	w.Header().Set("Request-Id", "1")
	w.Header().Set("Server-Signature", "s")
	rest := b.next
	if isPrefill {
		rest = `{"handle_id":"h2"}`
	}
	if strings.HasPrefix(rest, "id:") {
		w.Header().Set("Content-Type", stream.ContentType)
	}
	if id := r.Header.Get("Last-Event-Id"); id != "" {
		_, rest, _ = strings.Cut(rest, "id: "+id+"\n")
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	_, _ = io.WriteString(w, rest)
}

func (b *cuttingBackend) cut(w http.ResponseWriter, answer string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	endAfter(c, answer, b.ending)
}

// endAfter sends an answer and ends its connection.
func endAfter(c net.Conn, answer, ending string) {
	_, _ = io.WriteString(c, answer)
	if ending == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// unquoteLines returns the quoted strings of a test's input, one a line.
func unquoteLines(t *testing.T, d *datadriven.TestData) []string {
	t.Helper()
	var list []string
	for line := range strings.Lines(d.Input) {
		text, err := strconv.Unquote(strings.TrimSpace(line))
		if err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
		list = append(list, text)
	}
	return list
}

// cutAnywhere returns what a caller gets, from how many bytes of an answer on.
func cutAnywhere(answer string, get func(cut, ending string) string) string {
	out := ""
	for _, ending := range []string{"close", "reset"} {
		last := ""
		for n := range len(answer) + 1 {
			if got := get(answer[:n], ending); got != last {
				out, last = out+fmt.Sprintf("%s after %d: %s\n", ending, n, got), got
			}
		}
	}
	return out
}

// A server that stopped in the head of its answer left callers with a success that looked whole.
func TestAnswerCutAtAnyByteDoesNotLookWhole(t *testing.T) {
	datadriven.RunTest(t, "testdata/cut", func(t *testing.T, d *datadriven.TestData) string {
		list := unquoteLines(t, d)
		next, answers := list[len(list)-1], list[:len(list)-1]
		earlier, answer := answers[:len(answers)-1], answers[len(answers)-1]
		return cutAnywhere(answer, func(cut, ending string) string {
			for {
				b := &cuttingBackend{answers: append(slices.Clone(earlier), cut), next: next, ending: ending}
				var f *inflightCall
				if b.prefill = d.Cmd == "prefill"; b.prefill {
					f = newSplitCall(t, b, 2, 1)
				} else {
					var kind string
					d.ScanArgs(t, "route", &kind)
					f = newScriptedCall(t, b, kind, "v1", "v1")
				}
				f.route.LatencyTarget, f.route.GapTarget = f.route.Timeout, f.route.Timeout
				got := strings.TrimSpace(deliverTo(t, f)) + fmt.Sprintf(", asked %d", b.asked)
				if f.meter.Value("conn.dial_failed") == 0 { // else the machine stood still in a dial
					return strings.Join(append([]string{got}, b.handles...), " ")
				}
			}
		})
	})
}
