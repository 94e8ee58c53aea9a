package state

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/process/codec"
)

// Update is a command of an operator. Its changes are applied atomically: all or
// none. The number makes it idempotent.
type Update struct {
	Operator        string   `cbor:"1,keyasint"`
	Number          uint64   `cbor:"2,keyasint"`
	ExpectedVersion uint64   `cbor:"3,keyasint,omitempty"` // required version of the state, 0 for any
	Changes         []Change `cbor:"4,keyasint"`
}

// Code is a machine-readable reason why an update was refused.
type Code string

// Codes of refused updates.
const (
	CodeAccepted        Code = ""
	CodeConflict        Code = "conflict" // another command was sent under this number
	CodeTooOld          Code = "old"      // the number is older than the stored outcomes
	CodeVersionMismatch Code = "expect"   // the state isn't at the expected version
	CodeInvalid         Code = "invalid"  // a name or value is wrong
	CodeOrderOpen       Code = "open"     // an order is open on the engine
)

// Outcome is the result of an update.
type Outcome struct {
	Version  uint64 `cbor:"1,keyasint"`
	Code     Code   `cbor:"2,keyasint,omitempty"`
	Text     string `cbor:"3,keyasint,omitempty"`
	Replayed bool   `cbor:"4,keyasint,omitempty"` // the outcome of an earlier copy
}

// RefusedError is the error of a refused change.
type RefusedError struct {
	Code Code
	Text string
}

// Error implements error.
func (r *RefusedError) Error() string {
	return r.Text
}

// refuse returns a *RefusedError.
func refuse(code Code, format string, args ...any) error {
	return &RefusedError{Code: code, Text: fmt.Sprintf(format, args...)}
}

// storedOutcome is the outcome of a command of an operator, stored so that a
// retried command gets the same answer.
type storedOutcome struct {
	Number uint64  `cbor:"1,keyasint"`
	Digest uint64  `cbor:"2,keyasint"`
	Answer Outcome `cbor:"3,keyasint"`
}

// digest returns a hash of the update, to distinguish a retried command from
// another one that was sent under the same number.
func (u Update) digest() uint64 {
	b, err := codec.Marshal(u)
	if err != nil {
		panic("state: encode update: " + err.Error())
	}
	return xxhash.Sum64(b)
}

// Update applies a command of an operator at most once: a retried command gets
// the outcome of the first. The term is that of the proposer.
func (s *State) Update(u Update, term uint64) Outcome {
	digest := u.digest()
	stored := s.outcomes[u.Operator]
	position, found := slices.BinarySearchFunc(stored, u.Number, func(o storedOutcome, number uint64) int {
		switch {
		case o.Number < number:
			return -1
		case o.Number > number:
			return 1
		}
		return 0
	})
	if found {
		return replayAnswer(stored[position], digest, u.Number)
	}
	if position == 0 && len(stored) >= maxOutcomes {
		return Outcome{Version: s.version, Code: CodeTooOld, Text: fmt.Sprintf("number %d is older than the last %d commands", u.Number, maxOutcomes)}
	}
	result := s.applyUpdate(u, term)
	stored = slices.Insert(stored, position, storedOutcome{Number: u.Number, Digest: digest, Answer: result})
	s.outcomes[u.Operator] = keepLast(stored, maxOutcomes)
	return result
}

// keepLast returns the last entries of a list, at most limit of them. It doesn't
// copy: the memory of the dropped entries is freed when append next reallocates.
func keepLast[T any](list []T, limit int) []T {
	return list[max(0, len(list)-limit):]
}

// replayAnswer returns the stored answer of a retried command, or a conflict if
// the number was used by another command.
func replayAnswer(o storedOutcome, digest, number uint64) Outcome {
	if o.Digest != digest {
		return Outcome{Version: o.Answer.Version, Code: CodeConflict, Text: fmt.Sprintf("number %d was used by another command", number)}
	}
	answer := o.Answer
	answer.Replayed = true
	return answer
}

// applyUpdate applies the changes of an update. If one is refused it undoes those
// before it.
func (s *State) applyUpdate(u Update, term uint64) Outcome {
	if u.ExpectedVersion != 0 && u.ExpectedVersion != s.version {
		return Outcome{Version: s.version, Code: CodeVersionMismatch, Text: fmt.Sprintf("expected version %d, the state is at %d", u.ExpectedVersion, s.version)}
	}
	var backup *State
	if len(u.Changes) > 1 {
		backup = s.clone()
	}
	for _, c := range u.Changes {
		err := s.applyChange(c, term)
		if err == nil {
			continue
		}
		if backup != nil {
			*s = *backup
		}
		answer := Outcome{Version: s.version, Code: CodeInvalid, Text: err.Error()}
		if r, ok := err.(*RefusedError); ok { //nolint:errorlint // applyChange returns it unwrapped
			answer.Code = r.Code
		}
		return answer
	}
	return Outcome{Version: s.version}
}

// clone copies all that a change can modify, for a rollback.
func (s *State) clone() *State {
	c := *s
	c.services = s.services.clone()
	c.models = s.models.clone()
	c.engines = s.engines.clone()
	c.servers = s.servers.clone()
	c.accounts = s.accounts.clone()
	c.members = s.members.clone()
	c.tombstones = cloneMap(s.tombstones)
	c.lifecycles = cloneMap(s.lifecycles)
	c.openOrders = cloneMap(s.openOrders)
	return &c
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	c := make(map[K]V, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
