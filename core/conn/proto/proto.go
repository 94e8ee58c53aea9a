// Package proto defines the RPC messages between the system's own processes:
// heartbeats, state watches, leased rate limits, run-once records and operator
// commands. They are encoded as CBOR and sent over package link, one request
// and one reply per stream.
package proto

import (
	"context"
	"time"

	"verbenahaven.example/core/version/state"
)

// Message kinds. The kind selects the receiver's handler.
const (
	KindRaft      = "raft"   // one-way, keepd to keepd
	KindWatch     = "watch"  // entryd to keepd or entryd
	KindHeartbeat = "beat"   // entryd to the leading keepd
	KindOnce      = "once"   // entryd to the leading keepd
	KindGrants    = "slice"  // entryd to the leading keepd
	KindStrike    = "strike" // entryd to the leading keepd
	KindScreen    = "screen" // entryd to the leading keepd
	KindRun       = "run"    // keepd to the leading keepd
	KindPublish   = "post"   // keepd to the leading keepd
	KindRouting   = "table"  // keepd to the leading keepd
	KindGroup     = "group"  // keepd to the leading keepd
	KindMembers   = "member" // keepd that is a member of the log to one that may not be
)

// GroupRequest asks for the members of the log.
type GroupRequest struct{}

// Group names members of the log by their link addresses. As a message of KindMembers it
// introduces them to a keepd that may know none.
type Group struct {
	Members []string `cbor:"1,keyasint"`
	Leader  string   `cbor:"2,keyasint,omitempty"` // "" if it isn't known
}

// GroupReply acknowledges a Group.
type GroupReply struct{}

// WatchRequest is a long poll for state newer than AfterVersion. The receiver
// holds the request until it has a newer version or MaxWait has passed.
type WatchRequest struct {
	Name         string        `cbor:"1,keyasint"` // of the sender
	AfterVersion uint64        `cbor:"2,keyasint"`
	MaxWait      time.Duration `cbor:"3,keyasint"`
}

// WatchReply carries a delta or a full snapshot of the state.
type WatchReply struct {
	View   state.View    `cbor:"1,keyasint"`
	Leader string        `cbor:"2,keyasint,omitempty"` // name of the keepd that leads, if known
	Age    time.Duration `cbor:"3,keyasint"`           // time since the sender last knew that its state was current
}

// Demand is the request load of a service at one entry instance over one
// interval.
type Demand struct {
	Service     string  `cbor:"1,keyasint"`
	RequestRate float64 `cbor:"2,keyasint"` // requests per second
	PrefillRate float64 `cbor:"3,keyasint"` // prompt tokens per second, without cached ones
	DecodeRate  float64 `cbor:"4,keyasint"` // expected output tokens per second
	RefusalRate float64 `cbor:"5,keyasint"` // requests per second refused for lack of capacity
}

// Report is the load of one engine as last reported to the sender.
type Report struct {
	Engine             string        `cbor:"1,keyasint"`
	At                 time.Time     `cbor:"2,keyasint,omitzero"` // by the clock of the instance that read it
	Role               state.Role    `cbor:"3,keyasint,omitempty"`
	Running            int           `cbor:"4,keyasint,omitempty"`
	Waiting            int           `cbor:"5,keyasint,omitempty"`
	PrefillQueueTokens int           `cbor:"6,keyasint,omitempty"` // prompt tokens waiting for prefill
	KVUsage            float64       `cbor:"7,keyasint,omitempty"` // fraction of KV cache memory in use
	TPOT               time.Duration `cbor:"8,keyasint,omitempty"` // time per output token
	Alive              bool          `cbor:"9,keyasint,omitempty"`
	PrefillRate        float64       `cbor:"10,keyasint,omitempty"` // prefill rate, in prompt tokens per second
	PrefillDelay       time.Duration `cbor:"14,keyasint,omitempty"` // time of a prefill besides its tokens
	MaxBatch           int           `cbor:"11,keyasint,omitempty"` // maximum decode batch size
	StartTime          time.Duration `cbor:"12,keyasint,omitempty"` // until the first event of an answer whose prompt is prefilled elsewhere
	EventGap           time.Duration `cbor:"15,keyasint,omitempty"` // expected between two events of a long answer
	SlowGap            time.Duration `cbor:"16,keyasint,omitempty"` // the same during a slowdown
	Age                time.Duration `cbor:"13,keyasint,omitempty"` // in place of At between instances, whose clocks may differ
	Leaving            bool          `cbor:"17,keyasint,omitempty"` // the engine will stop soon
	Reclaimable        bool          `cbor:"18,keyasint,omitempty"` // the platform may take the engine away at short notice
	GapSeen            bool          `cbor:"19,keyasint,omitempty"` // EventGap was observed of the engine, not only of others of its pool
	Orders             uint64        `cbor:"-"`                     // accepted since the engine started; known to the leader only
}

