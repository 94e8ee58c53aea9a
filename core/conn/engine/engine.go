// Package engine defines the HTTP interface of model engines: chat and text
// completions as server-sent events, load reports, prefix cache events, KV
// cache transfer, cancellation and orders that change an engine's role or
// model.
package engine

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// HeaderExchange is the header with the name of an exchange, which servers should
// return as it is. A server that doesn't gets each request on a new connection, since
// nothing else tells a late copy of an earlier response from the response.
const HeaderExchange = "Exchange-Id"

// Paths of the engine interface.
const (
	PathChat     = "/v1/chat/completions" // POST Request, SSE of Event; the status is sent once the KV cache of KVHandle is imported
	PathComplete = "/v1/completions"      // POST Request, SSE of Event
	PathPrefill  = "/prefill"             // POST Request, PrefillResult
	PathExport   = "/kv/export"           // GET ?handle=, KV cache bytes; called by the importing engine
	PathLoad     = "/load"                // GET, LoadReport
	PathCache    = "/cache"               // GET ?since=SEQ, CacheEvents
	PathCancel   = "/cancel"              // POST Cancel
	PathOrder    = "/order"               // POST state.Order, OrderResult
	PathState    = "/state"               // GET, Status
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 2000

// EndOfStream is the data of the end marker, the SSE event that ends a complete
// answer.
const EndOfStream = "[DONE]"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a completion request. The first group of fields is the public API;
// the second is set by the system for its engines.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Seed      int64     `json:"seed,omitempty"`

	Attempt         string   `json:"attempt,omitempty"`  // ID of this attempt, echoed in each event
	Priority        int      `json:"priority,omitempty"` // lower values are served first
	Adapter         string   `json:"adapter,omitempty"`
	Revision        string   `json:"revision,omitempty"`
	DeliveredTokens int      `json:"resume,omitempty"` // number of tokens already delivered; the stream continues after them
	DeliveredText   string   `json:"prefix,omitempty"` // text of the tokens already delivered
	KVSource        string   `json:"source,omitempty"` // URL of the engine to import the KV cache from
	KVHandle        string   `json:"handle,omitempty"` // handle of the KV cache at KVSource
	BlockHashes     []string `json:"pieces,omitempty"` // hashes of the prompt's prefix cache blocks, in order
	PromptTokens    int      `json:"tokens,omitempty"` // prompt length as counted by the sender
}

// Choice is one alternative of an event. Chat events fill Delta, text
// completions fill Text.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	Text         string  `json:"text,omitempty"`
	FinishReason string  `json:"finish_reason,omitempty"` // stop, length
}

// Event is one server-sent event: one token of an answer.
type Event struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt string   `json:"attempt,omitempty"` // removed before the event is sent to the caller
	Token   int      `json:"token"`             // position in the answer, from 0
	Choices []Choice `json:"choices"`
}

// PrefillResult is the response to a prefill request.
type PrefillResult struct {
	Attempt      string `json:"attempt"`
	KVHandle     string `json:"handle"`
	CachedTokens int    `json:"cached"` // prompt tokens found in the prefix cache
	KVBytes      int64  `json:"bytes"`  // size of the KV cache to transfer
}

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Engine             string        `json:"engine"`
	MeasuredAt         time.Time     `json:"at"` // when it was measured; reports arrive late
	Role               state.Role    `json:"role"`
	Running            int           `json:"running"`
	Waiting            int           `json:"waiting"`
	PrefillQueueTokens int           `json:"queue"`   // prompt tokens waiting for prefill
	KVUsedTokens       int64         `json:"used"`    // KV cache memory in use, in tokens
	KVTotalTokens      int64         `json:"total"`   // KV cache memory, in tokens
	TPOT               time.Duration `json:"step"`    // current time per output token
	PrefillRate        float64       `json:"prefill"` // prefill rate, in tokens per second
	MaxBatch           int           `json:"batch"`   // maximum decode batch size
}

// Bounds of the values in load reports: sums and products of a few of them don't overflow.
const (
	maxCount    = 1 << 30
	maxStepTime = time.Minute
	minRate     = 1e-3
	maxRate     = 1e12
)

// IsValid reports whether a report holds only values that can be. Zero means that the engine
// doesn't say.
func (l *LoadReport) IsValid() bool {
	for _, n := range []int{l.Running, l.Waiting, l.PrefillQueueTokens, l.MaxBatch} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	validRate := l.PrefillRate == 0 || l.PrefillRate >= minRate && l.PrefillRate <= maxRate
	return validRate && l.TPOT >= 0 && l.TPOT <= maxStepTime && l.KVUsedTokens >= 0 && l.KVTotalTokens >= 0
}

// CacheEvent reports that a block was added to or evicted from the prefix
// cache. A gap in Seq means lost events: the reader must discard its copy of
// the cache index.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Added bool   `json:"added"`
	Block string `json:"piece"`
}

// CacheEvents is a page of cache events. Snapshot is set when the page is a
// snapshot of the cache, because the reader was too far behind.
type CacheEvents struct {
	Seq      uint64       `json:"seq"` // newest sequence number
	Snapshot bool         `json:"whole,omitempty"`
	Events   []CacheEvent `json:"events"`
}

// Cancel requests the cancellation of an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// OrderResult is an engine's response to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"` // old_fence, busy, unknown_model
}

// Reasons for refusing an order.
const (
	ReasonStaleFence   = "old_fence"
	ReasonBusy         = "busy"
	ReasonUnknownModel = "unknown_model"
)

// Status is an engine's report of its role, model and orders.
type Status struct {
	Engine    string     `json:"engine"`
	Role      state.Role `json:"role"`
	Model     string     `json:"model"`
	Adapter   string     `json:"adapter"`
	Revision  string     `json:"revision"`
	Fence     uint64     `json:"fence"`
	LastOrder uint64     `json:"number"` // number of the last accepted order
	Changing  bool       `json:"changing"`
	Running   int        `json:"running"`
}
