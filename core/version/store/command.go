// Package store is the replicated state machine as a whole: it decodes the
// commands of the log, executes them on the configuration and the ledger, and
// lets any goroutine read the result.
package store

import (
	"fmt"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
)

// Command is one entry of the log. Exactly one of its parts is set.
type Command struct {
	At     int64              `cbor:"1,keyasint"` // Unix nanoseconds at the proposer
	Term   uint64             `cbor:"2,keyasint,omitempty"`
	Update *state.Update      `cbor:"3,keyasint,omitempty"`
	Join   *state.Member      `cbor:"4,keyasint,omitempty"`
	Lose   *Named             `cbor:"5,keyasint,omitempty"`
	Once   *proto.OnceRequest `cbor:"6,keyasint,omitempty"`
	Vanish *Named             `cbor:"7,keyasint,omitempty"` // a holder that was not heard
	Hit    *Hit               `cbor:"8,keyasint,omitempty"`
	Intend *Intent            `cbor:"9,keyasint,omitempty"`
	Adopt  *Adoption          `cbor:"10,keyasint,omitempty"`
	Finish *Finish            `cbor:"11,keyasint,omitempty"`
	Free   *Named             `cbor:"12,keyasint,omitempty"` // a pending step is due
	Decide *state.Decision    `cbor:"13,keyasint,omitempty"`
	Boot   *Boot              `cbor:"14,keyasint,omitempty"`
	Fleet  *state.Fleet       `cbor:"15,keyasint,omitempty"` // what the platform lists
	Post   *state.Routing     `cbor:"16,keyasint,omitempty"` // a routing table is published
}

// Named names an object.
type Named struct {
	Noun state.Noun `cbor:"1,keyasint,omitempty"`
	Name string     `cbor:"2,keyasint"`
}

// Hit is a strike, or clears one.
type Hit struct {
	Fingerprint string `cbor:"1,keyasint"`
	Engine      string `cbor:"2,keyasint,omitempty"`
	Clear       bool   `cbor:"3,keyasint,omitempty"`
}

// Intent is a planner's wish to change an engine, with the decision that led
// to it.
type Intent struct {
	Engine   string         `cbor:"1,keyasint"`
	Role     state.Role     `cbor:"2,keyasint"`
	Decision state.Decision `cbor:"3,keyasint"`
}

// Adoption takes over an open order for the term of the command.
type Adoption struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Finish closes an order.
type Finish struct {
	Number uint64 `cbor:"1,keyasint"`
	Status string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`
}

// Boot carries the settings that all replicas must share.
type Boot struct {
	Account string          `cbor:"1,keyasint"`
	Digest  string          `cbor:"2,keyasint"`
	Ledger  ledger.Settings `cbor:"3,keyasint"`
}

// Encode stamps a command with the proposer's time and encodes it.
func Encode(c Command, now time.Time) ([]byte, error) {
	c.At = now.UnixNano()
	b, err := codec.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return b, nil
}
