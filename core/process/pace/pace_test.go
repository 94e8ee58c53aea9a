package pace_test

import (
	"fmt"
	"time"

	"verbenahaven.example/core/process/pace"
)

func Example() {
	b := pace.NewBackoff(20*time.Millisecond, 100*time.Millisecond)
	fmt.Println(b.Pause(0.5))
	for range 4 {
		b.Fail()
		fmt.Println(b.Pause(0), b.Pause(0.5), b.Pause(1))
	}
	b.Reset()
	fmt.Println(b.Pause(0.5))
	// Output:
	// 0s
	// 10ms 20ms 30ms
	// 20ms 40ms 60ms
	// 40ms 80ms 120ms
	// 50ms 100ms 150ms
	// 0s
}
