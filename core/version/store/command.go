// Package store is the state machine of the replicated log: it decodes each
// committed command, applies it to the configuration and to the ledger of
// run-once calls, and serves concurrent reads of the result.
package store

import (
	"fmt"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/usage"
)

// Command is one entry of the replicated log. Exactly one of its pointer fields
// is set.
type Command struct {
	ProposedNanos  int64               `cbor:"1,keyasint"` // Unix nanoseconds by the clock of the proposer
	Term           uint64              `cbor:"2,keyasint,omitempty"`
	Update         *state.Update       `cbor:"3,keyasint,omitempty"`
	Join           *state.Member       `cbor:"4,keyasint,omitempty"`
	MarkLost       *ObjectRef          `cbor:"5,keyasint,omitempty"`
	RunOnce        *proto.OnceRequest  `cbor:"6,keyasint,omitempty"`
	HolderLost     *ObjectRef          `cbor:"7,keyasint,omitempty"` // the holder of run-once calls is lost
	ChangeStrike   *StrikeChange       `cbor:"8,keyasint,omitempty"`
	OpenOrder      *OrderRequest       `cbor:"9,keyasint,omitempty"`
	AdoptOrder     *OrderAdoption      `cbor:"10,keyasint,omitempty"`
	CloseOrder     *OrderResult        `cbor:"11,keyasint,omitempty"`
	AdvanceRemoval *ObjectRef          `cbor:"12,keyasint,omitempty"` // the condition of a pending removal is met
	RecordDecision *state.Decision     `cbor:"13,keyasint,omitempty"`
	Bootstrap      *Bootstrap          `cbor:"14,keyasint,omitempty"`
	SyncFleet      *state.Fleet        `cbor:"15,keyasint,omitempty"` // backend servers listed by the platform
	PublishRouting *state.RoutingTable `cbor:"16,keyasint,omitempty"` // a newly published routing table
	Screen         *state.Screening    `cbor:"17,keyasint,omitempty"` // what may crash engines
	RecordUsage    *usage.Recording    `cbor:"18,keyasint,omitempty"` // what instances counted of accounts' requests
	CloseUsage     *usage.Closing      `cbor:"19,keyasint,omitempty"` // fixes the sums of a window
	UsageReported  *usage.Acceptance   `cbor:"20,keyasint,omitempty"` // the platform accepted the report of a window
	TakeDuty       *DutyClaim          `cbor:"21,keyasint,omitempty"`
	RaiseLevel     *LevelChange        `cbor:"22,keyasint,omitempty"` // all members understand more commands
}

// Level is the highest level of commands that this build understands. Level 1 adds the
// usage of client accounts and the duties towards the platform.
const Level = 1

// LevelChange raises the level of commands in force.
type LevelChange struct {
	Level uint64 `cbor:"1,keyasint"`
}

// RequiredLevel returns the level that must be in force before the command is proposed.
func (c *Command) RequiredLevel() uint64 {
	if c.RecordUsage != nil || c.CloseUsage != nil || c.UsageReported != nil || c.TakeDuty != nil {
		return 1
	}
	return 0
}

// DutyClaim asks for the fencing token of the command's term, under which its leader
// calls the platform.
type DutyClaim struct {
	Holder string `cbor:"1,keyasint"`
}

// ObjectRef identifies an object by noun and name.
type ObjectRef struct {
	Noun state.Noun `cbor:"1,keyasint,omitempty"`
	Name string     `cbor:"2,keyasint"`
}

// StrikeChange adds a strike to a request because an engine was lost while it ran
// the request, or clears the strikes of the request.
type StrikeChange struct {
	Fingerprint string `cbor:"1,keyasint"`
	Engine      string `cbor:"2,keyasint,omitempty"`
	Clear       bool   `cbor:"3,keyasint,omitempty"`
}

// OrderRequest is a request by the planner for an order to an engine, with the
// decision that led to it.
type OrderRequest struct {
	Engine   string         `cbor:"1,keyasint"`
	Role     state.Role     `cbor:"2,keyasint"`
	Decision state.Decision `cbor:"3,keyasint"`
}

// OrderAdoption transfers an open order to the leader of the command's term.
type OrderAdoption struct {
	Number uint64 `cbor:"1,keyasint"`
}

// OrderResult is the final status of an order and closes it.
type OrderResult struct {
	Number uint64 `cbor:"1,keyasint"`
	Status string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`
}

// Bootstrap carries the settings that must be equal on all replicas: the first
// operator account, the digest of its token and the limits of the ledger.
type Bootstrap struct {
	OperatorAccount string          `cbor:"1,keyasint"`
	TokenDigest     string          `cbor:"2,keyasint"`
	Ledger          ledger.Settings `cbor:"3,keyasint"`
}

// Encode sets the proposer's time in a command and returns its encoding.
func Encode(c Command, now time.Time) ([]byte, error) {
	c.ProposedNanos = now.UnixNano()
	b, err := codec.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}
