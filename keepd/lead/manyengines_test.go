package lead_test

import (
	"fmt"
	"slices"
	"testing"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

func (f *fakeFleet) askedEngines() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.asked)
}

// Of hundreds of engines the last ones never got their turn, since each round began with the first.
func TestReportsOfAllEnginesAreRead(t *testing.T) {
	for _, silent := range []int{0, 40} {
		f := newFakeFleet(300)
		f.fail(silent, true)
		b := newDiscoveringLeader(t, nil, f)
		b.waitFor(t, "reports of all engines", func() bool { return f.askedEngines() == len(f.engines) })
	}
}

// With thousands of engines the work at all of them in each reply cost more than the callers'
// answers were worth. Builds that don't name a revision still get all of it.
func TestRepliesToBrokersCarryChangedWorkOnly(t *testing.T) {
	b := newDiscoveringLeader(t, nil, newFakeFleet(1))
	beat := func(name string, revision uint64, work []proto.EngineWork) proto.HeartbeatReply {
		q := heartbeat(name, state.PhaseServing)
		q.OwnWork, q.WorkRevision = slices.Clone(work), revision
		reply, err := b.Heartbeat(t.Context(), name, q)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	work := make([]proto.EngineWork, 3000)
	for i := range work {
		work[i] = proto.EngineWork{Engine: fmt.Sprintf("engine%04d", i), Streams: 1 + i%7}
	}
	beat("broker1", 0, work)
	first := beat("broker2", 0, nil)
	if first.WorkRevision == 0 || len(first.OtherWork) != len(work) {
		t.Fatalf("revision %d with the work of %d engines, want all %d", first.WorkRevision, len(first.OtherWork), len(work))
	}
	work[7].Streams++
	beat("broker1", 0, work[:2999])
	if r := beat("broker2", first.WorkRevision, nil); len(r.OtherWork) != 1 || len(r.WorkGone) != 1 || r.WorkBase != first.WorkRevision {
		t.Errorf("the work of %d engines, %d gone, since revision %d, want 1, 1, %d", len(r.OtherWork), len(r.WorkGone), r.WorkBase, first.WorkRevision)
	}
	if r := beat("broker2", 0, nil); len(r.OtherWork) != 2999 || r.WorkBase != 0 {
		t.Errorf("the work of %d engines since revision %d, want 2999 since 0", len(r.OtherWork), r.WorkBase)
	}
}
