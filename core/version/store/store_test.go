package store_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// log applies commands one after the other.
type log struct {
	tb    testing.TB
	store *store.Store
	index uint64
}

func (l *log) do(c store.Command) any {
	l.tb.Helper()
	l.index++
	b, err := store.Encode(c, time.Unix(int64(l.index), 0))
	if err != nil {
		l.tb.Fatal(err)
	}
	return l.store.Apply(l.index, b)
}

func newLog(tb testing.TB) *log {
	tb.Helper()
	l := &log{tb: tb, store: store.New()}
	l.do(store.Command{Boot: &store.Boot{
		Account: "operator", Digest: "d", Ledger: ledger.Settings{Life: time.Hour, Bytes: 1 << 30},
	}})
	return l
}

func declare(noun state.Noun, name string, fields ...state.Field) store.Command {
	return store.Command{Update: &state.Update{Operator: "ada", Number: uint64(len(name)), Changes: []state.Change{
		{Verb: state.VerbDeclare, Noun: noun, Name: name, Fields: fields},
	}}}
}

func TestSnapshotRestoresAll(t *testing.T) {
	l := newLog(t)
	l.do(declare(state.NounModel, "spec"))
	l.do(store.Command{Once: &proto.OnceRequest{Step: proto.OnceBegin, Account: "a", Service: "s", Key: "k", Attempt: "1", Holder: "h"}})
	l.do(store.Command{Hit: &store.Hit{Fingerprint: "f", Engine: "e"}})
	image, err := l.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := store.New()
	if err := other.Restore(image); err != nil {
		t.Fatal(err)
	}
	again, err := other.Snapshot()
	if err != nil || !bytes.Equal(image, again) {
		t.Fatalf("restored store differs: %v", err)
	}
	q := proto.OnceRequest{Account: "a", Service: "s", Key: "k"}
	if v := other.Lookup(q).Verdict; v != proto.VerdictBusy {
		t.Fatalf("verdict %s", v)
	}
	if bad, ok := l.store.Apply(99, []byte{0xff}).(error); !ok {
		t.Fatalf("garbage gave %v", bad)
	}
}

func TestWaitWakesOnChange(t *testing.T) {
	l := newLog(t)
	have := l.store.View(0).Version
	got := make(chan state.View)
	go func() { got <- l.store.Wait(t.Context(), have) }()
	l.do(store.Command{Once: &proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1"}}) // shows nothing
	l.do(declare(state.NounModel, "spec"))
	if v := <-got; v.Since != have || v.Version != l.index || len(v.Models) != 1 {
		t.Fatalf("view %+v", v)
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	if v := l.store.Wait(over, l.index); v.Version != l.index || len(v.Models) != 0 {
		t.Fatalf("view %+v", v)
	}
}

// fill declares engines and accounts as a large deployment has them.
func fill(l *log, engines, accounts int) {
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
	l.do(store.Command{Update: &state.Update{Operator: "bench", Number: 1, Changes: changes}})
}
