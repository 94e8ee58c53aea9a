package lead_test

import "testing"

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