// EngineSpeed sums up in what time an engine did what work, as an entry instance
// observed it. Sums are fractional where older observations weigh less.
type EngineSpeed struct {
	Engine        string  `cbor:"1,keyasint"`
	Prefills      float64 `cbor:"2,keyasint,omitempty"` // number of prefills
	Tokens        float64 `cbor:"3,keyasint,omitempty"` // 1,000 prompt tokens computed, including those queued before
	Seconds       float64 `cbor:"4,keyasint,omitempty"` // until they were computed
	TokensSquared float64 `cbor:"5,keyasint,omitempty"` // sum of the squares of Tokens
	TokensSeconds float64 `cbor:"6,keyasint,omitempty"` // sum of the products of Tokens and Seconds
	Starts        float64 `cbor:"7,keyasint,omitempty"` // number of answers that started after a prefill elsewhere
	StartSeconds  float64 `cbor:"8,keyasint,omitempty"` // until their first events
	Gaps          float64 `cbor:"9,keyasint,omitempty"` // number of gaps between events of long answers, outside slowdowns
	GapSeconds    float64 `cbor:"10,keyasint,omitempty"`
	SlowGaps      float64 `cbor:"11,keyasint,omitempty"` // the same during slowdowns
	SlowSeconds   float64 `cbor:"12,keyasint,omitempty"`
	Answers       float64 `cbor:"-"` // that ran meanwhile, set by the receiver
}

// Add adds other observations of the same engine.
func (s *EngineSpeed) Add(other *EngineSpeed) {
	s.Prefills += other.Prefills
	s.Tokens += other.Tokens
	s.Seconds += other.Seconds
	s.TokensSquared += other.TokensSquared
	s.TokensSeconds += other.TokensSeconds
	s.Starts += other.Starts
	s.StartSeconds += other.StartSeconds
	s.Gaps += other.Gaps
	s.GapSeconds += other.GapSeconds
	s.SlowGaps += other.SlowGaps
	s.SlowSeconds += other.SlowSeconds
}

