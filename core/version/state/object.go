// Package state is the replicated configuration of a deployment: the objects
// that operators declared, the membership of instances, orders to engines,
// strikes, planner decisions and the routing table. It is deterministic: time is
// part of each command.
package state

import (
	"crypto/sha256"
	"time"
)

// Role is the stage of inference that an engine serves.
type Role string

// Roles of engines. A mixed engine serves both prefill and decode.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Phase is the lifecycle phase of an instance or backend server.
type Phase string

// Lifecycle phases. Only serving objects get new work.
const (
	PhaseServing  Phase = "serving"
	PhaseLeaving  Phase = "leaving"  // drains
	PhaseChanging Phase = "changing" // an order is open on the engine
	PhaseLost     Phase = "lost"     // the member's lease expired
	PhaseGone     Phase = "gone"     // the member has left
)

// Class is the priority class of a service.
type Class string

// Priority classes. Some capacity is always reserved for the first class.
const (
	ClassFirst Class = "first"
	ClassBatch Class = "batch"
)

// ServiceKind distinguishes model services from plain HTTP services.
type ServiceKind string

// Kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a named endpoint that serves a model, or a plain HTTP service.
type Service struct {
	Name               string        `cbor:"1,keyasint" json:"name"`
	Kind               ServiceKind   `cbor:"2,keyasint" json:"kind"`
	Model              string        `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	Adapter            string        `cbor:"4,keyasint,omitempty" json:"adapter,omitempty"`
	Revision           string        `cbor:"5,keyasint,omitempty" json:"revision,omitempty"`
	Class              Class         `cbor:"6,keyasint" json:"class"`
	Deadline           time.Duration `cbor:"7,keyasint" json:"deadline"` // for the whole answer of plain and batch calls
	FirstTokenDeadline time.Duration `cbor:"8,keyasint" json:"first"`
	AtMostOnce         bool          `cbor:"9,keyasint,omitempty" json:"once,omitempty"` // calls run at most once
	Version            uint64        `cbor:"10,keyasint" json:"version"`
}

// Model is a set of weights, with its adapters, that engines can load.
type Model struct {
	Name     string   `cbor:"1,keyasint" json:"name"`
	Revision string   `cbor:"2,keyasint" json:"revision"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	Version  uint64   `cbor:"4,keyasint" json:"version"`
}

