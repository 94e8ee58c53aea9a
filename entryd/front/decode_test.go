package front

import (
	"encoding/json"
	"testing"

	"verbenahaven.example/core/conn/engine"
)

func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","prompt":"x","max_tokens":-1}`,
		`{"model":"m","messages":[],"attempt":"forged","source":"http://x","priority":-9}`,
		`{"model":1}`, `[]`, `{`, ``,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, path := range []string{engine.PathChat, engine.PathComplete} {
			r, err := DecodeRequest(b, path)
			if err != nil {
				continue
			}
			// Callers can't set the fields that the system sends to engines.
			if r.Attempt != "" || r.KVSource != "" || r.KVHandle != "" || r.Priority != 0 || r.DeliveredTokens != 0 || r.DeliveredText != "" {
				t.Fatalf("internal field set by the caller: %+v", r)
			}
			if r.Model == "" || r.MaxTokens < 0 || (len(r.Messages) == 0) == (r.Prompt == "") {
				t.Fatalf("accepted invalid request %+v", r)
			}
			if _, err := json.Marshal(r); err != nil {
				t.Fatal(err)
			}
		}
	})
}
