package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	tick      = 10 * time.Millisecond
	named     = time.Second     // when the server first names its limit
	settled   = 3 * time.Second // from when on the limit must be kept
	spreading = 500 * time.Millisecond
	window    = 4 * time.Second
	simulated = 16 * time.Second
)

var epoch = time.Unix(1000, 0)

// sim plays instances that send to one limited engine, or to one limited plain server.
type sim struct {
	t         *rapid.T
	rate      float64
	plain     bool
	members   []state.Member
	tables    []*Table
	isBroker  []bool
	heardAt   []time.Time // when an instance first passed on an answer with the limit
	board     *Board
	lossShare int // of messages to brokers, in percent
	pending   []message
	arrivals  []sent
}

// message arrives at an instance: an answer of the server, or what another instance heard.
type message struct {
	at     time.Time
	to     int
	answer bool
}

type sent struct {
	at   time.Time
	from int
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, board: NewBoard()}
	s.rate = rapid.SampledFrom([]float64{0, 0.4, 1, 4.5, 9.4, 30, 120}).Draw(t, "rate")
	s.plain = rapid.Bool().Draw(t, "plain")
	s.lossShare = rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "loss")
	centres := rapid.IntRange(1, 5).Draw(t, "centres")
	for i := range rapid.IntRange(centres, 40).Draw(t, "instances") {
		s.members = append(s.members, state.Member{Name: fmt.Sprint("i", i), Centre: fmt.Sprint("c", i%centres), Phase: state.PhaseServing})
		s.isBroker = append(s.isBroker, i < centres)
	}
	s.heardAt = make([]time.Time, len(s.members))
	for i := range s.members {
		s.tables = append(s.tables, New(func(_ string, rate float64) float64 {
			if s.plain {
				return ServerShare(s.members, s.members[i], state.Server{Name: "s", Centre: "c0"}, rate)
			}
			return EngineShare(s.members, s.members[i], state.Engine{Name: "s", Centre: "c0"}, rate, s.isBroker[i])
		}))
	}
	return s
}

// send makes an instance send a request if the one that decides for it allows that.
func (s *sim) send(now time.Time, i int, brokers bool) {
	decides := i
	if !s.plain && brokers {
		decides = i % s.centres()
	}
	if s.tables[decides].Wait(now, "s") > 0 {
		return
	}
	s.tables[decides].Take("s")
	s.arrivals = append(s.arrivals, sent{now, i})
	delay := time.Duration(rapid.IntRange(5, 200).Draw(s.t, "answer ms")) * time.Millisecond
	s.pending = append(s.pending, message{now.Add(delay), i, true})
}

func (s *sim) centres() int {
	n := 0
	for _, broker := range s.isBroker {
		if broker {
			n++
		}
	}
	return n
}

// deliver hands over the messages that have arrived.
func (s *sim) deliver(now time.Time) {
	var rest []message
	for _, m := range s.pending {
		switch {
		case now.Before(m.at):
			rest = append(rest, m)
		case m.answer && now.Sub(epoch) >= named:
			if s.heardAt[m.to].IsZero() {
				s.heardAt[m.to] = now
			}
			s.tables[m.to].Hear(now, "s", true, s.rate)
			if rapid.IntRange(1, 100).Draw(s.t, "lost") > s.lossShare {
				rest = append(rest, message{now.Add(2 * time.Millisecond), m.to % s.centres(), false})
			}
		case !m.answer:
			s.tables[m.to].Learn(now, []proto.ServerLimit{{Server: "s", Limited: true, Rate: s.rate}})
		}
	}
	s.pending = rest
}

// beat exchanges what was heard with the leader.
func (s *sim) beat(now time.Time, i int) {
	s.board.Put(now, s.tables[i].Unreported(now))
	s.tables[i].MarkReported(now)
	s.tables[i].Learn(now, s.board.List(now))
}

// check checks the requests within each window from instances that had passed on the
// limit.
func (s *sim) check() {
	var counted []time.Time
	for _, a := range s.arrivals {
		heard := s.heardAt[a.from]
		if a.at.Sub(epoch) >= named+settled && !heard.IsZero() && a.at.Sub(heard) >= spreading {
			counted = append(counted, a.at)
		}
	}
	allowed := int(math.Floor(1.5*s.rate*window.Seconds())) + 5
	for i, first := 0, 0; i < len(counted); i++ {
		for counted[i].Sub(counted[first]) > window {
			first++
		}
		if n := i - first + 1; n > allowed {
			s.t.Fatalf("%d requests in %v to %v, at most %d allowed", n, window, counted[i].Sub(epoch), allowed)
		}
	}
}

// Some hear of the limit late, the leader is away or brokers are silent.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		leaderAway := rapid.IntRange(0, 5).Draw(t, "leader away, s")
		leaderLeaves := time.Duration(rapid.IntRange(0, 12000).Draw(t, "leader leaves, ms")) * time.Millisecond
		silent := time.Duration(rapid.IntRange(0, 12000).Draw(t, "brokers fall silent, ms")) * time.Millisecond
		perTick := rapid.IntRange(1, 4).Draw(t, "requests a tick")
		for at := time.Duration(0); at < simulated; at += tick {
			now := epoch.Add(at)
			s.deliver(now)
			leads := at < leaderLeaves || at > leaderLeaves+time.Duration(leaderAway)*time.Second
			for i := range s.members {
				if leads && int(at/tick)%20 == i%20 {
					s.beat(now, i)
				}
			}
			brokers := at < silent || at > silent+2*time.Second
			for range perTick {
				s.send(now, rapid.IntRange(0, len(s.members)-1).Draw(t, "instance"), brokers)
			}
		}
		s.check()
	})
}