// HeartbeatRequest is the heartbeat of an entry instance, with its load.
type HeartbeatRequest struct {
	Member          state.Member      `cbor:"1,keyasint"`
	Version         uint64            `cbor:"2,keyasint"` // sender's current version of the state
	DrainedVersion  uint64            `cbor:"3,keyasint"` // newest version for which all requests started under older versions have ended
	Demand          []Demand          `cbor:"4,keyasint,omitempty"`
	Reports         []Report          `cbor:"5,keyasint,omitempty"`
	InFlight        map[string]uint32 `cbor:"6,keyasint,omitempty"`  // sender's requests by backend server, only for servers that are leaving or changing
	Holder          string            `cbor:"7,keyasint,omitempty"`  // as in OnceRequest; keeps its running calls from being declared unknown
	OwnWork         []EngineWork      `cbor:"8,keyasint,omitempty"`  // sender's work at the engines
	ReportsRevision uint64            `cbor:"9,keyasint,omitempty"`  // newest revision of the reports that the sender has
	Speeds          []EngineSpeed     `cbor:"10,keyasint,omitempty"` // what the sender observed since it last sent them
	Delegates       bool              `cbor:"11,keyasint,omitempty"` // another instance schedules the sender's generations, so it needs no loads
	Limits          []ServerLimit     `cbor:"12,keyasint,omitempty"` // what the sender heard of limits since it last sent them
	Usage           []UsageCount      `cbor:"13,keyasint,omitempty"` // those that changed since the leader last acknowledged them
	UsageFrom       string            `cbor:"14,keyasint,omitempty"` // the sender's process start, under which Usage is counted
	TimeOfDay       int64             `cbor:"15,keyasint,omitempty"` // of the sender's clock, in Unix milliseconds
	UsageTerm       uint64            `cbor:"20,keyasint,omitempty"` // term of the leader that knows all of the sender's counts with this heartbeat, 0 if none does
	Notices         []ServerNotice    `cbor:"21,keyasint,omitempty"` // what servers told the sender since it last sent them
	WorkRevision    uint64            `cbor:"22,keyasint,omitempty"` // revision of OtherWork that the sender has, 0 for none
}

// UsageCount is how many requests of a client account began to run in a window, as far
// as one process has seen.
type UsageCount struct {
	_       struct{} `cbor:",toarray"`
	Window  int64
	Account string
	Count   uint64 // since the window began
}

// ServerLimit is what a backend server said of the requests that it takes.
type ServerLimit struct {
	Server  string        `cbor:"1,keyasint"`
	Limited bool          `cbor:"2,keyasint,omitempty"` // false: it named no limit any more
	Rate    float64       `cbor:"3,keyasint,omitempty"` // requests a second from all instances together
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since it said so
}

// ServerNotice is what a backend server said of itself.
type ServerNotice struct {
	Server  string        `cbor:"1,keyasint"`
	Start   string        `cbor:"2,keyasint"` // which start of the server said so
	Leaving bool          `cbor:"3,keyasint,omitempty"`
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // since it said so
}

// FormerBuild is a build of which the last backend server of a pool has left the list.
type FormerBuild struct {
	Pool  string        `cbor:"1,keyasint"`
	Build string        `cbor:"2,keyasint"`
	Age   time.Duration `cbor:"3,keyasint,omitempty"` // since it left
}

// EngineWork is the outstanding work of entry instances at an engine.
type EngineWork struct {
	Engine         string `cbor:"1,keyasint"`
	PrefillTokens  int    `cbor:"2,keyasint,omitempty"` // prompt tokens waiting for or in prefill
	Streams        int    `cbor:"3,keyasint,omitempty"` // answers being generated
	LongStreams    int    `cbor:"4,keyasint,omitempty"` // number of Streams in which the caller would notice a pause
	KVTokens       int    `cbor:"5,keyasint,omitempty"` // maximum KV cache memory that Streams will need, in tokens
	DeferredTokens int    `cbor:"6,keyasint,omitempty"` // prompt tokens of deferred calls, queued behind all of PrefillTokens
	// DeferredStreams is the number of Streams that get a batch slot after all others.
	DeferredStreams int `cbor:"7,keyasint,omitempty"`
}

// WorkEngine returns the engine of a work.
func WorkEngine(w EngineWork) string { return w.Engine }

// Add adds the work of another EngineWork of the same engine, or subtracts it if
// sign is -1.
func (s *EngineWork) Add(other *EngineWork, sign int) {
	s.PrefillTokens += sign * other.PrefillTokens
	s.DeferredTokens += sign * other.DeferredTokens
	s.DeferredStreams += sign * other.DeferredStreams
	s.Streams += sign * other.Streams
	s.LongStreams += sign * other.LongStreams
	s.KVTokens += sign * other.KVTokens
}

