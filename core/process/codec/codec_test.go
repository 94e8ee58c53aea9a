package codec_test

import (
	"fmt"
	"time"

	"verbenahaven.example/core/process/codec"
)

func ExampleMarshal() {
	type report struct {
		At time.Time `cbor:"1,keyasint"`
	}
	at := time.Date(2030, 1, 2, 3, 4, 5, 678_901_234, time.UTC)
	b, _ := codec.Marshal(report{At: at})
	var decoded report
	_ = codec.Unmarshal(b, &decoded)
	fmt.Println(decoded.At.Equal(at))
	// Output: true
}
