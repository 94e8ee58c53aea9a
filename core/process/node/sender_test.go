package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"testing"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/quorum"
)

// A member that had met 56 instances in its life sent nothing to the next one.
func TestMemberSendsToInstancesBeyondMaxSenders(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	n := &Node{
		settings: Settings{OpenMembership: true}, clock: clock.System(), meter: meter.New(), senders: make(map[string]*sender),
		tlsConfig: &tls.Config{}, //nolint:gosec // nothing answers
	}
	defer n.goroutines.Wait()
	defer cancel()
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", 20000+i) }
	for i := range 2 * maxSenders {
		n.enqueueMessage(ctx, quorum.Message{To: address(i)})
		n.enqueueMessage(ctx, quorum.Message{To: address(0)})
	}
	if dropped := n.meter.Value("raft", "dropped", "unknown_peer"); dropped > 0 || len(n.senders) != maxSenders {
		t.Errorf("%d messages dropped, %d senders", dropped, len(n.senders))
	}
	if n.senders[address(0)] == nil || n.senders[address(2*maxSenders-1)] == nil {
		t.Error("a sender in use was stopped")
	}
}
