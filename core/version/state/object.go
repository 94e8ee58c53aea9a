// Package state holds the replicated state of a deployment: what operators
// declared, which instances belong to it, open orders, leases and the ledger
// of run-once calls. It is deterministic: time comes in with each command.
package state

import "time"

// Role is the part of a request that an engine serves.
type Role string

// Roles of engines. A mixed engine serves both phases of a request.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Phase is the stage of life of an instance or backend server.
type Phase string

// Phases. Only serving objects get new work.
const (
	PhaseServing  Phase = "serving"
	PhaseLeaving  Phase = "leaving"
	PhaseChanging Phase = "changing"
	PhaseLost     Phase = "lost"
	PhaseGone     Phase = "gone"
)

// Class is the priority class of a service.
type Class string

// Classes. The first class always has reserved room.
const (
	ClassFirst Class = "first"
	ClassBatch Class = "batch"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// Kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a named use of a model, or a plain HTTP service.
type Service struct {
	Name     string        `cbor:"1,keyasint" json:"name"`
	Kind     ServiceKind   `cbor:"2,keyasint" json:"kind"`
	Model    string        `cbor:"3,keyasint,omitempty" json:"model,omitempty"`
	Adapter  string        `cbor:"4,keyasint,omitempty" json:"adapter,omitempty"`
	Revision string        `cbor:"5,keyasint,omitempty" json:"revision,omitempty"`
	Class    Class         `cbor:"6,keyasint" json:"class"`
	Deadline time.Duration `cbor:"7,keyasint" json:"deadline"` // whole answer, for plain calls and batch
	First    time.Duration `cbor:"8,keyasint" json:"first"`    // first token
	Once     bool          `cbor:"9,keyasint,omitempty" json:"once,omitempty"`
	Version  uint64        `cbor:"10,keyasint" json:"version"`
}

// Model is a set of weights that engines can load.
type Model struct {
	Name     string   `cbor:"1,keyasint" json:"name"`
	Revision string   `cbor:"2,keyasint" json:"revision"`
	Adapters []string `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	Version  uint64   `cbor:"4,keyasint" json:"version"`
}

// Engine is a backend server that runs a model.
type Engine struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	URL      string `cbor:"2,keyasint" json:"url"`
	Centre   string `cbor:"3,keyasint" json:"centre"`
	Role     Role   `cbor:"4,keyasint" json:"role"`
	Model    string `cbor:"5,keyasint" json:"model"`
	Adapter  string `cbor:"6,keyasint,omitempty" json:"adapter,omitempty"`
	Revision string `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	Phase    Phase  `cbor:"8,keyasint" json:"phase"`
	Fenced   bool   `cbor:"9,keyasint" json:"fenced"` // checks fencing numbers
	Version  uint64 `cbor:"10,keyasint" json:"version"`
	Pool     string `cbor:"11,keyasint,omitempty" json:"pool,omitempty"`   // of a routing table, "" where operators declare services
	Serial   int64  `cbor:"12,keyasint,omitempty" json:"serial,omitempty"` // of its start; a higher one has lost its cache
}

// Server is a backend server of a plain service.
type Server struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	URL     string `cbor:"2,keyasint" json:"url"`
	Centre  string `cbor:"3,keyasint" json:"centre"`
	Service string `cbor:"4,keyasint" json:"service"`
	Phase   Phase  `cbor:"5,keyasint" json:"phase"`
	Version uint64 `cbor:"6,keyasint" json:"version"`
}

// Account is a client or operator account.
type Account struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Digest   string `cbor:"2,keyasint" json:"digest"` // hex SHA-256 of the bearer token
	Tokens   uint64 `cbor:"3,keyasint" json:"tokens"` // tokens a second, 0 is no limit
	Requests uint64 `cbor:"4,keyasint" json:"requests"`
	Operator bool   `cbor:"5,keyasint,omitempty" json:"operator,omitempty"`
	Version  uint64 `cbor:"6,keyasint" json:"version"`
}

// MemberKind tells entry instances from those that keep the state.
type MemberKind string

// Kinds of instance.
const (
	MemberEntry MemberKind = "entry"
	MemberKeep  MemberKind = "keep"
)

