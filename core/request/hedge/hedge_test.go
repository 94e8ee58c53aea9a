package hedge

import (
	"testing"

	"pgregory.net/rapid"
)

// model plays two engines against the machine.
type model struct {
	stream       Stream
	secondHas    bool // the second engine has the request
	firstLeft    bool // the first engine was left
	usedMeantime bool // something of the first engine was used while the second one had the request
}

func (m *model) progress(*rapid.T) {
	if m.stream.Progress() && (m.secondHas || m.firstLeft) {
		m.usedMeantime = true
	}
}

func (m *model) commit(*rapid.T) {
	if m.stream.Commit() {
		m.secondHas = true
	}
}

func (m *model) conclude(answers bool) {
	committed := m.secondHas
	m.stream.Conclude(answers)
	m.secondHas = false
	if m.stream.Moved() {
		m.firstLeft = m.firstLeft || committed && answers
	}
}

func TestNothingOfTheFirstEngineIsUsedWhileTheSecondHasTheRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){
			"silent":   func(*rapid.T) { m.stream.Silent() },
			"progress": m.progress,
			"commit":   m.commit,
			"refused":  func(*rapid.T) { m.conclude(false) },
			"answers":  func(*rapid.T) { m.conclude(true) },
			"": func(t *rapid.T) {
				if m.usedMeantime {
					t.Fatal("two engines' events were used")
				}
				if m.stream.Moved() != m.firstLeft {
					t.Fatalf("moved %t, first engine left %t", m.stream.Moved(), m.firstLeft)
				}
			},
		})
	})
}

func TestEngineThatGoesOnKeepsItsStream(t *testing.T) {
	var s Stream
	if !s.Silent() || !s.Progress() || s.Commit() || s.Moved() {
		t.Fatal("the stream moves although its engine went on before the second attempt was sent")
	}
	if !s.Silent() || !s.Commit() || s.Progress() {
		t.Fatal("what the first engine sends is used while the second one has the request")
	}
	s.Conclude(false)
	if !s.Progress() || s.Moved() {
		t.Fatal("a refused second attempt ends the stream")
	}
}

func TestSecondAttemptKeepsTheBoundsOfTheCall(t *testing.T) {
	free := Bounds{Runs: 1, MaxRuns: 2, Tries: 2, MaxTries: 4}
	if !free.Allow() {
		t.Error("no second attempt within the bounds")
	}
	for name, change := range map[string]func(*Bounds){
		"runs":      func(b *Bounds) { b.Runs = 2 },
		"one run":   func(b *Bounds) { b.MaxRuns = 0 },
		"tries":     func(b *Bounds) { b.Tries = 4 },
		"suspected": func(b *Bounds) { b.Suspected = true },
	} {
		b := free
		if change(&b); b.Allow() {
			t.Errorf("%s: a second attempt beyond the bounds", name)
		}
	}
}
