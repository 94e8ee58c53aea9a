package check

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1_800_000_000, 0)

// validRecord returns a record without a violation.
func validRecord() *Record {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	return &Record{
		PropagationLimit: 8 * time.Second,
		Chats: []Chat{{
			Entry: "entry1", At: at(0), End: at(1), Model: "m", Prompt: "p", Want: 2, Complete: true,
			Tokens: []string{inject.Token("m", "p", 0, 0), inject.Token("m", "p", 0, 1)},
		}},
		OnceCalls: []OnceCall{{CallID: "a/k", Attempts: []Attempt{
			{Execution: "not_run"}, {Status: 200, Body: "done"}, {Status: 200, Body: "done"},
		}}},
		Readings: []VersionReading{{Entry: "entry1", At: at(0), Version: 3}, {Entry: "entry1", At: at(20), Version: 9}},
		Commands: []AcceptedCommand{{Operator: "o", Number: 1, Text: "t", At: at(5), Version: 9}, {Operator: "o", Number: 1, Text: "t", At: at(6), Version: 9}},
		Engines: map[string][]inject.Record{"engine1": {
			{Kind: inject.RecordOrder, Order: &state.Order{Number: 1}, Accepted: true},
			{Kind: inject.RecordApplied, Order: &state.Order{Number: 1}},
			{Kind: inject.RecordCrash},
			{Kind: inject.RecordAborted, Attempt: "x"},
			{Kind: inject.RecordRestart},
		}},
		PlainServers: map[string][]inject.Record{"plain1": {{Kind: inject.RecordExecuted, Call: "a/k"}}},
	}
}

// TestRules corrupts one part of a valid record at a time and expects exactly
// one violation, of the rule for that part.
func TestRules(t *testing.T) {
	cases := map[string]struct {
		rule    Rule
		corrupt func(r *Record)
	}{
		"good":           {"", func(*Record) {}},
		"foreign token":  {RuleAnswer, func(r *Record) { r.Chats[0].Tokens[1] = "w" }},
		"missing token":  {RuleAnswer, func(r *Record) { r.Chats[0].Tokens = r.Chats[0].Tokens[:1] }},
		"no error body":  {RuleErrorReported, func(r *Record) { r.Chats[0].Complete = false }},
		"second run":     {RuleAtMostOnce, func(r *Record) { r.PlainServers["plain2"] = r.PlainServers["plain1"] }},
		"other answer":   {RuleAtMostOnce, func(r *Record) { r.OnceCalls[0].Attempts[2].Body = "again" }},
		"answer, no run": {RuleAtMostOnce, func(r *Record) { r.PlainServers["plain1"] = nil }},
		"false not_run":  {RuleNotRun, func(r *Record) { r.OnceCalls[0].Attempts = r.OnceCalls[0].Attempts[:1] }},
		"conflict":       {RuleConflict, func(r *Record) { r.Engines["engine1"][0].Conflict = true }},
		"order twice": {RuleConflict, func(r *Record) {
			r.Engines["engine1"] = append(r.Engines["engine1"], r.Engines["engine1"][1])
		}},
		"planned cut": {RulePlannedChange, func(r *Record) {
			r.Engines["engine1"] = append(r.Engines["engine1"], inject.Record{Kind: inject.RecordAborted})
		}},
		"revert":    {RuleVersionOrder, func(r *Record) { r.Readings[0].Version = 10 }},
		"outdated":  {RulePropagation, func(r *Record) { r.Readings[1].Version = 8 }},
		"two texts": {RuleCommandNumber, func(r *Record) { r.Commands[1].Text = "u" }},
		"two versions": {RuleCommandNumber, func(r *Record) {
			r.Commands[1].Version = 8
		}},
		"failure": {RuleOperation, func(r *Record) { r.Failures = []string{"exit 1"} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			c.corrupt(r)
			found := r.Violations()
			if c.rule == "" {
				if len(found) != 0 {
					t.Fatalf("violations %v, want none", found)
				}
				return
			}
			if len(found) != 1 || found[0].Rule() != c.rule {
				t.Fatalf("violations %v, want one of rule %s", found, c.rule)
			}
		})
	}
}

// TestPropagationSkipsFaultedInstance expects no violation for an outdated
// instance that was under a fault, but one if it recovered long ago.
func TestPropagationSkipsFaultedInstance(t *testing.T) {
	r := validRecord()
	r.Readings[1].Version = 8
	r.FaultSpans = []FaultSpan{{Name: "entry1", From: start.Add(15 * time.Second), To: start.Add(16 * time.Second)}}
	if found := r.Violations(); len(found) != 0 {
		t.Fatalf("violations %v, want none", found)
	}
	r.FaultSpans[0].From, r.FaultSpans[0].To = start, start.Add(time.Second)
	if found := r.Violations(); len(found) != 1 {
		t.Fatalf("violations %v, want one", found)
	}
}
