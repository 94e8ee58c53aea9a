package store_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// commandLog applies commands to a store at consecutive log indexes.
type commandLog struct {
	tb    testing.TB
	store *store.Store
	index uint64
}

func (l *commandLog) apply(c store.Command) any {
	l.tb.Helper()
	l.index++
	b, err := store.Encode(c, time.Unix(int64(l.index), 0))
	if err != nil {
		l.tb.Fatal(err)
	}
	return l.store.Apply(l.index, b)
}

func newLog(tb testing.TB) *commandLog {
	tb.Helper()
	l := &commandLog{tb: tb, store: store.New()}
	l.apply(store.Command{Bootstrap: &store.Bootstrap{
		OperatorAccount: "operator", TokenDigest: "d", Ledger: ledger.Settings{TTL: time.Hour, MaxBytes: 1 << 30},
	}})
	return l
}

func declare(noun state.Noun, name string, fields ...state.Field) store.Command {
	return store.Command{Update: &state.Update{Operator: "ada", Number: uint64(len(name)), Changes: []state.Change{
		{Verb: state.VerbDeclare, Noun: noun, Name: name, Fields: fields},
	}}}
}

func TestSnapshotRestoresStateAndLedger(t *testing.T) {
	l := newLog(t)
	l.apply(declare(state.NounModel, "spec"))
	l.apply(store.Command{RunOnce: &proto.OnceRequest{Step: proto.OnceBegin, Account: "a", Service: "s", Key: "k", Attempt: "1", Holder: "h"}})
	l.apply(store.Command{ChangeStrike: &store.StrikeChange{Fingerprint: "f", Engine: "e"}})
	snapshot, err := l.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := store.New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	snapshotOfRestored, err := restored.Snapshot()
	if err != nil || !bytes.Equal(snapshot, snapshotOfRestored) {
		t.Fatalf("restored store differs: %v", err)
	}
	q := proto.OnceRequest{Account: "a", Service: "s", Key: "k"}
	if v := restored.Lookup(q).Verdict; v != proto.VerdictBusy {
		t.Fatalf("open call has verdict %s", v)
	}
	if result, ok := l.store.Apply(99, []byte{0xff}).(error); !ok {
		t.Fatalf("undecodable command returned %v, want an error", result)
	}
}

func TestWaitWakesOnChange(t *testing.T) {
	l := newLog(t)
	have := l.store.View(0).Version
	views := make(chan state.View)
	go func() { views <- l.store.WaitForChange(t.Context(), have) }()
	l.apply(store.Command{RunOnce: &proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1"}}) // changes only the ledger, which no view shows
	l.apply(declare(state.NounModel, "spec"))
	if v := <-views; v.Since != have || v.Version != l.index || len(v.Models) != 1 {
		t.Fatalf("view %+v", v)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if v := l.store.WaitForChange(ended, l.index); v.Version != l.index || len(v.Models) != 0 {
		t.Fatalf("view %+v", v)
	}
}

// declareFleet declares engines and accounts, as many as a large deployment has.
func declareFleet(l *commandLog, engines, accounts int) {
	var changes []state.Change
	add := func(noun state.Noun, name string, fields ...state.Field) {
		changes = append(changes, state.Change{Verb: state.VerbDeclare, Noun: noun, Name: name, Fields: fields})
	}
	for i := range engines {
		add(state.NounEngine, fmt.Sprint("engine", i), state.Field{Key: "url", Value: fmt.Sprintf("http://10.1.%d.%d:8000", i/256, i%256)},
			state.Field{Key: "centre", Value: "north"}, state.Field{Key: "model", Value: "model1"}, state.Field{Key: "revision", Value: "1"})
	}
	for i := range accounts {
		add(state.NounAccount, fmt.Sprint("account", i), state.Field{Key: "token", Value: fmt.Sprint("token", i)}, state.Field{Key: "tokens", Value: "1000"})
	}
	l.apply(store.Command{Update: &state.Update{Operator: "bench", Number: 1, Changes: changes}})
}

// What an earlier build took from an odd entry of the list must not end the process at each
// start, and goes with the next list.
func TestOddFleetInStateIsRestored(t *testing.T) {
	l := newLog(t)
	f := state.Fleet{}
	for i, name := range []string{"e", "e", "", "a\r\nb", strings.Repeat("x", 1<<20), "\ufffd", "s"} {
		f.Engines = append(f.Engines, state.Engine{
			Name: name, Pool: name, URL: "http://10.0.0.9:99999", Role: "train", Phase: state.PhaseServing, StartSerial: math.MinInt64 + int64(i),
		})
		f.Servers = append(f.Servers, state.Server{Name: name, Service: name, URL: "http://u@h/x:-1", Phase: "asleep"})
	}
	l.apply(store.Command{SyncFleet: &f})
	if n := len(l.store.View(0).Engines); n != 6 {
		t.Fatalf("%d engines in the state", n)
	}
	snapshot, err := l.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &commandLog{tb: t, store: store.New(), index: l.index}
	if err := restored.store.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.store.View(0), l.store.View(0); !reflect.DeepEqual(got, want) {
		t.Errorf("restored %d engines and %d servers that differ", len(got.Engines), len(got.Servers))
	}
	restored.apply(store.Command{SyncFleet: &state.Fleet{Engines: []state.Engine{{Name: "good"}}}})
	if v := restored.store.View(0); len(v.Engines) != 1 || len(v.Servers) != 0 {
		t.Errorf("%d engines and %d servers after the next list", len(v.Engines), len(v.Servers))
	}
}
