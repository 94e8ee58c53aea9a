// Package proto defines the messages between the system's own processes.
// They travel as CBOR over package link, one request and one reply a stream.
package proto

import (
	"context"
	"time"

	"verbenahaven.example/core/version/state"
)

// Kinds of message. The kind selects the handler at the receiver.
const (
	KindRaft   = "raft"   // one-way, keepd to keepd
	KindWatch  = "watch"  // entryd to keepd or entryd
	KindBeat   = "beat"   // entryd to the leading keepd
	KindOnce   = "once"   // entryd to the leading keepd
	KindSlice  = "slice"  // entryd to the leading keepd
	KindStrike = "strike" // entryd to the leading keepd
	KindRun    = "run"    // keepd to the leading keepd
	KindPost   = "post"   // keepd to the leading keepd
	KindTable  = "table"  // keepd to the leading keepd
)

// WatchRequest asks for the state after the version Have. The receiver holds
// the request until it has a newer version or Wait has passed.
type WatchRequest struct {
	Name string        `cbor:"1,keyasint"`
	Have uint64        `cbor:"2,keyasint"`
	Wait time.Duration `cbor:"3,keyasint"`
}

// WatchReply carries a delta or a whole snapshot.
type WatchReply struct {
	View   state.View    `cbor:"1,keyasint"`
	Leader string        `cbor:"2,keyasint,omitempty"` // name of the leading keepd, if known
	Age    time.Duration `cbor:"3,keyasint"`           // since the sender last knew that it was current
}

// Demand sums what arrived at one entry instance in one interval.
type Demand struct {
	Service  string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint"` // a second
	Prefill  float64 `cbor:"3,keyasint"` // prompt tokens a second, cached part left out
	Decode   float64 `cbor:"4,keyasint"` // expected output tokens a second
	Refused  float64 `cbor:"5,keyasint"` // requests a second refused for lack of room
}

// Report is the load of one engine as one entry instance last heard it.
type Report struct {
	Engine  string        `cbor:"1,keyasint"`
	At      time.Time     `cbor:"2,keyasint"`
	Role    state.Role    `cbor:"3,keyasint"`
	Running int           `cbor:"4,keyasint"`
	Waiting int           `cbor:"5,keyasint"`
	Queue   int           `cbor:"6,keyasint"` // prompt tokens that wait for prefill
	Used    float64       `cbor:"7,keyasint"` // share of KV memory in use
	Step    time.Duration `cbor:"8,keyasint"` // time between tokens
	Alive   bool          `cbor:"9,keyasint"`
	Prefill float64       `cbor:"10,keyasint,omitempty"` // prefill rate, prompt tokens a second
	Batch   int           `cbor:"11,keyasint,omitempty"` // largest decode batch
}

// BeatRequest is the heartbeat of an entry instance.
type BeatRequest struct {
	Member   state.Member      `cbor:"1,keyasint"`
	Version  uint64            `cbor:"2,keyasint"` // state version in force here
	Settled  uint64            `cbor:"3,keyasint"` // newest version of which no older request still runs
	Demand   []Demand          `cbor:"4,keyasint,omitempty"`
	Reports  []Report          `cbor:"5,keyasint,omitempty"`
	InFlight map[string]uint32 `cbor:"6,keyasint,omitempty"` // own requests by backend server, only those leaving or changing
	Holder   string            `cbor:"7,keyasint,omitempty"` // as in OnceRequest: keeps the calls that it runs from being given up
	Loads    []Share           `cbor:"8,keyasint,omitempty"` // own work at the engines
	Seen     uint64            `cbor:"9,keyasint,omitempty"` // newest revision of the reports that is known here
}

// Share is the work that entry instances have at an engine.
type Share struct {
	Engine  string `cbor:"1,keyasint"`
	Prefill int    `cbor:"2,keyasint,omitempty"` // prompt tokens that wait for prefill or are in it
	Streams int    `cbor:"3,keyasint,omitempty"` // answers that are generated
	Long    int    `cbor:"4,keyasint,omitempty"` // of these, such that a pause would be noticed
	Tokens  int    `cbor:"5,keyasint,omitempty"` // KV memory that these will need at most
	Later   int    `cbor:"6,keyasint,omitempty"` // prompt tokens that wait behind all of Prefill
}

// Add adds the work of another share of the same engine, or takes it off if
// sign is -1.
func (s *Share) Add(o *Share, sign int) {
	s.Prefill += sign * o.Prefill
	s.Later += sign * o.Later
	s.Streams += sign * o.Streams
	s.Long += sign * o.Long
	s.Tokens += sign * o.Tokens
}

// BeatReply confirms a heartbeat.
type BeatReply struct {
	Version uint64        `cbor:"1,keyasint"`
	Lease   time.Duration `cbor:"2,keyasint"`            // how long the member counts as alive
	Phase   state.Phase   `cbor:"3,keyasint"`            // the phase the state gives this member
	Settled bool          `cbor:"4,keyasint"`            // the phase leaving is in force on all live members
	Loads   []Share       `cbor:"5,keyasint,omitempty"`  // work of all other instances
	Reports []Report      `cbor:"6,keyasint,omitempty"`  // that the leader reads for all: those newer than what was seen
	Seen    uint64        `cbor:"10,keyasint,omitempty"` // revision of the reports with these
	News    []byte        `cbor:"8,keyasint,omitempty"`  // packed state.View: what changed after the version of the heartbeat
	Every   time.Duration `cbor:"9,keyasint,omitempty"`  // until the next heartbeat
	Keepers []string      `cbor:"7,keyasint,omitempty"`  // link addresses, where these are the keepers' names
}

