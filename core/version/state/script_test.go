package state_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
)

// TestScripts runs the commands in testdata. Each command that changes the state
// takes one log index; view and orders only print:
//
//	update operator=NAME number=N [expect=V] [term=T]   statements
//	adopt number=N term=T
//	finish number=N status=STATUS
//	release NOUN NAME
//	join NAME PHASE | lose NAME | hit FINGERPRINT ENGINE [after=DURATION] | clear FINGERPRINT
//	view since=V                                        names and versions
//	orders
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := state.New()
		now := time.Unix(1000, 0)
		index := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "view" || d.Cmd == "orders" {
				return printState(t, s, d)
			}
			var after string
			if d.MaybeScanArgs(t, "after", &after) {
				elapsed, err := time.ParseDuration(after)
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(elapsed)
			}
			index++
			s.BeginCommand(index, now)
			return execute(t, s, d)
		})
	})
}

func execute(t *testing.T, s *state.State, d *datadriven.TestData) string {
	var number, term, expect uint64
	d.MaybeScanArgs(t, "number", &number)
	d.MaybeScanArgs(t, "term", &term)
	d.MaybeScanArgs(t, "expect", &expect)
	switch d.Cmd {
	case "update":
		var operator string
		d.ScanArgs(t, "operator", &operator)
		return update(s, state.Update{Operator: operator, Number: number, ExpectedVersion: expect}, term, d.Input)
	case "adopt":
		o, err := s.AdoptOrder(number, term)
		return formatResult(err, "fence %d", o.FencingToken)
	case "finish":
		var status string
		d.ScanArgs(t, "status", &status)
		return formatResult(s.CloseOrder(number, status, ""), "version %d", s.Version())
	case "release":
		return formatResult(s.AdvanceRemoval(state.Noun(d.CmdArgs[0].Key), d.CmdArgs[1].Key), "version %d", s.Version())
	case "join":
		m, err := s.Join(state.Member{Name: d.CmdArgs[0].Key, Kind: state.MemberEntry, Phase: state.Phase(d.CmdArgs[1].Key)})
		return formatResult(err, "%s", m.Phase)
	case "lose":
		s.MarkLost(d.CmdArgs[0].Key)
	case "hit":
		return fmt.Sprintf("engines %d", len(s.AddStrike(d.CmdArgs[0].Key, d.CmdArgs[1].Key).LostEngines))
	case "clear":
		s.ClearStrikes(d.CmdArgs[0].Key)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return "ok"
}

func update(s *state.State, u state.Update, term uint64, text string) string {
	statements, err := lang.Parse(text)
	if err != nil {
		return "parse: " + err.Error()
	}
	for _, statement := range statements {
		c, _ := statement.Change()
		u.Changes = append(u.Changes, c)
	}
	o := s.Update(u, term)
	out := fmt.Sprintf("version %d", o.Version)
	if o.Code != state.CodeAccepted {
		out += fmt.Sprintf(" %s: %s", o.Code, o.Text)
	}
	if o.Replayed {
		out += " (replayed)"
	}
	return out
}

func formatResult(err error, format string, args ...any) string {
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprintf(format, args...)
}

func printState(t *testing.T, s *state.State, d *datadriven.TestData) string {
	var b strings.Builder
	if d.Cmd == "orders" {
		for _, o := range append(s.ClosedOrders(), s.OpenOrders()...) {
			fmt.Fprintf(&b, "%d %s %s fence %d term %d\n", o.Number, o.Engine, o.Status, o.FencingToken, o.Term)
		}
		return b.String()
	}
	var since uint64
	d.MaybeScanArgs(t, "since", &since)
	v := s.View(since)
	fmt.Fprintf(&b, "version %d since %d\n", v.Version, v.Since)
	for _, e := range v.Engines {
		fmt.Fprintf(&b, "engine %s %s %s %d\n", e.Name, e.Role, e.Phase, e.Version)
	}
	for _, e := range v.Servers {
		fmt.Fprintf(&b, "server %s %s %d\n", e.Name, e.Phase, e.Version)
	}
	for _, m := range v.Members {
		fmt.Fprintf(&b, "member %s %s %d\n", m.Name, m.Phase, m.Version)
	}
	for _, m := range v.Strikes {
		fmt.Fprintf(&b, "strike %s %d %d\n", m.Fingerprint, len(m.LostEngines), m.Version)
	}
	for _, r := range v.Removed {
		fmt.Fprintf(&b, "removed %s %s %d\n", r.Noun, r.Name, r.Version)
	}
	return b.String()
}