// HeartbeatReply is the leader's reply to a heartbeat.
type HeartbeatReply struct {
	Version         uint64         `cbor:"1,keyasint"`
	Lease           time.Duration  `cbor:"2,keyasint"`            // how long the member is considered alive
	Phase           state.Phase    `cbor:"3,keyasint"`            // phase of this member in the state
	LeavingApplied  bool           `cbor:"4,keyasint"`            // all live members have applied the phase leaving
	OtherWork       []EngineWork   `cbor:"5,keyasint,omitempty"`  // work of all other entry instances; with WorkBase only what changed
	Reports         []Report       `cbor:"6,keyasint,omitempty"`  // engine reports collected by the leader that are newer than the request's ReportsRevision
	ReportsRevision uint64         `cbor:"10,keyasint,omitempty"` // revision of the reports including these
	Delta           []byte         `cbor:"8,keyasint,omitempty"`  // packed state.View: delta since the version of the heartbeat
	Limits          []ServerLimit  `cbor:"11,keyasint,omitempty"` // the newest that any instance heard of limits
	Interval        time.Duration  `cbor:"9,keyasint,omitempty"`  // interval until the next heartbeat
	KeeperAddresses []string       `cbor:"7,keyasint,omitempty"`  // keepers' link addresses, if keepers are named by address
	UsageClosed     int64          `cbor:"12,keyasint,omitempty"` // newest window whose counts are final
	ClockOffset     time.Duration  `cbor:"13,keyasint,omitempty"` // to be added to the receiver's clock; valid only with UsageTerm
	UsageTerm       uint64         `cbor:"20,keyasint,omitempty"` // term of the leader, which has taken the usage; 0 if it takes none yet
	Notices         []ServerNotice `cbor:"21,keyasint,omitempty"` // the newest that servers told any instance
	FormerBuilds    []FormerBuild  `cbor:"22,keyasint,omitempty"` // those of the last hour, as of Version
	WorkBase        uint64         `cbor:"23,keyasint,omitempty"` // the request's WorkRevision, if OtherWork is a change
	WorkRevision    uint64         `cbor:"24,keyasint,omitempty"` // of OtherWork including this change
	WorkGone        []string       `cbor:"25,keyasint,omitempty"` // engines without work since then
}

// PublishRequest publishes a routing table.
type PublishRequest struct {
	Routing state.RoutingTable `cbor:"1,keyasint"`
}

// PublishReply carries the number of the current routing table after the request.
type PublishReply struct {
	Number uint64 `cbor:"1,keyasint"`
}

// RoutingRequest requests the latest routing table.
type RoutingRequest struct{}

// RoutingReply carries the document of the latest routing table, empty if none
// was published.
type RoutingReply struct {
	Number uint64 `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint,omitempty"`
}

// OnceStep is a step of a run-once call: one that must run at most once.
type OnceStep string

// Steps of a run-once call.
const (
	OnceBegin  OnceStep = "begin"  // record the start before the call is sent
	OnceFinish OnceStep = "finish" // record the call's answer
	OnceClose  OnceStep = "close"  // ensure that this attempt never starts
	OnceLookup OnceStep = "lookup" // read only
)

// Verdict is the result of a step at the ledger of run-once calls.
type Verdict string

// Verdict values.
const (
	VerdictProceed        Verdict = "start"    // start recorded: the holder may send the call once
	VerdictReplay         Verdict = "replay"   // already done: the recorded answer follows
	VerdictBusy           Verdict = "busy"     // another live holder is running it
	VerdictOutcomeUnknown Verdict = "unknown"  // its holder is lost or recorded no outcome; the call may have run
	VerdictConflict       Verdict = "conflict" // key already used by a different request
	VerdictFull           Verdict = "full"     // the ledger is full
	VerdictClosed         Verdict = "closed"   // this attempt can no longer start
	VerdictRecorded       Verdict = "done"     // the step is recorded
	VerdictNotFound       Verdict = "none"     // record not found
)