// Engine is a backend server that runs a model.
type Engine struct {
	Name          string `cbor:"1,keyasint" json:"name"`
	URL           string `cbor:"2,keyasint" json:"url"`
	Centre        string `cbor:"3,keyasint" json:"centre"`
	Role          Role   `cbor:"4,keyasint" json:"role"`
	Model         string `cbor:"5,keyasint" json:"model"`
	Adapter       string `cbor:"6,keyasint,omitempty" json:"adapter,omitempty"`
	Revision      string `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	Phase         Phase  `cbor:"8,keyasint" json:"phase"`
	ChecksFencing bool   `cbor:"9,keyasint" json:"fenced"` // the engine checks fencing tokens
	Version       uint64 `cbor:"10,keyasint" json:"version"`
	Pool          string `cbor:"11,keyasint,omitempty" json:"pool,omitempty"`        // in the routing table; "" if operators declare services instead
	StartSerial   int64  `cbor:"12,keyasint,omitempty" json:"serial,omitempty"`      // increases with each start of the engine, which loses its cache
	Build         string `cbor:"13,keyasint,omitempty" json:"build,omitempty"`       // version of its software
	Reclaimable   bool   `cbor:"14,keyasint,omitempty" json:"reclaimable,omitempty"` // the platform may take it away at short notice
}

// Server is a backend server of a plain service.
type Server struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	URL     string `cbor:"2,keyasint" json:"url"`
	Centre  string `cbor:"3,keyasint" json:"centre"`
	Service string `cbor:"4,keyasint" json:"service"`
	Phase   Phase  `cbor:"5,keyasint" json:"phase"`
	Version uint64 `cbor:"6,keyasint" json:"version"`
	Build   string `cbor:"7,keyasint,omitempty" json:"build,omitempty"` // version of its software
}

// Account is a client or operator account.
type Account struct {
	Name              string `cbor:"1,keyasint" json:"name"`
	TokenDigest       string `cbor:"2,keyasint" json:"digest"`   // hex SHA-256 of the bearer token
	TokensPerSecond   uint64 `cbor:"3,keyasint" json:"tokens"`   // limit in tokens per second, 0 for none
	RequestsPerSecond uint64 `cbor:"4,keyasint" json:"requests"` // limit in requests per second, 0 for none
	Operator          bool   `cbor:"5,keyasint,omitempty" json:"operator,omitempty"`
	Version           uint64 `cbor:"6,keyasint" json:"version"`

	// These are set for the accounts of a routing table only.
	KeyDigests []KeyDigest `cbor:"7,keyasint,omitempty" json:"-"`
	Priority   *int        `cbor:"8,keyasint,omitempty" json:"priority,omitempty"` // takes precedence over the route's; 0 is the highest
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// usualKeyBytes is the length up to which a key is digested without an allocation.
const usualKeyBytes = 256

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	var buffer [usualKeyBytes]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// MemberKind distinguishes entry instances, which serve callers, from keepers,
// which replicate the state.
type MemberKind string

// Kinds of member.
const (
	MemberEntry  MemberKind = "entry"
	MemberKeeper MemberKind = "keep"
)

// Member is an instance of the system.
type Member struct {
	Name        string     `cbor:"1,keyasint" json:"name"`
	Kind        MemberKind `cbor:"2,keyasint" json:"kind"`
	URL         string     `cbor:"3,keyasint" json:"url"`  // HTTP address for callers
	LinkAddress string     `cbor:"4,keyasint" json:"link"` // host:port for QUIC links between instances
	Centre      string     `cbor:"5,keyasint" json:"centre"`
	Phase       Phase      `cbor:"6,keyasint" json:"phase"`
	Version     uint64     `cbor:"7,keyasint" json:"version"`
}

// Strike records the engines that were lost while they ran a request, found by
// its fingerprint, or requests with a common cause, found by its name.
type Strike struct {
	Fingerprint string    `cbor:"1,keyasint" json:"fingerprint"`
	LostEngines []string  `cbor:"2,keyasint" json:"engines"`
	ExpiresAt   time.Time `cbor:"3,keyasint" json:"until"`
	Version     uint64    `cbor:"4,keyasint" json:"version"`

	// These are set for causes only.
	Trials    []Trial   `cbor:"5,keyasint,omitempty" json:"trials,omitempty"`
	NextTrial time.Time `cbor:"6,keyasint,omitzero" json:"next,omitzero"` // none may start before, once lossLimit engines are lost
	Proven    bool      `cbor:"7,keyasint,omitempty" json:"proven,omitempty"`
	Part      bool      `cbor:"8,keyasint,omitempty" json:"part,omitempty"`
}

// Trial is an attempt that may cost another engine.
type Trial struct {
	ID        string    `cbor:"1,keyasint" json:"id"`
	ExpiresAt time.Time `cbor:"2,keyasint" json:"until"`
	Spaced    bool      `cbor:"3,keyasint,omitempty" json:"spaced,omitempty"` // it started after lossLimit losses
}

// View is the part of one version of the state that instances need. A delta has
// only the objects that changed after the version Since and the names of those
// that were removed.
type View struct {
	Version  uint64        `cbor:"1,keyasint" json:"version"`
	Since    uint64        `cbor:"2,keyasint" json:"since"` // 0 for a whole snapshot
	Services []Service     `cbor:"3,keyasint,omitempty" json:"services,omitempty"`
	Models   []Model       `cbor:"4,keyasint,omitempty" json:"models,omitempty"`
	Engines  []Engine      `cbor:"5,keyasint,omitempty" json:"engines,omitempty"`
	Servers  []Server      `cbor:"6,keyasint,omitempty" json:"servers,omitempty"`
	Accounts []Account     `cbor:"7,keyasint,omitempty" json:"accounts,omitempty"`
	Members  []Member      `cbor:"8,keyasint,omitempty" json:"members,omitempty"`
	Strikes  []Strike      `cbor:"9,keyasint,omitempty" json:"strikes,omitempty"`
	Removed  []Tombstone   `cbor:"10,keyasint,omitempty" json:"removed,omitempty"`
	Routing  *RoutingTable `cbor:"11,keyasint,omitempty" json:"-"` // nil if it didn't change
}

// Tombstone records the removal of an object: its name and the version that
// removed it.
type Tombstone struct {
	Noun    Noun   `cbor:"1,keyasint" json:"noun"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Version uint64 `cbor:"3,keyasint" json:"version"`
}

