package codec_test

import (
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/process/codec"
)

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.Int64())).Draw(t, "value")
		b, err := codec.Pack(want)
		if err != nil {
			t.Fatal(err)
		}
		var got map[string][]int64
		if err := codec.Unpack(b, &got); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		for k, list := range want {
			for i, v := range list {
				if got[k][i] != v {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		}
	})
}

func FuzzUnpack(f *testing.F) {
	b, err := codec.Pack(map[string]int{"a": 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("not packed"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var v map[string]int
		_ = codec.Unpack(b, &v) // an error is fine, a panic is not
	})
}
