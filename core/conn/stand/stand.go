// Package stand defines the control interface of the stand-in backend
// servers: faults that tests bring about and histories that they check.
package stand

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/version/state"
)

// Paths of the control interface.
const (
	PathFault   = "/fault"   // POST Fault
	PathHistory = "/history" // GET ?target=, array of Record
	PathTargets = "/targets" // GET, array of Target
)

// HeaderCall names the header by which plain services tell calls apart.
const HeaderCall = "Call-Id"

// Kind is a kind of fault.
type Kind string

// Kinds of fault. Which of them a target knows depends on what it is.
const (
	Crash     Kind = "crash"     // engine, plain: drop all connections, stay dead
	Revive    Kind = "revive"    // engine, plain: come back after a crash
	Silence   Kind = "silence"   // open connections stop for good, new ones work
	Heal      Kind = "heal"      // end the standing faults of the target
	Cross     Kind = "cross"     // engine: swap Count events between two streams
	Late      Kind = "late"      // engine: put an old event into Count streams
	Truncate  Kind = "truncate"  // engine: end Count streams halfway without end mark
	Duplicate Kind = "duplicate" // engine: send Count events twice
	Lose      Kind = "lose"      // plain: run Count calls and drop the answer
	Mute      Kind = "mute"      // plain: run Count calls and never answer
	Slow      Kind = "slow"      // engine: Value is a factor; plain: Value is a duration
	Cut       Kind = "cut"       // proxy: nothing passes, either way
	CutUp     Kind = "cut_up"    // proxy: nothing passes towards the target
	CutDown   Kind = "cut_down"  // proxy: nothing passes from the target
	Delay     Kind = "delay"     // proxy: Value is the delay each way
	Drop      Kind = "drop"      // proxy, UDP: Value is the share of packets dropped
	Reset     Kind = "reset"     // close all open connections with a reset
	Lag       Kind = "lag"       // engine: Value is the new age of load reports and cache events
)

// Fault asks for a fault at a target.
type Fault struct {
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	Value  string `json:"value,omitempty"`
	Count  int    `json:"count,omitempty"` // 0 counts as 1
}

// Target is something that faults can be asked of.
type Target struct {
	Name string `json:"name"`
	Type string `json:"type"` // engine, plain, list, proxy
}

// RecordKind is a kind of entry in a history.
type RecordKind string

// Kinds of record.
const (
	RecordOrder   RecordKind = "order"   // an order arrived
	RecordChanged RecordKind = "changed" // an order took effect
	RecordRun     RecordKind = "run"     // a plain call ran
	RecordStart   RecordKind = "start"   // a request was taken up
	RecordEnd     RecordKind = "end"     // a request was answered whole
	RecordCut     RecordKind = "cut"     // a request was cut by an order or crash
	RecordCancel  RecordKind = "cancel"  // a request was cancelled or its caller left
	RecordCrash   RecordKind = "crash"   // the server crashed
	RecordRevive  RecordKind = "revive"  // the server came back
)

// Record is one entry in the history of a target.
type Record struct {
	At       time.Time    `json:"at"`
	Kind     RecordKind   `json:"kind"`
	Attempt  string       `json:"attempt,omitempty"`
	Tokens   int          `json:"tokens,omitempty"` // emitted so far
	Call     string       `json:"call,omitempty"`   // Call-Id of a plain call
	Method   string       `json:"method,omitempty"`
	Path     string       `json:"path,omitempty"`
	Body     string       `json:"body,omitempty"` // its start
	Reason   string       `json:"reason,omitempty"`
	Order    *state.Order `json:"order,omitempty"`
	Accepted bool         `json:"accepted,omitempty"`
	Effect   string       `json:"effect,omitempty"`   // change, repeat or none
	Conflict bool         `json:"conflict,omitempty"` // the order conflicts with another
}

// Token returns the text of a token of a stand-in's answer. It depends on the
// arguments alone, so that answers can be compared token by token.
func Token(model, prompt string, seed int64, index int) string {
	return TokenAt(Base(model, prompt, seed), index)
}

// Base hashes what all tokens of one answer share.
func Base(model, prompt string, seed int64) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%d\x00", model, seed)
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

const (
	mixer = 0x9e3779b97f4a7c15
	words = 10000
)

// TokenAt returns the text of a token of the answer with a base.
func TokenAt(base uint64, index int) string {
	x := base + uint64(index)*mixer
	x ^= x >> 31
	x *= mixer
	x ^= x >> 29
	return fmt.Sprintf("w%04d ", x%words)
}