// Noun is a kind of object in the operators' language.
type Noun string

// Nouns of the operators' language.
const (
	NounService  Noun = "service"
	NounModel    Noun = "model"
	NounEngine   Noun = "engine"
	NounServer   Noun = "server"
	NounAccount  Noun = "account"
	NounMember   Noun = "member"
	NounStrike   Noun = "strike"
	NounOrder    Noun = "order"
	NounDecision Noun = "decision"
	NounCall     Noun = "call"
)

// Verb is what a change does to an object.
type Verb string

// Verbs of the operators' language that change the state.
const (
	VerbDeclare  Verb = "declare"  // create or update an object
	VerbAssign   Verb = "assign"   // give an engine a role, model, adapter or revision
	VerbDrain    Verb = "drain"    // stop new work, keep the object
	VerbWithdraw Verb = "withdraw" // drain, then remove the object
	VerbReplace  Verb = "replace"  // withdraw one object in favour of another
)

// Field is a key and its value as an operator wrote it.
type Field struct {
	Key   string `cbor:"1,keyasint" json:"key"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Change is one statement of an operator that changes the state.
type Change struct {
	Verb        Verb    `cbor:"1,keyasint" json:"verb"`
	Noun        Noun    `cbor:"2,keyasint" json:"noun"`
	Name        string  `cbor:"3,keyasint" json:"name"`
	Replacement string  `cbor:"4,keyasint,omitempty" json:"target,omitempty"` // replace NAME with TARGET
	Fields      []Field `cbor:"5,keyasint,omitempty" json:"fields,omitempty"`
}

// Order tells an engine to change its role, model, adapter or revision. It is
// logged before it is sent.
type Order struct {
	Number       uint64    `cbor:"1,keyasint" json:"number"` // unique, increasing
	Engine       string    `cbor:"2,keyasint" json:"engine"`
	FencingToken uint64    `cbor:"3,keyasint" json:"fence"`
	Role         Role      `cbor:"4,keyasint,omitempty" json:"role,omitempty"`
	Model        string    `cbor:"5,keyasint,omitempty" json:"model,omitempty"`
	Adapter      string    `cbor:"6,keyasint,omitempty" json:"adapter,omitempty"`
	Revision     string    `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	Reason       string    `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	Status       string    `cbor:"9,keyasint" json:"status"` // open, done, failed
	OpenedAt     time.Time `cbor:"10,keyasint" json:"at"`    // when it was opened
	Term         uint64    `cbor:"11,keyasint" json:"term"`  // of the leader responsible for it
}

// Decision records a decision of the planner: its input, the alternatives and
// the choice.
type Decision struct {
	Number     uint64    `cbor:"1,keyasint" json:"number"`
	At         time.Time `cbor:"2,keyasint" json:"at"`
	Engine     string    `cbor:"3,keyasint" json:"engine"`
	Observed   string    `cbor:"4,keyasint" json:"saw"`
	Considered string    `cbor:"5,keyasint" json:"weighed"`
	Chosen     string    `cbor:"6,keyasint" json:"chose"`
}
