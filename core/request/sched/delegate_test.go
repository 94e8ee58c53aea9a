package sched_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/version/state"
)

func members(n int) []state.Member {
	list := make([]state.Member, 0, n)
	for i := range n {
		list = append(list, state.Member{Name: fmt.Sprint("entry", i), LinkAddress: fmt.Sprintf("10.0.0.%d:1", i), Centre: string(rune('a' + i%5)), Phase: state.PhaseServing})
	}
	return list
}

// All instances choose the same broker, one of their own data centre, and
// another one once it leaves.
func TestBrokerOfDataCentre(t *testing.T) {
	list := members(200)
	first, ok := sched.Broker(list, "b")
	if !ok || first.Centre != "b" {
		t.Fatalf("broker %+v", first)
	}
	for i := range list {
		if list[i].Name == first.Name {
			list[i].Phase = state.PhaseLeaving
		}
	}
	if next, ok := sched.Broker(list, "b"); !ok || next.Name == first.Name || next.Centre != "b" {
		t.Fatalf("broker %+v after %s began to leave", next, first.Name)
	}
	if m, ok := sched.Broker(list, "nowhere"); ok {
		t.Fatalf("broker %+v of a data centre without instances", m)
	}
}

// A silent broker delays only a few requests, and is asked again once it may be
// back.
func TestSilentBrokerIsLeftAlone(t *testing.T) {
	var d sched.Delegate
	now := time.Unix(1000, 0)
	if _, ok := d.Broker(now); ok || d.Relies() {
		t.Fatal("a broker is asked though there is none")
	}
	d.SetBroker("10.0.0.1:1")
	asked := 0
	for range 4000 { // a request each millisecond
		if _, ok := d.Broker(now); ok {
			asked++
			d.Record(now, false)
		}
		now = now.Add(time.Millisecond)
	}
	if asked < 3 || asked > 8 {
		t.Errorf("a broker that is silent for 4 s was asked %d times", asked)
	}
	if d.Relies() {
		t.Error("the instance relies on a silent broker")
	}
	now = now.Add(2 * time.Second)
	if _, ok := d.Broker(now); !ok {
		t.Error("a broker isn't asked again 2 s later")
	}
	d.Record(now, true)
	if _, ok := d.Broker(now); !ok || !d.Relies() {
		t.Error("a broker that answers again isn't relied on")
	}
	d.Record(now, false)
	d.SetBroker("10.0.0.2:1")
	if _, ok := d.Broker(now); !ok {
		t.Error("a new broker isn't asked because the old one was silent")
	}
}
