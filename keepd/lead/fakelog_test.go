package lead_test

import (
	"context"
	"testing"
	"time"

	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// A reader of the store that asks for the lease must get it while a proposal
// waits for the store.
func TestFakeLogGivesLeaseDuringProposal(t *testing.T) {
	s := store.New()
	f := &fakeLog{store: s, term: 1, lease: time.Second}
	command, err := store.Encode(store.Command{}, time.Unix(1000, 0))
	if err != nil {
		t.Fatal(err)
	}
	leased := make(chan struct{})
	s.Read(func(*state.State, *ledger.Ledger) {
		go func() { _, _ = f.Propose(context.Background(), command) }()
		time.Sleep(50 * time.Millisecond) // the proposal waits for the store now
		go func() {
			f.Lease()
			close(leased)
		}()
		select {
		case <-leased:
		case <-time.After(5 * time.Second):
			t.Error("no lease while a proposal waits for the store")
		}
	})
}
