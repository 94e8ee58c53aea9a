package notice

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
)

var epoch = time.Unix(1000, 0)

// inFlight is a request at a server of the simulation.
type inFlight struct {
	ticket *Ticket
	server string
	answer time.Time
}

// said is a statement of a simulated server, and the time of the sends that it forbids.
type said struct {
	server    string
	from, end time.Time
	leaving   bool
	sends     int
}

// A server that asked for a pause was sent more than two requests in it, and one that said
// that it is leaving was sent any, whatever else was in flight, said before, or listed for a
// moment.
func TestServersGetNoRequestsThatTheyDontWant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		table, now := New("i"), epoch
		starts := map[string]string{"a": "1", "b": "1", "c": "1"}
		table.Update(now, starts)
		names := []string{"a", "b", "c"}
		var flying []inFlight
		var statements []*said
		for range 600 {
			now = now.Add(time.Duration(random.Int64N(int64(40 * time.Millisecond))))
			for _, f := range flying {
				if f.answer.After(now) {
					continue
				}
				s := Statement{Leaving: random.IntN(60) == 0}
				if random.IntN(10) == 0 {
					s.RetryAfter = time.Duration(random.Int64N(int64(3 * time.Second)))
				}
				table.Hear(now, f.ticket, s)
				if f.ticket.record != nil {
					t.Fatal("an answer left its request in flight")
				}
				if s.Leaving {
					statements = append(statements, &said{server: f.server, from: now, end: now.Add(minLeaving), leaving: true})
				}
				if s.RetryAfter > 0 {
					statements = append(statements, &said{server: f.server, from: now.Add(500 * time.Millisecond), end: now.Add(s.RetryAfter)})
				}
			}
			flying = slices.DeleteFunc(flying, func(f inFlight) bool { return !f.answer.After(now) })
			if random.IntN(200) == 0 { // a server starts anew
				name := names[random.IntN(len(names))]
				starts[name] += "+"
				table.Update(now, starts)
				flying = slices.DeleteFunc(flying, func(f inFlight) bool { return f.server == name })
				statements = slices.DeleteFunc(statements, func(s *said) bool { return s.server == name })
				if _, err := table.Send(now, name); err != nil {
					t.Fatalf("a new start of %s is held to what the last one said: %v", name, err)
				}
			}
			switch random.IntN(100) {
			case 0: // the list leaves out a server
				shorter := maps.Clone(starts)
				delete(shorter, names[random.IntN(len(names))])
				table.Update(now, shorter)
			case 1: // it names an earlier start
				older := maps.Clone(starts)
				older[names[random.IntN(len(names))]] = "0"
				table.Update(now, older)
			case 2, 3, 4:
				table.Update(now, starts)
			}
			name := names[random.IntN(len(names))]
			if r := table.records[name]; r != nil && r.start != starts[name] {
				continue // no request goes to a server that isn't there
			}
			ticket, err := table.Send(now, name)
			if err != nil {
				continue
			}
			for _, s := range statements {
				if s.server == name && !now.Before(s.from) && now.Before(s.end) {
					s.sends++
				}
				if s.sends > 2 || s.leaving && s.sends > 0 {
					t.Fatalf("%d requests to %s which it doesn't want (leaving %v)", s.sends, name, s.leaving)
				}
			}
			if random.IntN(20) == 0 {
				table.Lost(ticket)
				continue
			}
			flying = append(flying, inFlight{ticket, name, now.Add(time.Duration(random.Int64N(int64(2 * time.Second))))})
		}
	})
}

