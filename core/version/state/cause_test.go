package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// attempt is one that was sent to an engine and hasn't ended.
type attempt struct {
	causes   []string
	trial    string
	deadline time.Time
}

// pauses between two events; the short ones come more often.
var pauses = []time.Duration{
	0, 0, 0, 0, time.Millisecond, time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, time.Second, time.Second, 20 * time.Second, 20 * time.Minute,
}

// Losses come late, twice or not at all, and instances are killed.
func TestTrialsOfCauseAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		begin, index := time.Unix(1_000_000, 0), uint64(0)
		now := begin
		screen := func(r Screening) Permission {
			index++
			s.BeginCommand(index, now)
			return s.Screen(r)
		}
		var running []attempt
		var fifth, lastTrial time.Time
		trials, trialLosses, lateTrials := 0, 0, 0
		lose := func(i int, engine string) {
			a := running[i]
			running = append(running[:i], running[i+1:]...)
			l := &Loss{Engine: engine, Trial: a.trial}
			for _, name := range a.causes {
				l.Causes = append(l.Causes, Cause{Name: name, Proven: name == "part/first", Part: strings.HasPrefix(name, "part/")})
			}
			screen(Screening{Loss: l})
			if a.trial != "" && now.Sub(begin) < trialDelay {
				trialLosses++
			}
			if n := len(s.strikes.rows["part/bad"].LostEngines); n >= testLimit && fifth.IsZero() {
				fifth = now
			}
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "copies at once") {
			running = append(running, attempt{causes: []string{"part/first", "part/t0", "part/bad", "request/0"}})
			lose(0, fmt.Sprint("d", i))
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(rapid.SampledFrom(pauses).Draw(t, "pause"))
			running = slices.DeleteFunc(running, func(a attempt) bool { return now.After(a.deadline) })
			request := rapid.IntRange(0, 20).Draw(t, "request")
			causes := []string{"part/first", fmt.Sprint("part/t", request%3), "part/bad", fmt.Sprint("request/", request)}
			switch rapid.SampledFrom([]string{"send", "send", "send", "send", "crash", "crash", "silence", "unsent", "sound"}).Draw(t, "action") {
			case "send", "unsent":
				r := Screening{Trial: fmt.Sprint("trial", step), Causes: causes, Left: 10 * time.Second}
				spaced := len(s.strikes.rows["part/bad"].LostEngines) >= testLimit
				p := screen(r)
				if again := screen(r); again.Allowed != p.Allowed {
					t.Fatalf("a repeated question is answered %v, then %v", p, again)
				}
				if !p.Allowed {
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "not sent") == 0 {
					screen(Screening{Trial: r.Trial, Causes: causes, Unused: true})
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "turned away") == 0 {
					screen(Screening{Trial: r.Trial, Causes: causes, Ended: true})
				} else {
					running = append(running, attempt{causes, r.Trial, now.Add(r.Left)})
				}
				if spaced && !lastTrial.IsZero() && now.Sub(lastTrial) < trialDelay {
					t.Fatalf("two trials %v apart after the fifth loss", now.Sub(lastTrial))
				}
				if spaced {
					lastTrial = now
				}
				if trials++; !fifth.IsZero() && now.After(fifth.Add(3*time.Second)) && now.Before(fifth.Add(3*time.Minute)) {
					lateTrials++
				}
			case "crash":
				if len(running) > 0 {
					lose(rapid.IntRange(0, len(running)-1).Draw(t, "which"), rapid.SampledFrom([]string{"e", "f", fmt.Sprint("g", step)}).Draw(t, "engine"))
				}
			case "silence": // the instance of an attempt is killed
				if len(running) > 0 {
					running = running[1:]
				}
			case "sound":
				screen(Screening{Clear: []string{"part/first", fmt.Sprint("part/t", request%3)}})
			}
		}
		if trialLosses > testLimit {
			t.Fatalf("trials lost %d engines within %v, at most %d allowed", trialLosses, trialDelay, testLimit)
		}
		if lateTrials > 1 {
			t.Fatalf("%d trials from 3 s to 3 min after the fifth loss", lateTrials)
		}
	})
}

// Parts of the same lost requests are told apart by requests that lack one.
func TestVictimsOfCauseAreCleared(t *testing.T) {
	s := New()
	now := time.Unix(1_000_000, 0)
	crashing, sound := []string{"part/t", "part/bad", "request/1"}, []string{"part/t", "part/x", "request/2"}
	for i := range lossLimit {
		s.BeginCommand(uint64(i+1), now)
		l := &Loss{Engine: fmt.Sprint("e", i)}
		for _, name := range crashing {
			l.Causes = append(l.Causes, Cause{Name: name})
		}
		s.Screen(Screening{Loss: l})
	}
	s.BeginCommand(10, now)
	if p := s.Screen(Screening{Trial: "a", Causes: crashing}); p.Allowed || p.Wait < trialDelay {
		t.Fatalf("the same request again: %+v", p)
	}
	if p := s.Screen(Screening{Trial: "b", Causes: sound}); !p.Allowed {
		t.Fatalf("a request with one of the parts: %+v", p)
	}
	if p := s.Screen(Screening{Trial: "b2", Causes: []string{"part/t", "part/z"}}); p.Allowed {
		t.Fatal("two requests tell the parts apart at one time")
	}
	s.BeginCommand(11, now)
	s.Screen(Screening{Clear: sound})
	if p := s.Screen(Screening{Trial: "c", Causes: []string{"part/t", "part/y"}}); !p.Allowed {
		t.Fatalf("after its answer: %+v", p)
	}
	if p := s.Screen(Screening{Trial: "d", Causes: []string{"part/u", "part/bad", "request/3"}}); !p.Allowed {
		t.Fatalf("another request with the part that crashes, as a test: %+v", p)
	}
	s.BeginCommand(12, now)
	s.Screen(Screening{Loss: &Loss{Engine: "e9", Trial: "d", Causes: []Cause{{Name: "part/u"}, {Name: "part/bad"}, {Name: "request/3"}}}})
	if p := s.Screen(Screening{Trial: "e", Causes: []string{"part/v", "part/bad", "request/4"}}); p.Allowed || p.Wait < trialDelay {
		t.Fatalf("once the part is found: %+v", p)
	}
}

// What was answered before is tried sooner.
func TestTrialsAreSpacedOut(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		cause Cause
		want  []time.Duration // after each loss
	}{
		{Cause{Name: "part/p", Part: true}, []time.Duration{0, 0, time.Minute, 4 * time.Minute, 16 * time.Minute, time.Hour, time.Hour}},
		{Cause{Name: "request/r"}, []time.Duration{0, 0, time.Minute, 4 * time.Minute}},
		{Cause{Name: "part/p", Part: true, Proven: true}, []time.Duration{0, 0, time.Second, 4 * time.Second, time.Minute, 4 * time.Minute}},
		{Cause{Name: "request/r", Proven: true}, []time.Duration{0, 0, time.Second, 4 * time.Second, 16 * time.Second, 64 * time.Second}},
	} {
		var v Strike
		for n, want := range c.want {
			v.AddLoss(start, c.cause, fmt.Sprint("e", n), "")
			if got := v.NextTrial.Sub(start); got != want {
				t.Errorf("%+v: next trial %v after loss %d, want %v", c.cause, got, n+1, want)
			}
		}
	}
}