// A server is used up to its limit, and as before once it names none.
func TestLimitedServerIsUsed(t *testing.T) {
	one := New(func(string, float64) float64 { return 1 })
	now, sent := epoch, 0
	one.Hear(now, "s", true, 10)
	for range 1000 {
		now = now.Add(tick)
		if one.Wait(now, "s") == 0 {
			one.Take("s")
			one.Hear(now, "s", true, 10)
			sent++
		}
	}
	if sent < 95 || sent > 101 {
		t.Errorf("%d requests in 10 s at a limit of 10 a second", sent)
	}
	if !one.Hear(now, "s", false, 0) || one.Wait(now, "s") != 0 {
		t.Error("limited after the end of the limit")
	}
	other := New(func(string, float64) float64 { return 0 })
	board := NewBoard()
	board.Put(now, []proto.ServerLimit{{Server: "s", Limited: true, Rate: 10, Age: time.Second}})
	other.Learn(now, board.List(now))
	if other.Wait(now, "s") != Forever {
		t.Error("an instance without a share isn't kept from the server")
	}
	board.Put(now, one.Unreported(now))
	if other.Learn(now, board.List(now)); other.Wait(now, "s") != 0 {
		t.Error("the end of the limit isn't learned from the leader")
	}
}

// A limit that is never heard of again is forgotten.
func TestOldLimitIsForgotten(t *testing.T) {
	table := New(func(string, float64) float64 { return 0 })
	table.Hear(epoch, "s", true, 10)
	if table.Wait(epoch.Add(memory), "s") == 0 || table.Wait(epoch.Add(memory+time.Second), "s") != 0 {
		t.Error("the limit doesn't hold, or holds too long")
	}
}

// Statements that were held up came after newer ones, or came twice: the newest holds, at the
// leader and at the instances.
func TestNewestStatementHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, board := epoch.Add(memory), NewBoard()
		table := New(func(string, float64) float64 { return 0 })
		newest := proto.ServerLimit{Age: memory}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(t, "ages") {
			age := time.Duration(n) * memory / 21
			l := proto.ServerLimit{Server: "s", Limited: n%3 > 0, Rate: float64(n), Age: age}
			table.Learn(now, []proto.ServerLimit{l})
			board.Put(now, []proto.ServerLimit{l})
			if age < newest.Age {
				newest = l
			}
		}
		if list := board.List(now); len(list) != 1 || list[0] != newest {
			t.Fatalf("the leader says %+v, the newest is %+v", list, newest)
		}
		if limited := table.Wait(now, "s") > 0; limited != newest.Limited {
			t.Fatalf("limited %v, the newest is %+v", limited, newest)
		}
	})
}

// What another instance said since, or a lost report, must not keep a limit from the leader.
func TestHeardLimitIsReportedUntilLeaderHasIt(t *testing.T) {
	table := New(func(string, float64) float64 { return 1 })
	table.Hear(epoch, "s", true, 10)
	table.Learn(epoch.Add(time.Millisecond), []proto.ServerLimit{{Server: "s", Limited: true, Rate: 10}})
	for range 2 { // the first report is lost
		if list := table.Unreported(epoch.Add(time.Second)); len(list) != 1 {
			t.Errorf("unreported %+v, want one", list)
		}
	}
	table.MarkReported(epoch.Add(time.Second))
	if list := table.Unreported(epoch.Add(time.Second)); len(list) != 0 {
		t.Errorf("unreported %+v after the report", list)
	}
}

// An instance that had known a limit told the leader of its end with each heartbeat, for as long
// as the server answered.
func TestEndOfLimitIsReportedOnce(t *testing.T) {
	table, now, reports := New(func(string, float64) float64 { return 1 }), epoch, 0
	table.Hear(now, "s", true, 10)
	table.MarkReported(now)
	for range 20 {
		taken := now
		reports += len(table.Unreported(taken))
		for range 5 { // answers while the heartbeat is on its way
			now = now.Add(tick)
			table.Hear(now, "s", false, 0)
		}
		table.MarkReported(taken)
	}
	if reports != 1 {
		t.Errorf("the end of a limit is in %d heartbeats", reports)
	}
}

// An instance that had heard of the end of a limit twice took a report from between for newer.
func TestLaterAnswerWithoutLimitIsNewerThanReport(t *testing.T) {
	table := New(func(string, float64) float64 { return 0 })
	table.Hear(epoch, "s", true, 10)
	table.Hear(epoch.Add(time.Second), "s", false, 0)
	table.Hear(epoch.Add(3*time.Second), "s", false, 0)
	now := epoch.Add(4 * time.Second)
	table.Learn(now, []proto.ServerLimit{{Server: "s", Limited: true, Rate: 10, Age: 2 * time.Second}})
	if table.Wait(now, "s") > 0 {
		t.Error("the limit holds, which an answer a second later didn't name")
	}
	if list := table.Unreported(now); len(list) != 1 || list[0].Age != time.Second {
		t.Errorf("unreported %+v, want the later answer", list)
	}
}
