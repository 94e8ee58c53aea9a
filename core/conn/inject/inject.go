// Package inject defines the control interface of the simulated backend servers
// used in tests: fault injection, and the request history that tests check.
package inject

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

// HeaderCallID is the header with the call's ID at plain services.
const HeaderCallID = "Call-Id"

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault, with the types of target that support them.
const (
	Crash         FaultKind = "crash"     // engine, plain: drop all connections and stay down
	Restart       FaultKind = "revive"    // engine, plain: restart after a crash
	StallConns    FaultKind = "silence"   // open connections stall permanently, new ones work
	ClearFaults   FaultKind = "heal"      // clear the target's active faults
	SwapEvents    FaultKind = "cross"     // engine: swap Count events between two streams
	StaleEvent    FaultKind = "late"      // engine: insert an old event into Count streams
	Truncate      FaultKind = "truncate"  // engine: end Count streams halfway, without the end marker
	Duplicate     FaultKind = "duplicate" // engine: send Count events twice
	DropAnswer    FaultKind = "lose"      // plain: execute Count calls and drop the responses
	NeverAnswer   FaultKind = "mute"      // plain: execute Count calls and never respond
	Slow          FaultKind = "slow"      // engine: Value is a slowdown factor; plain: Value is a delay
	Partition     FaultKind = "cut"       // proxy: partition in both directions
	PartitionUp   FaultKind = "cut_up"    // proxy: partition towards the target
	PartitionDown FaultKind = "cut_down"  // proxy: partition from the target
	Delay         FaultKind = "delay"     // proxy: Value is the delay in each direction
	PacketLoss    FaultKind = "drop"      // proxy, UDP: Value is the fraction of packets to drop
	ResetConns    FaultKind = "reset"     // close all open connections with a TCP reset
	ReportLag     FaultKind = "lag"       // engine: Value is the new age of load reports and cache events
)

// Fault is a request to inject a fault at a target.
type Fault struct {
	Target string    `json:"target"`
	Kind   FaultKind `json:"kind"`
	Value  string    `json:"value,omitempty"`
	Count  int       `json:"count,omitempty"` // 0 means 1
}

// Target is a server, list or proxy that accepts faults.
type Target struct {
	Name string `json:"name"`
	Type string `json:"type"` // engine, plain, list, proxy
}

// RecordKind is the kind of a history entry.
type RecordKind string

// Kinds of record.
const (
	RecordOrder    RecordKind = "order"   // an order arrived
	RecordApplied  RecordKind = "changed" // an order took effect
	RecordExecuted RecordKind = "run"     // a plain call was executed
	RecordStart    RecordKind = "start"   // a request was started
	RecordEnd      RecordKind = "end"     // a request was answered completely
	RecordAborted  RecordKind = "cut"     // a request was aborted by an order or crash
	RecordCancel   RecordKind = "cancel"  // a request was cancelled or its client disconnected
	RecordCrash    RecordKind = "crash"   // the server crashed
	RecordRestart  RecordKind = "revive"  // the server restarted
)

// Record is one history entry of a target.
type Record struct {
	At       time.Time    `json:"at"`
	Kind     RecordKind   `json:"kind"`
	Attempt  string       `json:"attempt,omitempty"`
	Tokens   int          `json:"tokens,omitempty"` // tokens emitted so far
	Call     string       `json:"call,omitempty"`   // Call-Id of a plain call
	Method   string       `json:"method,omitempty"`
	Path     string       `json:"path,omitempty"`
	Body     string       `json:"body,omitempty"` // first bytes only
	Reason   string       `json:"reason,omitempty"`
	Order    *state.Order `json:"order,omitempty"`
	Accepted bool         `json:"accepted,omitempty"`
	Effect   string       `json:"effect,omitempty"`   // change, repeat or none
	Conflict bool         `json:"conflict,omitempty"` // the order conflicts with another one
}

// Token returns the text of one token of a simulated answer. It depends only on
// the arguments, so that answers can be compared token by token.
func Token(model, prompt string, seed int64, index int) string {
	return TokenFromHash(AnswerHash(model, prompt, seed), index)
}

// AnswerHash returns the hash from which all tokens of one answer are derived.
func AnswerHash(model, prompt string, seed int64) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%s\x00%d\x00", model, seed)
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

const (
	hashMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	vocabularySize = 10000
)

// TokenFromHash returns the text of a token of the answer with the given
// AnswerHash.
func TokenFromHash(answerHash uint64, index int) string {
	x := answerHash + uint64(index)*hashMultiplier
	x ^= x >> 31
	x *= hashMultiplier
	x ^= x >> 29
	return fmt.Sprintf("w%04d ", x%vocabularySize)
}
