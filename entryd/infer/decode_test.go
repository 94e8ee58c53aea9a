package infer

import (
	"testing"

	"verbenahaven.example/core/request/answer"
)

func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"attempt":"a","token":0,"choices":[{"delta":{"content":"x"}}]}`,
		`{"attempt":"a","token":0,"choices":[{"text":"x","finish_reason":"stop"},{}]}`,
		`{"token":-1}`, `{"token":1e9}`, `null`, `{`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := DecodeEvent(b)
		if err != nil {
			return
		}
		var a answer.Assembler
		a.StartAttempt("a")
		if got := a.Add(e); (got == answer.Deliver || got == answer.Hold) && (e.Attempt != "a" || e.Token != 0) {
			t.Fatalf("%s: %+v", got, e)
		}
	})
}
