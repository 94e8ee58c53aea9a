// Package safe keeps a process alive when the handling of one message from outside
// panics. It belongs at the boundary, around the handling of a single message whose
// state isn't replicated: a broken invariant of the replicated state must stop the
// process.
package safe

import (
	"fmt"
	"runtime/debug"

	"k8s.io/klog/v2"
)

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Run calls f and reports whether it returned. A panic is logged with its source, the
// peer whose message was handled, and counted.
func Run(c Counter, source, peer string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			c.Count("panic", source)
			klog.ErrorS(nil, "panic while handling a message", "source", source, "peer", peer, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
	}()
	f()
	return true
}
