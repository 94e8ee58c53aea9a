package lang_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
)

// testData returns the state that the scripts query.
func testData() lang.Data {
	at := time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)
	return lang.Data{
		View: state.View{
			Services: []state.Service{
				{Name: "verdict", Kind: state.KindModel, Model: "spec", Revision: "3", Class: state.ClassBatch, Deadline: 30 * time.Second, Version: 4},
				{Name: "counter", Kind: state.KindModel, Model: "spec", Class: state.ClassFirst, Deadline: 5 * time.Second, FirstTokenDeadline: 760 * time.Millisecond, Version: 5},
				{Name: "permit", Kind: state.KindPlain, Class: state.ClassFirst, Deadline: 2 * time.Second, AtMostOnce: true, Version: 6},
			},
			Models: []state.Model{{Name: "spec", Revision: "3", Adapters: []string{"facade", "panel"}, Version: 3}},
			Engines: []state.Engine{
				{Name: "e1", URL: "http://127.0.0.1:7701", Centre: "north", Role: state.RolePrefill, Model: "spec", Phase: state.PhaseServing, ChecksFencing: true, Version: 10},
				{Name: "e2", URL: "http://127.0.0.1:7702", Centre: "south", Role: state.RoleDecode, Model: "spec", Phase: state.PhaseLeaving, Version: 9},
				{Name: "e10", URL: "http://127.0.0.1:7710", Centre: "north", Role: state.RoleDecode, Model: "spec", Phase: state.PhaseServing, ChecksFencing: true, Version: 11},
			},
			Accounts: []state.Account{{Name: "clerk", TokenDigest: "ab", TokensPerSecond: 900, RequestsPerSecond: 20, Version: 2}},
			Strikes:  []state.Strike{{Fingerprint: "f00d", LostEngines: []string{"e1", "e2"}, ExpiresAt: at.Add(time.Hour), Version: 12}},
		},
		Orders: []state.Order{
			{Number: 7, Engine: "e1", FencingToken: 3, Role: state.RolePrefill, Reason: "surge", Status: "done", OpenedAt: at},
			{Number: 8, Engine: "e2", FencingToken: 3, Role: state.RoleDecode, Status: "open", OpenedAt: at.Add(time.Minute)},
		},
		Decisions: []state.Decision{{Number: 3, At: at, Engine: "e1", Observed: "queue 9000", Considered: "gain 4 over price 1", Chosen: "prefill"}},
	}
}

func TestScripts(t *testing.T) {
	d := testData()
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, c *datadriven.TestData) string {
			switch c.Cmd {
			case "parse":
				return formatParsed(c.Input)
			case "ask":
				return formatAnswer(c.Input, func(s lang.Statement) (proto.Table, error) { return lang.Ask(d, s) })
			case "explain":
				return formatAnswer(c.Input, func(s lang.Statement) (proto.Table, error) { return lang.Explain(d, s) })
			default:
				return "unknown command " + c.Cmd
			}
		})
	})
}

// formatParsed parses a text and prints each statement in its canonical form.
func formatParsed(text string) string {
	list, err := lang.Parse(text)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, s := range list {
		_, changes := s.Change()
		fmt.Fprintf(&b, "%d: %s", s.Line(), s)
		if changes {
			b.WriteString(" (change)")
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func formatAnswer(text string, answer func(lang.Statement) (proto.Table, error)) string {
	s, err := lang.ParseOne(text)
	if err != nil {
		return err.Error()
	}
	table, err := answer(s)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	b.WriteString(strings.Join(table.Columns, " | ") + "\n")
	for _, row := range table.Rows {
		b.WriteString(strings.Join(row, " | ") + "\n")
	}
	return b.String()
}