// PostRequest publishes a routing table.
type PostRequest struct {
	Routing state.Routing `cbor:"1,keyasint"`
}

// PostReply tells the number in force once the request has been executed.
type PostReply struct {
	Number uint64 `cbor:"1,keyasint"`
}

// TableRequest asks for the newest routing table.
type TableRequest struct{}

// TableReply carries the document of the newest routing table, empty if none
// was published.
type TableReply struct {
	Number uint64 `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint,omitempty"`
}

// OnceStep is a step of a call that must run at most once.
type OnceStep string

// Steps of a run-once call.
const (
	OnceBegin  OnceStep = "begin"  // record the start before the call leaves
	OnceFinish OnceStep = "finish" // record the answer
	OnceClose  OnceStep = "close"  // promise that this attempt never starts
	OnceLookup OnceStep = "lookup" // read only
)

// Verdict is the ledger's answer to a step.
type Verdict string

// Verdicts of the ledger.
const (
	VerdictStart    Verdict = "start"    // recorded: the holder may send it, once
	VerdictReplay   Verdict = "replay"   // done before: the recorded answer follows
	VerdictBusy     Verdict = "busy"     // another live holder is running it
	VerdictUnknown  Verdict = "unknown"  // its holder vanished; it may have run
	VerdictConflict Verdict = "conflict" // same key, other request
	VerdictFull     Verdict = "full"     // the ledger has no room
	VerdictClosed   Verdict = "closed"   // this attempt can't start any more
	VerdictDone     Verdict = "done"     // the step is recorded
	VerdictNone     Verdict = "none"     // no such record
)

// OnceRequest is one step of a run-once call. Steps are idempotent: the same
// attempt that asks again gets the same verdict.
type OnceRequest struct {
	Step        OnceStep `cbor:"1,keyasint"`
	Account     string   `cbor:"2,keyasint"`
	Service     string   `cbor:"3,keyasint"`
	Key         string   `cbor:"4,keyasint"`
	Fingerprint string   `cbor:"5,keyasint"` // hash of method, path and body
	Attempt     string   `cbor:"6,keyasint"` // unique for each request of a caller
	Holder      string   `cbor:"7,keyasint"` // name and start of the entry instance
	Unknown     bool     `cbor:"8,keyasint,omitempty"`
	Status      int      `cbor:"9,keyasint,omitempty"`
	Type        string   `cbor:"10,keyasint,omitempty"` // content type of the answer
	Body        []byte   `cbor:"11,keyasint,omitempty"`
}

// OnceReply is the verdict, with the recorded answer for a replay.
type OnceReply struct {
	Verdict Verdict       `cbor:"1,keyasint"`
	Status  int           `cbor:"2,keyasint,omitempty"`
	Type    string        `cbor:"3,keyasint,omitempty"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Retry   time.Duration `cbor:"5,keyasint,omitempty"` // when to come back
}

// Grant is a leased slice of an account's limits.
type Grant struct {
	Account  string        `cbor:"1,keyasint"`
	Tokens   float64       `cbor:"2,keyasint"` // a second
	Requests float64       `cbor:"3,keyasint"` // a second
	Term     time.Duration `cbor:"4,keyasint"` // validity, counted from when the request was sent
}

// SliceRequest asks for slices by the use seen in the last interval.
type SliceRequest struct {
	Name  string  `cbor:"1,keyasint"`
	Wants []Grant `cbor:"2,keyasint"`
}

// SliceReply carries the slices.
type SliceReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// StrikeRequest records that an engine was lost while it ran a request, or
// clears a request that succeeded.
type StrikeRequest struct {
	Fingerprint string `cbor:"1,keyasint"`
	Engine      string `cbor:"2,keyasint"`
	Clear       bool   `cbor:"3,keyasint,omitempty"`
}

// StrikeReply tells how many engines the request has cost.
type StrikeReply struct {
	Count   int       `cbor:"1,keyasint"`
	Until   time.Time `cbor:"2,keyasint"`
	Engines []string  `cbor:"3,keyasint,omitempty"` // lost, and pledged before a try
}

// RunRequest is a text in the operators' language. It is also the JSON body
// of POST /run on a keepd.
type RunRequest struct {
	Operator string `cbor:"1,keyasint" json:"operator"`
	Number   uint64 `cbor:"2,keyasint" json:"number"`           // for changes: unique for the operator
	Expect   uint64 `cbor:"3,keyasint" json:"expect,omitempty"` // version the operator expects, 0 for any
	Text     string `cbor:"4,keyasint" json:"text"`
}

// RunReply is the answer to a text: a table for each statement.
type RunReply struct {
	Version uint64  `cbor:"1,keyasint" json:"version"`
	Tables  []Table `cbor:"2,keyasint" json:"tables"`
}

// Table is a result in rows.
type Table struct {
	Columns []string   `cbor:"1,keyasint" json:"columns"`
	Rows    [][]string `cbor:"2,keyasint" json:"rows"`
}

// Keeper is what an entry instance needs from those that keep the state.
type Keeper interface {
	Watch(ctx context.Context, r WatchRequest) (WatchReply, error)
	Beat(ctx context.Context, r BeatRequest) (BeatReply, error)
	Once(ctx context.Context, r OnceRequest) (OnceReply, error)
	Slice(ctx context.Context, r SliceRequest) (SliceReply, error)
	Strike(ctx context.Context, r StrikeRequest) (StrikeReply, error)
}
