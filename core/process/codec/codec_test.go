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
	var back report
	_ = codec.Unmarshal(b, &back)
	fmt.Println(back.At.Equal(at))
	// Output: true
}
