package leave_test

import (
	"fmt"

	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/version/state"
)

func ExampleRetryAfter() {
	self := state.Member{Name: "entry1", Phase: state.PhaseLeaving}
	other := state.Member{Name: "entry2", Phase: state.PhaseServing}
	leaving := state.Member{Name: "entry3", Phase: state.PhaseLeaving}
	fmt.Println(leave.RetryAfter("entry1", []state.Member{self, other, leaving}))
	fmt.Println(leave.RetryAfter("entry1", []state.Member{self, leaving}))
	// Output:
	// 10ms
	// 1s
}
