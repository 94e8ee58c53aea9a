package store_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

func encodedSize(tb testing.TB, v state.View) float64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(b))
}

func BenchmarkSnapshotView(b *testing.B) {
	for _, n := range [][2]int{{12, 10}, {455, 950}, {910, 1900}} {
		b.Run(fmt.Sprintf("engines=%d/accounts=%d", n[0], n[1]), func(b *testing.B) {
			l := newLog(b)
			declareFleet(l, n[0], n[1])
			bytes := encodedSize(b, l.store.View(0))
			b.ReportAllocs()
			for range b.N {
				l.store.Read(func(s *state.State, _ *ledger.Ledger) { _, _ = cbor.Marshal(s.View(0)) })
			}
			b.ReportMetric(bytes, "bytes/view")
		})
	}
}

func BenchmarkDeltaView(b *testing.B) {
	l := newLog(b)
	declareFleet(l, 910, 1900)
	since := l.store.View(0).Version
	l.apply(store.Command{Update: &state.Update{Operator: "x", Number: 1, Changes: []state.Change{
		{Verb: state.VerbDrain, Noun: state.NounEngine, Name: "engine5"},
	}}})
	bytes := encodedSize(b, l.store.View(since))
	b.ReportAllocs()
	for range b.N {
		l.store.Read(func(s *state.State, _ *ledger.Ledger) { _, _ = cbor.Marshal(s.View(since)) })
	}
	b.ReportMetric(bytes, "bytes/view")
}

func BenchmarkApply(b *testing.B) {
	commandsByName := map[string]func(i int) store.Command{
		"change": func(i int) store.Command {
			verb := []state.Verb{state.VerbDrain, state.VerbDeclare}[i%2]
			return store.Command{Update: &state.Update{Operator: "x", Number: uint64(i + 1), Changes: []state.Change{
				{Verb: verb, Noun: state.NounEngine, Name: "engine5"},
			}}}
		},
		"begin": func(i int) store.Command {
			return store.Command{RunOnce: &proto.OnceRequest{
				Step: proto.OnceBegin, Account: "a", Service: "s", Key: fmt.Sprint(i), Fingerprint: "f", Attempt: "t", Holder: "h",
			}}
		},
	}
	for name, newCommand := range commandsByName {
		b.Run(name, func(b *testing.B) {
			l := newLog(b)
			declareFleet(l, 910, 1900)
			commands := make([][]byte, b.N)
			for i := range commands {
				c, err := store.Encode(newCommand(i), time.Unix(100, 0))
				if err != nil {
					b.Fatal(err)
				}
				commands[i] = c
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i, c := range commands {
				l.store.Apply(uint64(i)+10, c)
			}
		})
	}
}