// Member is an instance of the system itself.
type Member struct {
	Name    string     `cbor:"1,keyasint" json:"name"`
	Kind    MemberKind `cbor:"2,keyasint" json:"kind"`
	URL     string     `cbor:"3,keyasint" json:"url"`  // callers' HTTP address
	Link    string     `cbor:"4,keyasint" json:"link"` // host:port of the QUIC link
	Centre  string     `cbor:"5,keyasint" json:"centre"`
	Phase   Phase      `cbor:"6,keyasint" json:"phase"`
	Version uint64     `cbor:"7,keyasint" json:"version"`
}

// Strike counts the backend servers that were lost while they ran a request.
type Strike struct {
	Fingerprint string    `cbor:"1,keyasint" json:"fingerprint"`
	Engines     []string  `cbor:"2,keyasint" json:"engines"`
	Until       time.Time `cbor:"3,keyasint" json:"until"`
	Version     uint64    `cbor:"4,keyasint" json:"version"`
}

// View is what instances need of one version of the state. As a delta it has
// only the objects that changed after the version Since, and the names of
// those that were removed.
type View struct {
	Version  uint64    `cbor:"1,keyasint" json:"version"`
	Since    uint64    `cbor:"2,keyasint" json:"since"` // 0 for a whole snapshot
	Services []Service `cbor:"3,keyasint,omitempty" json:"services,omitempty"`
	Models   []Model   `cbor:"4,keyasint,omitempty" json:"models,omitempty"`
	Engines  []Engine  `cbor:"5,keyasint,omitempty" json:"engines,omitempty"`
	Servers  []Server  `cbor:"6,keyasint,omitempty" json:"servers,omitempty"`
	Accounts []Account `cbor:"7,keyasint,omitempty" json:"accounts,omitempty"`
	Members  []Member  `cbor:"8,keyasint,omitempty" json:"members,omitempty"`
	Strikes  []Strike  `cbor:"9,keyasint,omitempty" json:"strikes,omitempty"`
	Removed  []Removed `cbor:"10,keyasint,omitempty" json:"removed,omitempty"`
	Routing  *Routing  `cbor:"11,keyasint,omitempty" json:"-"` // nil if it didn't change
}

// Removed names an object that is no longer part of the state.
type Removed struct {
	Noun    Noun   `cbor:"1,keyasint" json:"noun"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Version uint64 `cbor:"3,keyasint" json:"version"`
}

// Noun names a kind of object in the operators' language.
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

// Field is one key with its value as an operator wrote it.
type Field struct {
	Key   string `cbor:"1,keyasint" json:"key"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Change is one statement of an operator that changes the state.
type Change struct {
	Verb   Verb    `cbor:"1,keyasint" json:"verb"`
	Noun   Noun    `cbor:"2,keyasint" json:"noun"`
	Name   string  `cbor:"3,keyasint" json:"name"`
	Target string  `cbor:"4,keyasint,omitempty" json:"target,omitempty"` // replace NAME with TARGET
	Fields []Field `cbor:"5,keyasint,omitempty" json:"fields,omitempty"`
}

// Order is an instruction to an engine, with the intent that was logged
// before it was sent.
type Order struct {
	Number   uint64    `cbor:"1,keyasint" json:"number"` // unique, increasing
	Engine   string    `cbor:"2,keyasint" json:"engine"`
	Fence    uint64    `cbor:"3,keyasint" json:"fence"`
	Role     Role      `cbor:"4,keyasint,omitempty" json:"role,omitempty"`
	Model    string    `cbor:"5,keyasint,omitempty" json:"model,omitempty"`
	Adapter  string    `cbor:"6,keyasint,omitempty" json:"adapter,omitempty"`
	Revision string    `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	Reason   string    `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	Status   string    `cbor:"9,keyasint" json:"status"` // open, done, failed
	At       time.Time `cbor:"10,keyasint" json:"at"`
	Term     uint64    `cbor:"11,keyasint" json:"term"` // of the leader that answers for it
}

// Decision is a record of what the planner saw, weighed and chose.
type Decision struct {
	Number  uint64    `cbor:"1,keyasint" json:"number"`
	At      time.Time `cbor:"2,keyasint" json:"at"`
	Engine  string    `cbor:"3,keyasint" json:"engine"`
	Saw     string    `cbor:"4,keyasint" json:"saw"`
	Weighed string    `cbor:"5,keyasint" json:"weighed"`
	Chose   string    `cbor:"6,keyasint" json:"chose"`
}
