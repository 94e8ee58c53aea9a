package relay

import (
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/request/strike"
)

// toldBroker records the events that a broker is told.
type toldBroker struct {
	Broker

	link   []string
	events []proto.PlaceEvent
}

func (b *toldBroker) Tell(link string, e *proto.PlaceEvent) {
	b.link = append(b.link, link)
	b.events = append(b.events, *e)
}

// newLossyFleet returns a fleet of one prefill and one decode engine.
func newLossyFleet(t *testing.T) (*Fleet, *toldBroker) {
	t.Helper()
	f := newTestCall(t, clock.System()).fleet
	b := &toldBroker{}
	f.broker = b
	return f, b
}

func places(t *testing.T, f *Fleet) bool {
	t.Helper()
	r := &sched.Request{TimeLeft: time.Second}
	call := newTestCall(t, clock.System())
	r.ID, r.Pool, r.Prompt = "x", "m", call.call.Prompt
	_, err := f.local.Decide(f.clock.Now(), r)
	f.local.Apply(f.clock.Now(), &proto.PlaceEvent{Kind: proto.PlaceEnded, ID: "x"})
	return err == nil
}

// A cut instance reported engines as lost that its neighbours could reach, to its
// broker or, if it was the broker, to itself.
func TestCutInstanceWithdrawsLosses(t *testing.T) {
	for _, link := range []string{"10.0.0.9:1", ""} {
		f, b := newLossyFleet(t)
		before := &ticket{fleet: f, id: "1", broker: link}
		before.engineFailed("p", true)
		since := f.clock.Now()
		time.Sleep(time.Millisecond)
		(&ticket{fleet: f, id: "2", broker: link}).engineFailed("d", true)
		(&ticket{fleet: f, id: "3", broker: link}).engineFailed("d", false)
		b.events, b.link = nil, nil
		if f.withdrawLosses(""); len(b.events) > 0 || places(t, f) {
			t.Fatal("withdrawn without a doubt about the path")
		}
		f.SetPathEvidence(doubts{since: since, losses: true})
		for range 2 { // the second call has nothing to withdraw
			f.withdrawLosses("")
		}
		if !places(t, f) {
			t.Fatal("the decode engine is still ejected here")
		}
		if link == "" {
			if len(b.events) > 0 {
				t.Fatalf("told %+v", b.events)
			}
			continue
		}
		if len(b.events) != 1 || b.link[0] != link || b.events[0].Kind != proto.PlaceReachable || b.events[0].Engine != "d" || b.events[0].ID == "" {
			t.Fatalf("told %v %+v", b.link, b.events)
		}
	}
}

// What a cut instance withdraws is placed again by its broker, but not what
// another instance reported.
func TestBrokerPlacesAfterWithdrawal(t *testing.T) {
	for _, others := range []bool{false, true} {
		cut, told := newLossyFleet(t)
		broker, _ := newLossyFleet(t)
		(&ticket{fleet: cut, id: "1", broker: "10.0.0.9:1"}).engineFailed("d", true)
		cut.SetPathEvidence(doubts{losses: true})
		cut.withdrawLosses("")
		if others {
			told.events = slices.Insert(told.events, 1, proto.PlaceEvent{Kind: proto.PlaceLost, ID: "2", Engine: "d", Sender: "b"})
		}
		for i := range told.events {
			if told.events[i].Sender == "" {
				told.events[i].Sender = "a"
			}
			broker.Apply(&told.events[i])
		}
		if places(t, broker) == others {
			t.Fatalf("placed %v with a report of another instance %v", !others, others)
		}
	}
}

func TestLossReportsAreBounded(t *testing.T) {
	var l lossReports
	now := time.Unix(1000, 0)
	for i := range 3 * maxLossReports {
		l.add(now, lossReport{engine: time.Duration(i).String()})
	}
	if len(l.times) != maxLossReports {
		t.Fatalf("%d reports", len(l.times))
	}
	if list := l.take(now.Add(2*lossMemory), now, ""); len(list) != 0 || len(l.times) != 0 {
		t.Fatalf("took %d, %d left", len(list), len(l.times))
	}
}

// doubts is evidence against the path since a time.
type doubts struct {
	since  time.Time
	losses bool // may be due to the path too
}

func (d doubts) EvidenceSince(time.Time, string) (time.Time, bool) { return d.since, true }
func (d doubts) DoubtsLosses(time.Time, string) bool               { return d.losses }

// An instance whose connections to all engines broke held the losses against the
// requests and the engines. Other requests with the same parts were then refused.
func TestLossOnDoubtfulPathIsNotHeldAgainstServer(t *testing.T) {
	unsent := func(f *inflightCall) error {
		_, err := f.pool.Do(t.Context(), closedAddress(t), &httpc.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		return err
	}
	broken := func(*inflightCall) error { return io.ErrUnexpectedEOF }
	for _, c := range []struct {
		name     string
		evidence pathEvidence
		failure  func(*inflightCall) error
		counted  bool // as a loss under the request
		ejected  bool
	}{
		{"sound path", nil, broken, true, true},
		{"sound path, dial refused", nil, unsent, false, true},
		{"doubtful path", doubts{losses: true}, broken, false, false},
		{"doubtful path, dial refused", doubts{}, unsent, false, false},
		{"only dials doubtful", doubts{}, broken, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestCall(t, clock.System())
			pool, cleanup := httpc.New(f.meter)
			t.Cleanup(cleanup)
			f.pool, f.log = pool, slog.New(slog.DiscardHandler)
			f.pass = f.screen.Begin("1", strike.RequestCause("r"), strike.PartCauses([]string{"shared"}))
			f.fleet.SetPathEvidence(c.evidence)
			f.recordEngineLoss(t.Context(), &ticket{fleet: f.fleet, id: "1"}, "d", "10.0.0.2:1", false, c.failure(f))
			if counted := f.meter.Value("screen.lost") > 0; counted != c.counted {
				t.Errorf("counted against the request: %v", counted)
			}
			if ejected := !places(t, f.fleet); ejected != c.ejected {
				t.Errorf("engine ejected: %v", ejected)
			}
			if !slices.Contains(f.avoid, "d") {
				t.Error("the call may use the engine again")
			}
		})
	}
}
