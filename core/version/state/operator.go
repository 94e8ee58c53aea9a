package state

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/process/codec"
)

// Update is a command of an operator: its changes take effect together or not
// at all.
type Update struct {
	Operator string   `cbor:"1,keyasint"`
	Number   uint64   `cbor:"2,keyasint"`
	Expect   uint64   `cbor:"3,keyasint,omitempty"`
	Changes  []Change `cbor:"4,keyasint"`
}

// Code tells programs why an update was refused.
type Code string

// Codes of refused updates.
const (
	CodeAccepted Code = ""
	CodeConflict Code = "conflict" // another command has this number
	CodeOld      Code = "old"      // the number is too old to tell
	CodeExpect   Code = "expect"   // the state isn't at the expected version
	CodeInvalid  Code = "invalid"  // a name or value is wrong
	CodeOpen     Code = "open"     // an order is open on the engine
)

// Outcome is the answer to an update.
type Outcome struct {
	Version uint64 `cbor:"1,keyasint"`
	Code    Code   `cbor:"2,keyasint,omitempty"`
	Text    string `cbor:"3,keyasint,omitempty"`
	Repeat  bool   `cbor:"4,keyasint,omitempty"` // the answer of an earlier copy
}

// Refused is an error of an update with its code.
type Refused struct {
	Code Code
	Text string
}

// Error implements error.
func (r *Refused) Error() string {
	return r.Text
}

func refuse(code Code, format string, args ...any) error {
	return &Refused{Code: code, Text: fmt.Sprintf(format, args...)}
}

// outcome is the remembered answer to a command of an operator.
type outcome struct {
	Number uint64  `cbor:"1,keyasint"`
	Digest uint64  `cbor:"2,keyasint"`
	Answer Outcome `cbor:"3,keyasint"`
}

func (u Update) digest() uint64 {
	b, err := codec.Marshal(u)
	if err != nil {
		panic("state: encode update: " + err.Error())
	}
	return xxhash.Sum64(b)
}

// Update applies a command of an operator once: the same command again gets
// the first answer. The term is that of the proposer.
func (s *State) Update(u Update, term uint64) Outcome {
	digest := u.digest()
	known := s.operators[u.Operator]
	at, found := slices.BinarySearchFunc(known, u.Number, func(o outcome, number uint64) int {
		switch {
		case o.Number < number:
			return -1
		case o.Number > number:
			return 1
		}
		return 0
	})
	if found {
		return repeat(known[at], digest, u.Number)
	}
	if at == 0 && len(known) >= maxOutcomes {
		return Outcome{Version: s.version, Code: CodeOld, Text: fmt.Sprintf("number %d is older than the last %d commands", u.Number, maxOutcomes)}
	}
	answer := s.execute(u, term)
	known = slices.Insert(known, at, outcome{Number: u.Number, Digest: digest, Answer: answer})
	s.operators[u.Operator] = bound(known, maxOutcomes)
	return answer
}

// bound drops the oldest entries. The room before them goes when the list
// grows next, so that a drop costs no copy.
func bound[T any](list []T, limit int) []T {
	return list[max(0, len(list)-limit):]
}

func repeat(o outcome, digest, number uint64) Outcome {
	if o.Digest != digest {
		return Outcome{Version: o.Answer.Version, Code: CodeConflict, Text: fmt.Sprintf("number %d was used by another command", number)}
	}
	answer := o.Answer
	answer.Repeat = true
	return answer
}

func (s *State) execute(u Update, term uint64) Outcome {
	if u.Expect != 0 && u.Expect != s.version {
		return Outcome{Version: s.version, Code: CodeExpect, Text: fmt.Sprintf("expected version %d, the state is at %d", u.Expect, s.version)}
	}
	var undo *State
	if len(u.Changes) > 1 {
		undo = s.clone()
	}
	for _, c := range u.Changes {
		err := s.change(c, term)
		if err == nil {
			continue
		}
		if undo != nil {
			*s = *undo
		}
		answer := Outcome{Version: s.version, Code: CodeInvalid, Text: err.Error()}
		if r, ok := err.(*Refused); ok { //nolint:errorlint // change returns it unwrapped
			answer.Code = r.Code
		}
		return answer
	}
	return Outcome{Version: s.version}
}

// clone copies what a change can touch.
func (s *State) clone() *State {
	c := *s
	c.services = s.services.clone()
	c.models = s.models.clone()
	c.engines = s.engines.clone()
	c.servers = s.servers.clone()
	c.accounts = s.accounts.clone()
	c.members = s.members.clone()
	c.removed = cloneMap(s.removed)
	c.notes = cloneMap(s.notes)
	c.open = cloneMap(s.open)
	return &c
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
