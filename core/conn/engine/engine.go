// Package engine defines the HTTP interface of model engines: chat and text
// completions as server-sent events, load reports, cache events, KV transfer,
// cancel and orders.
package engine

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// Paths of the engine interface.
const (
	PathChat     = "/v1/chat/completions" // POST Request, SSE of Event; the status comes once the KV cache of Handle was taken over
	PathComplete = "/v1/completions"      // POST Request, SSE of Event
	PathPrefill  = "/prefill"             // POST Request, Prefilled
	PathExport   = "/kv/export"           // GET ?handle=, KV bytes; called by the importing engine
	PathLoad     = "/load"                // GET, Load
	PathCache    = "/cache"               // GET ?since=SEQ, CacheEvents
	PathCancel   = "/cancel"              // POST Cancel
	PathOrder    = "/order"               // POST state.Order, OrderResult
	PathState    = "/state"               // GET, Status
)

// PieceTokens is the number of prompt tokens in one piece of prefix cache.
const PieceTokens = 2000

// Done is the data of the SSE event that ends a whole answer.
const Done = "[DONE]"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a completion request. The first block is the public API that
// callers use; the second is added between the system and its engines.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Seed      int64     `json:"seed,omitempty"`

	Attempt  string   `json:"attempt,omitempty"`  // echoed in each event
	Priority int      `json:"priority,omitempty"` // lower is served earlier
	Adapter  string   `json:"adapter,omitempty"`
	Revision string   `json:"revision,omitempty"`
	Resume   int      `json:"resume,omitempty"` // tokens already delivered; the stream goes on after them
	Prefix   string   `json:"prefix,omitempty"` // text of the tokens already delivered
	Source   string   `json:"source,omitempty"` // URL of the engine that holds the KV cache
	Handle   string   `json:"handle,omitempty"` // KV handle at Source
	Pieces   []string `json:"pieces,omitempty"` // hashes of the prompt's pieces, in order
	Tokens   int      `json:"tokens,omitempty"` // prompt length as the sender counted it
}

// Choice is one alternative of an event. Chat events fill Delta, text
// completions fill Text.
type Choice struct {
	Index  int     `json:"index"`
	Delta  Message `json:"delta"`
	Text   string  `json:"text,omitempty"`
	Finish string  `json:"finish_reason,omitempty"` // stop, length
}

// Event is one server-sent event: one token of an answer.
type Event struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt string   `json:"attempt,omitempty"` // not passed on to callers
	Token   int      `json:"token"`             // position in the answer, from 0
	Choices []Choice `json:"choices"`
}

// Prefilled is the answer to a prefill request.
type Prefilled struct {
	Attempt string `json:"attempt"`
	Handle  string `json:"handle"`
	Cached  int    `json:"cached"` // prompt tokens found in the cache
	Bytes   int64  `json:"bytes"`  // size of the KV cache to transfer
}

// Load is a load report.
type Load struct {
	Engine  string        `json:"engine"`
	At      time.Time     `json:"at"` // when it was true; reports lag
	Role    state.Role    `json:"role"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Queue   int           `json:"queue"`   // prompt tokens that wait for prefill
	Used    int64         `json:"used"`    // KV memory in use, tokens
	Total   int64         `json:"total"`   // KV memory, tokens
	Step    time.Duration `json:"step"`    // current time between tokens
	Prefill float64       `json:"prefill"` // prefill rate, tokens a second
	Batch   int           `json:"batch"`   // largest decode batch
}

// CacheEvent tells that a piece entered or left the prefix cache. A jump in
// Seq is a gap: the reader must drop what it knew.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Piece string `json:"piece"`
}

// CacheEvents is a page of cache events. Whole is set when it lists the whole
// content, since the reader was too far behind.
type CacheEvents struct {
	Seq    uint64       `json:"seq"` // newest
	Whole  bool         `json:"whole,omitempty"`
	Events []CacheEvent `json:"events"`
}

// Cancel stops an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"` // old_fence, busy, unknown_model
}

// Reasons for which an engine refuses an order.
const (
	ReasonFence = "old_fence"
	ReasonBusy  = "busy"
	ReasonModel = "unknown_model"
)

// Status is the engine's own account of its orders.
type Status struct {
	Engine   string     `json:"engine"`
	Role     state.Role `json:"role"`
	Model    string     `json:"model"`
	Adapter  string     `json:"adapter"`
	Revision string     `json:"revision"`
	Fence    uint64     `json:"fence"`
	Number   uint64     `json:"number"` // last order it took
	Changing bool       `json:"changing"`
	Running  int        `json:"running"`
}