// All requests that had waited came back to a server at once.
func TestRequestsComeBackOneAfterTheOther(t *testing.T) {
	const instances = 50
	earliest, latest := epoch.Add(time.Hour), epoch
	for n := range instances {
		table := New(fmt.Sprint("i", n))
		table.Update(epoch, map[string]string{"a": "1"})
		k, err := table.Send(epoch, "a")
		if err != nil {
			t.Fatal(err)
		}
		table.Hear(epoch, k, Statement{RetryAfter: 4 * time.Second})
		back := epoch.Add(table.Wait(epoch, "a"))
		if back.Before(epoch.Add(4*time.Second)) || back.After(epoch.Add(4400*time.Millisecond)) {
			t.Fatalf("instance %d returns after %s", n, back.Sub(epoch))
		}
		if back.Before(earliest) {
			earliest = back
		}
		if back.After(latest) {
			latest = back
		}
		now, sent := back, 0
		for allowed := 1; allowed < openSends; allowed *= 2 {
			var tickets []*Ticket
			for {
				k, err := table.Send(now, "a")
				if errors.Is(err, ErrQuiet) {
					break
				}
				tickets = append(tickets, k)
			}
			if len(tickets) != allowed {
				t.Fatalf("%d requests at once, %d expected", len(tickets), allowed)
			}
			sent += len(tickets)
			table.Hear(now, tickets[0], Statement{})
			for _, k := range tickets[1:] {
				table.Lost(k)
			}
		}
		if table.Wait(now, "a") != 0 || sent == 0 {
			t.Fatal("the server isn't open after its answers")
		}
	}
	if latest.Sub(earliest) < 200*time.Millisecond {
		t.Errorf("all instances return within %s", latest.Sub(earliest))
	}
}

// A server that said once by mistake that it is leaving was never used again.
func TestMistakenLeavingEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool // without the statement, after 6 s
		after    time.Duration
		leaving  bool
	}{
		{"at first", false, time.Second, true},
		{"no answer since", false, 20 * time.Second, true},
		{"an answer since", true, 6 * time.Second, false},
		{"long ago", false, 31 * time.Second, false},
	} {
		table := New("i")
		table.Update(epoch, map[string]string{"a": "1"})
		first, _ := table.Send(epoch, "a")
		second, _ := table.Send(epoch, "a")
		if c := table.Hear(epoch, first, Statement{Leaving: true}); !c.Leaving || c.InFlight != 1 {
			t.Fatalf("heard %+v", c)
		}
		if c.answered {
			table.Hear(epoch.Add(6*time.Second), second, Statement{})
		}
		if got := table.Leaving(epoch.Add(c.after), "a"); got != c.leaving {
			t.Errorf("%s: leaving %v, want %v", c.name, got, c.leaving)
		}
	}
}

// What a server says reaches all instances through the leader, and never another start.
func TestOthersLearnThatServerLeaves(t *testing.T) {
	first, second, board := New("i"), New("j"), NewBoard()
	first.Update(epoch, map[string]string{"a": "1"})
	second.Update(epoch, map[string]string{"a": "1"})
	k, _ := first.Send(epoch, "a")
	first.Hear(epoch, k, Statement{Leaving: true})
	if len(first.Unreported(epoch.Add(time.Second/2))) != 1 { // in a heartbeat that is lost
		t.Error("not reported")
	}
	board.Put(epoch.Add(time.Second), first.Unreported(epoch.Add(time.Second)))
	first.MarkReported(epoch.Add(time.Second))
	if len(first.Unreported(epoch.Add(time.Second))) != 0 {
		t.Error("reported twice")
	}
	heard := board.List(epoch.Add(2 * time.Second))
	if !second.Learn(epoch.Add(2*time.Second), heard) || second.Learn(epoch.Add(2*time.Second), heard) {
		t.Fatalf("the second instance learns %+v not once", heard)
	}
	if _, err := second.Send(epoch.Add(2*time.Second), "a"); !errors.Is(err, ErrLeaving) {
		t.Errorf("the second instance sends: %v", err)
	}
	second.Update(epoch, map[string]string{"a": "2"})
	second.Learn(epoch.Add(3*time.Second), []proto.ServerNotice{{Server: "a", Start: "1", Leaving: true}})
	if _, err := second.Send(epoch.Add(3*time.Second), "a"); err != nil {
		t.Errorf("the next start gets no request: %v", err)
	}
	if n := len(board.List(epoch.Add(31 * time.Second))); n != 0 {
		t.Errorf("the leader keeps %d statements", n)
	}
}
