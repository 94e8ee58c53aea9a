package link

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Each line of testdata/redial is an event; the result is the range of the next pause.
func TestRedial(t *testing.T) {
	datadriven.RunTest(t, "testdata/redial", func(t *testing.T, d *datadriven.TestData) string {
		limits := map[string]time.Duration{"usual": maxDialPause, "urgent": maxUrgentPause}
		r := newRedial(limits[d.Cmd])
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			rested := applyDial(t, &r, fields)
			fmt.Fprintf(&out, "%s: %v to %v, silent after %v\n", strings.Join(fields, " "), r.pause(0, rested), r.pause(1, rested), r.silenceTimeout())
		}
		return out.String()
	})
}

// applyDial applies an event and returns the time that has passed since the one before.
func applyDial(t *testing.T, r *redial, fields []string) (rested time.Duration) {
	t.Helper()
	duration := func() time.Duration {
		d, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	switch fields[0] {
	case "rest":
		return duration()
	case "ended":
		r.ended(duration(), len(fields) > 2)
	default:
		n := 1
		if len(fields) > 1 {
			n, _ = strconv.Atoi(fields[1])
		}
		for range n {
			r.attempted(dialResult(fields[0]))
		}
	}
	return 0
}

func TestGateKeepsRoomForPreferredPeers(t *testing.T) {
	var g gate
	if g.busy() {
		t.Error("busy without handshakes")
	}
	var leave []func()
	enter := func(preferred bool) (entered int) {
		for range 1000 {
			if f, ok := g.enter(preferred); ok {
				leave = append(leave, f)
				entered++
			}
		}
		return entered
	}
	if others, preferred := enter(false), enter(true); others != maxHandshakes || preferred != maxPreferredHandshakes || !g.busy() {
		t.Errorf("%d others and %d preferred entered", others, preferred)
	}
	for _, f := range leave {
		f()
	}
	if others := enter(false); others != maxHandshakes {
		t.Errorf("%d entered after all had left", others)
	}
}

// Where instances share the members' machines all are preferred, and had the few places of members only.
func TestGateGivesPreferredPeersAllPlaces(t *testing.T) {
	var g gate
	entered := 0
	for range 1000 {
		if _, ok := g.enter(true); ok {
			entered++
		}
	}
	if entered != maxHandshakes+maxPreferredHandshakes {
		t.Errorf("%d preferred entered an idle gate", entered)
	}
}
