package reach_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/request/reach"
)

var start = time.Unix(1_000_000, 0)

// Each command of testdata/scripts gets its time in milliseconds first. The
// result is the state after it and the probes that are then due.
func TestScripts(t *testing.T) {
	var d *reach.Detector
	datadriven.RunTest(t, "testdata/scripts", func(t *testing.T, td *datadriven.TestData) string {
		if td.Cmd == "servers" {
			d = reach.New()
			d.SetServers(strings.Fields(td.Input))
			return "ok"
		}
		var out strings.Builder
		for line := range strings.Lines(td.Input) {
			runLine(t, d, strings.Fields(line), &out)
		}
		return out.String()
	})
}

func runLine(t *testing.T, d *reach.Detector, fields []string, out *strings.Builder) {
	t.Helper()
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(at)
	for _, event := range fields[1:] {
		kind, address, _ := strings.Cut(event, ":")
		apply(t, d, now, kind, address)
	}
	fmt.Fprintf(out, "%s", fields[0])
	if d.Suspicious(now) {
		since, _ := d.EvidenceSince(now)
		fmt.Fprintf(out, " suspicious since %s", since.Sub(start))
	}
	switch {
	case d.Cut(now) && d.DoubtsLosses(now):
		out.WriteString(" cut")
	case d.DoubtsLosses(now):
		out.WriteString(" doubts losses")
	}
	for a, due := d.NextProbe(now); due; a, due = d.NextProbe(now) {
		fmt.Fprintf(out, " probe:%s", a)
	}
	out.WriteString("\n")
}

func apply(t *testing.T, d *reach.Detector, now time.Time, kind, address string) {
	t.Helper()
	switch kind {
	case "dialling":
		d.Dialling(now, address)
	case "dialled":
		d.Dialled(now, address, true)
	case "refused":
		d.Dialled(now, address, false)
	case "sent":
		d.Sent(now, address)
	case "heard":
		d.Heard(now, address)
	case "ended":
		d.Ended(now, address, false)
	case "broke":
		d.Ended(now, address, true)
	case "reached":
		d.Probed(now, address, true)
	case "failed":
		d.Probed(now, address, false)
	case "nothing":
	default:
		t.Fatalf("unknown event %q", kind)
	}
}
