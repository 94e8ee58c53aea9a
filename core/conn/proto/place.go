package proto

import "time"

// PlaceMessage is a datagram between entry instances. Most go between an instance
// and the broker of its data centre, the instance that places its generations.
// Datagrams may be lost, so each of these carries the sender's last events again, but for
// the failures of engines.
type PlaceMessage struct {
	From    string         `cbor:"1,keyasint"` // name of the sender
	Ask     *PlaceRequest  `cbor:"2,keyasint,omitempty"`
	Reply   *PlaceReply    `cbor:"3,keyasint,omitempty"`
	Events  []PlaceEvent   `cbor:"4,keyasint,omitempty"`
	Origins []StreamOrigin `cbor:"5,keyasint,omitempty"`
	Find    string         `cbor:"6,keyasint,omitempty"` // ID of a stream whose origin is asked for
	Found   *FindReply     `cbor:"7,keyasint,omitempty"`
	Limits  []ServerLimit  `cbor:"8,keyasint,omitempty"`  // heard by the sender just now
	Notices []ServerNotice `cbor:"20,keyasint,omitempty"` // the same
}

// StreamOrigin is the software build that began a stream.
type StreamOrigin struct {
	ID    string        `cbor:"1,keyasint"` // of the caller's request that got the first event
	Pool  string        `cbor:"2,keyasint"`
	Build string        `cbor:"3,keyasint,omitempty"`
	Left  time.Duration `cbor:"4,keyasint"` // until the caller gives the stream up
}

// FindReply answers the question for a stream's origin.
type FindReply struct {
	ID     string        `cbor:"1,keyasint"`           // of the stream
	Origin *StreamOrigin `cbor:"2,keyasint,omitempty"` // nil if it isn't known
}

// PlaceRequest asks for engines for a generation.
type PlaceRequest struct {
	ID        string        `cbor:"1,keyasint"` // of the request
	Pool      string        `cbor:"2,keyasint"`
	Tokens    int           `cbor:"3,keyasint"` // length of the prompt
	Parts     []PlacePart   `cbor:"4,keyasint,omitempty"`
	MaxOutput int           `cbor:"5,keyasint,omitempty"`  // maximum output length, in tokens
	Hint      int           `cbor:"6,keyasint,omitempty"`  // caller's estimate of it
	Target    time.Duration `cbor:"7,keyasint,omitempty"`  // latency target of the first event
	TimeLeft  time.Duration `cbor:"8,keyasint,omitempty"`  // until the caller's deadline
	Avoid     []string      `cbor:"9,keyasint,omitempty"`  // engines at which the request failed
	Admit     bool          `cbor:"10,keyasint,omitempty"` // the request may still be refused for load
	Deferred  bool          `cbor:"11,keyasint,omitempty"` // it was deferred before
	Build     *string       `cbor:"12,keyasint,omitempty"` // software build that must decode, nil for any
	Account   string        `cbor:"13,keyasint,omitempty"` // of the caller
	Priority  int           `cbor:"14,keyasint,omitempty"` // of the account, 0 if it has none
	GapTarget time.Duration `cbor:"15,keyasint,omitempty"` // longest time between two events
}

// PlacePart is a part of a prompt.
type PlacePart struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens int
}

// PlaceReply is the broker's decision. Without a decode engine there is none
// that can take the request.
type PlaceReply struct {
	ID            string        `cbor:"1,keyasint"`           // of the request
	Prefill       string        `cbor:"2,keyasint,omitempty"` // engines, by name
	Decode        string        `cbor:"3,keyasint,omitempty"`
	Fetch         string        `cbor:"4,keyasint,omitempty"` // URL of the engine that may hold shared parts
	Expected      time.Duration `cbor:"5,keyasint,omitempty"` // until the first event
	PrefillTokens int           `cbor:"6,keyasint,omitempty"` // prompt tokens to compute
	QueuedTokens  int           `cbor:"7,keyasint,omitempty"` // prompt tokens queued before
	QueueWait     time.Duration `cbor:"8,keyasint,omitempty"`
	Deferred      bool          `cbor:"9,keyasint,omitempty"`
	Refused       bool          `cbor:"10,keyasint,omitempty"`
	RetryAfter    time.Duration `cbor:"11,keyasint,omitempty"` // of a refusal
	Margin        time.Duration `cbor:"12,keyasint,omitempty"` // added to Expected for admission
	Limit         time.Duration `cbor:"13,keyasint,omitempty"` // that Expected and Margin must not exceed together
	Preferred     bool          `cbor:"14,keyasint,omitempty"` // admitted since the account was served too rarely
}

// PlaceEventKind is what happened to a placed generation.
type PlaceEventKind uint8

// Kinds of event.
const (
	PlacePrefilled PlaceEventKind = iota + 1 // its prompt was computed at the prefill engine
	PlaceStarted                             // its first event arrived
	PlaceEnded                               // it ended, or was given up
	PlaceFailed                              // an engine answered with a failure
	PlaceLost                                // an engine couldn't be reached, or broke the connection
	PlaceReachable                           // the sender takes back that an engine was lost: it had no path to any
	PlaceRejected                            // an engine turned a request away without running it
	PlaceSlow                                // an engine's events come late: it is in a slowdown
	PlaceRecovered                           // they come on time again
)

// PlaceEvent tells the broker what happened to a generation that it placed.
type PlaceEvent struct {
	Kind   PlaceEventKind `cbor:"1,keyasint"`
	ID     string         `cbor:"2,keyasint,omitempty"` // of the request
	Took   time.Duration  `cbor:"3,keyasint,omitempty"` // of the prefill, until the first event of the decode engine, or of the answer after it
	Since  time.Duration  `cbor:"4,keyasint,omitempty"` // until the first event, since the request arrived
	Engine string         `cbor:"5,keyasint,omitempty"` // for PlaceFailed and the kinds after it
	Tokens int            `cbor:"6,keyasint,omitempty"` // most tokens that a complete answer may hold, with its end
	Sender string         `cbor:"-"`                    // name of the instance that it was received from, empty for this one
}