// OnceRequest is one step of a run-once call. Steps are idempotent: retrying a
// step of the same attempt gives the same verdict.
type OnceRequest struct {
	Step           OnceStep `cbor:"1,keyasint"`
	Account        string   `cbor:"2,keyasint"`
	Service        string   `cbor:"3,keyasint"`
	Key            string   `cbor:"4,keyasint"`
	Fingerprint    string   `cbor:"5,keyasint"` // hash of method, path and body
	Attempt        string   `cbor:"6,keyasint"` // unique per caller request
	Holder         string   `cbor:"7,keyasint"` // name and start time of the entry instance
	OutcomeUnknown bool     `cbor:"8,keyasint,omitempty"`
	Status         int      `cbor:"9,keyasint,omitempty"`
	ContentType    string   `cbor:"10,keyasint,omitempty"` // content type of the answer
	Body           []byte   `cbor:"11,keyasint,omitempty"`
}

// OnceReply carries the verdict, and the recorded answer for VerdictReplay.
type OnceReply struct {
	Verdict     Verdict       `cbor:"1,keyasint"`
	Status      int           `cbor:"2,keyasint,omitempty"`
	ContentType string        `cbor:"3,keyasint,omitempty"`
	Body        []byte        `cbor:"4,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"5,keyasint,omitempty"` // when to retry
}

// Grant carries a slice: the part of an account's rate limits that is leased to
// one entry instance.
type Grant struct {
	Account     string        `cbor:"1,keyasint"`
	TokenRate   float64       `cbor:"2,keyasint"` // per second
	RequestRate float64       `cbor:"3,keyasint"` // per second
	TTL         time.Duration `cbor:"4,keyasint"` // lease duration, counted from when the request was sent
}

// GrantRequest requests grants according to the use in the last interval.
type GrantRequest struct {
	Name    string  `cbor:"1,keyasint"` // of the sender
	Demands []Grant `cbor:"2,keyasint"`
}

// GrantReply carries the grants.
type GrantReply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// StrikeRequest records that an engine was lost while it ran a request, which
// may mean that the request crashes engines. Clear removes the strikes of a
// request that succeeded.
type StrikeRequest struct {
	Fingerprint string `cbor:"1,keyasint"`
	Engine      string `cbor:"2,keyasint"`
	Clear       bool   `cbor:"3,keyasint,omitempty"`
}

// StrikeReply carries the number of engines lost while they ran the request.
type StrikeReply struct {
	Count     int       `cbor:"1,keyasint"`
	ExpiresAt time.Time `cbor:"2,keyasint"`
	Engines   []string  `cbor:"3,keyasint,omitempty"` // engines lost, and pledges: engines recorded before an attempt
}

// RunRequest is a text of statements in the operators' command language. It is
// also the JSON body of POST /run on a keepd.
type RunRequest struct {
	Operator        string `cbor:"1,keyasint" json:"operator"`
	Number          uint64 `cbor:"2,keyasint" json:"number"`           // for changes: unique per operator
	ExpectedVersion uint64 `cbor:"3,keyasint" json:"expect,omitempty"` // state version the operator expects, 0 for any
	Text            string `cbor:"4,keyasint" json:"text"`
}

// RunReply is the result of a text: one table per statement.
type RunReply struct {
	Version uint64  `cbor:"1,keyasint" json:"version"`
	Tables  []Table `cbor:"2,keyasint" json:"tables"`
}

// Table is a statement's result as rows of text.
type Table struct {
	Columns []string   `cbor:"1,keyasint" json:"columns"`
	Rows    [][]string `cbor:"2,keyasint" json:"rows"`
}

// Keeper is the interface of the replicated state as used by entry instances.
type Keeper interface {
	Watch(ctx context.Context, r WatchRequest) (WatchReply, error)
	Heartbeat(ctx context.Context, r HeartbeatRequest) (HeartbeatReply, error)
	Once(ctx context.Context, r OnceRequest) (OnceReply, error)
	RequestGrants(ctx context.Context, r GrantRequest) (GrantReply, error)
	Strike(ctx context.Context, r StrikeRequest) (StrikeReply, error)
	Screen(ctx context.Context, r state.Screening) (state.Permission, error)
}
