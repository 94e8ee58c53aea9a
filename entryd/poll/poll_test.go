package poll_test

import (
	"fmt"
	"time"

	"verbenahaven.example/entryd/poll"
)

func ExampleInterval() {
	fmt.Println(poll.Interval(200*time.Millisecond, 60, 12))
	fmt.Println(poll.Interval(200*time.Millisecond, 60, 910))
	// Output:
	// 200ms
	// 15.166666666s
}
