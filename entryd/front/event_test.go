package front

import (
	"net/http"
	"testing"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/request/answer"
	"verbenahaven.example/entryd/infer"
)

// discardWriter is a ResponseWriter that drops what is written, at no cost.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkEvent measures the handling of one streamed token: decode, check,
// encode, write.
func BenchmarkEvent(b *testing.B) {
	s := newSink(&discardWriter{http.Header{}}, "entry1-abc-1", engine.PathChat)
	s.setRequest(&engine.Request{Model: "counter", Stream: true})
	data := []byte(`{"id":"entry1-abc-1-1","object":"chat.completion.chunk","model":"spec","attempt":"entry1-abc-1-1","token":0,"choices":[{"index":0,"delta":{"role":"assistant","content":"w0815 "}}]}`)
	var a answer.Assembler
	a.StartAttempt("entry1-abc-1-1")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e, err := infer.DecodeEvent(data)
		if err != nil {
			b.Fatal(err)
		}
		e.Token = i
		if a.Add(e) != answer.Deliver {
			b.Fatal("not delivered")
		}
		if err := s.Token(e, false); err != nil {
			b.Fatal(err)
		}
	}
}
