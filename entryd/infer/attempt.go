package infer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/answer"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/picker"
)

const (
	// maxErrorBody bounds the part of a failure's body that is kept, and of a
	// body that is read only to reuse its connection, in bytes.
	maxErrorBody = 4096
	// errorBodyTimeout bounds the wait for it: an engine may send it without end.
	errorBodyTimeout = 200 * time.Millisecond
	// firstTokenFactor is how many times the expected time the first token may
	// take: the expectation is based on load reports that lag.
	firstTokenFactor = 3
	// maxEventBytes limits an event, which is one token, maxChoices its alternatives, and
	// maxPrefillBytes the answer to a prefill. A parsed event takes more memory than its text.
	maxEventBytes   = 64 << 10
	maxChoices      = 128
	maxPrefillBytes = 64 << 10
	// maxUnused limits the events in a row that are no part of the answer.
	maxUnused = 1024
	// maxTextBytes limits the text of an answer, which is kept to go on with it at another
	// engine. textCopies is how many times it may be held.
	maxTextBytes = 8 << 20
	textCopies   = 4
	textStep     = 16 << 10 // by which its memory grows
)

var (
	errEngineLeaving = errors.New("the engine is leaving")
	errMissingTokens = errors.New("tokens are missing")
	errNoEndMarker   = errors.New("the answer ended without its end mark")
	errOtherAttempt  = errors.New("the answer belongs to another attempt")
	errTooLong       = errors.New("the answer is longer than was asked for, or than there is room for")
	errManyChoices   = errors.New("too many choices")
	errUnused        = errors.New("no event is a part of the answer")
	errStatus        = errors.New("the engine answered with a failure")
)

// failure describes how an attempt failed.
type failure struct {
	reason     retry.Reason
	server     state.Engine
	err        error
	mayHaveRun bool // the engine may have begun to work on the request
	terminal   bool // no retry: the request is invalid, or its caller hung up
	forbidden  bool // nothing was sent, since the instance is shutting down
}

// attempt runs the call once on the engines of a plan, from the first token
// that hasn't been delivered yet. If it fails, the engines are told to abort
// it.
func (c *completion) attempt(ctx context.Context, reservation *picker.Reservation, id string) *failure {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	routeRequest := c.routeRequest
	if !c.balancer.Reserve(c.clock.Now(), id, &routeRequest, reservation, func() { stop(errEngineLeaving) }) {
		return &failure{reason: retry.ReasonDraining, server: reservation.Plan.Decode, err: errEngineLeaving}
	}
	defer reservation.Release()
	c.assembly.StartAttempt(id)
	request := c.call.Request
	request.Attempt = id
	request.Stream = true
	request.Priority = admit.Priority(c.call.Service.Class)
	request.Adapter, request.Revision = c.call.Service.Adapter, c.call.Service.Revision
	request.BlockHashes, request.PromptTokens = c.routeRequest.BlockHashes, c.routeRequest.PromptTokens
	request.DeliveredTokens, request.DeliveredText = c.assembly.NextToken(), c.assembly.Text()
	if reservation.Plan.Split() {
		prefilled, failed := c.prefill(ctx, reservation, &request)
		if failed != nil {
			return c.spareForbidden(failed, false)
		}
		request.KVSource, request.KVHandle = reservation.Plan.Prefill.URL, prefilled.KVHandle
	}
	kvSource := request.KVSource
	failed := c.spareForbidden(c.decode(ctx, reservation, &request), kvSource != "")
	if failed != nil && failed.reason != retry.ReasonDial && !failed.forbidden {
		c.cancelAttempt(reservation.Plan.Decode.URL, id)
	}
	if failed != nil && kvSource != "" {
		c.cancelAttempt(kvSource, id) // it may still hold the KV cache
	}
	return failed
}

// spareForbidden ends the screening of an attempt of which nothing was sent to its last engine,
// and returns its failure. prefilled reports whether another engine got it.
func (c *completion) spareForbidden(f *failure, prefilled bool) *failure {
	if f != nil && f.forbidden {
		c.pass.Spared(prefilled)
	}
	return f
}

// prefill computes the prompt on the plan's prefill engine, which keeps the KV
// cache for the decode engine.
func (c *completion) prefill(ctx context.Context, reservation *picker.Reservation, request *engine.Request) (engine.PrefillResult, *failure) {
	server := reservation.Plan.Prefill
	successor := c.newSuccessor(server)
	ctx, _, stop := pool.WithStallTimer(ctx, firstTokenFactor*reservation.Plan.TTFT+c.settings.SilenceTimeout, c.settings.SilenceTimeout, successor.mayLeave)
	defer stop()
	var prefilled engine.PrefillResult
	a, failed := c.post(ctx, server, engine.PathPrefill, request)
	if failed != nil {
		return prefilled, failed
	}
	defer func() { _ = a.Body.Close() }()
	defer drainBody(a.Body)
	if err := json.NewDecoder(io.LimitReader(a.Body, maxPrefillBytes)).Decode(&prefilled); err != nil {
		return prefilled, connectionFailure(ctx, server, fmt.Errorf("read prefill answer: %w", err))
	}
	if prefilled.Attempt != request.Attempt {
		c.meter.Count("event", string(answer.OtherAttempt))
		return prefilled, &failure{reason: retry.ReasonMissingTokens, server: server, err: errOtherAttempt, mayHaveRun: true}
	}
	return prefilled, nil
}

// decode runs the answer on the plan's decode engine and passes its tokens to
// the sink. The last token is held back until the end marker has arrived.
func (c *completion) decode(ctx context.Context, reservation *picker.Reservation, request *engine.Request) *failure {
	server := reservation.Plan.Decode
	successor := c.newSuccessor(server)
	ctx, progress, stop := pool.WithStallTimer(ctx, firstTokenFactor*reservation.Plan.TTFT+c.settings.SilenceTimeout, c.settings.SilenceTimeout, successor.mayLeave)
	defer stop()
	a, failed := c.post(ctx, server, c.call.Path, request)
	if failed != nil {
		return failed
	}
	defer func() { _ = a.Body.Close() }()
	events := stream.NewLimitedReader(a.Body, maxEventBytes)
	var lastEvent *engine.Event
	// An engine sends its header once it has fetched the KV cache, before it
	// decodes.
	reservation.ReleasePrefill()
	unused := 0
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return &failure{reason: retry.ReasonTruncated, server: server, err: errNoEndMarker, mayHaveRun: true}
		}
		if err != nil {
			return connectionFailure(ctx, server, err)
		}
		progress.EventReceived(c.clock.Now())
		if string(data) == engine.EndOfStream {
			if !c.assembly.End() {
				return &failure{reason: retry.ReasonTruncated, server: server, err: errNoEndMarker, mayHaveRun: true}
			}
			return c.finishAnswer(lastEvent)
		}
		e, err := DecodeEvent(data)
		if err != nil {
			c.meter.Count("event", "garbled")
			return &failure{reason: retry.ReasonMissingTokens, server: server, err: fmt.Errorf("decode event: %w", err), mayHaveRun: true}
		}
		switch outcome := c.assembly.Add(e); outcome {
		case answer.Deliver:
			unused = 0
			c.observeFirstToken(e)
			c.recordOutput(&reservation.Plan.Decode)
			if err := c.checkLength(e); err != nil {
				return &failure{reason: retry.ReasonMissingTokens, server: server, err: err, mayHaveRun: true, terminal: true}
			}
			successor.update()
			if err := c.sink.Token(e, events.EventBuffered()); err != nil {
				return callerGone(server, err)
			}
		case answer.Hold:
			lastEvent = e
		case answer.Gap:
			c.meter.Count("event", string(outcome))
			return &failure{reason: retry.ReasonMissingTokens, server: server, err: errMissingTokens, mayHaveRun: true}
		default:
			c.meter.Count("event", string(outcome))
			if unused++; unused > maxUnused {
				return &failure{reason: retry.ReasonMissingTokens, server: server, err: errUnused, mayHaveRun: true}
			}
		}
		progress.AwaitEvent()
	}
}

// checkLength returns the refusal of an answer that goes on without end. Its text takes memory
// as it grows.
func (c *completion) checkLength(e *engine.Event) error {
	text, limit := len(c.assembly.Text()), c.call.Request.MaxTokens
	tooLong := text > maxTextBytes || limit > 0 && e.Token > limit
	if !tooLong && text > c.counted {
		if tooLong = !c.memory.Grow(int64((text - c.counted + textStep) * textCopies)); tooLong {
			c.meter.Count("memory", "answers", "refused")
		}
		c.counted = text + textStep
	}
	if !tooLong {
		return nil
	}
	c.meter.Count("answer", "too_large")
	return fault.New(fault.CodeBackendFailed, errTooLong.Error()).Execution(once.Executed).RetryAfter(backendRetryAfter)
}

// DecodeEvent parses the fields of an event that an answer is built from. It
// skips the others, which are the same in all events and slow to parse.
func DecodeEvent(data []byte) (*engine.Event, error) {
	var in struct {
		Attempt string `json:"attempt"`
		Token   int    `json:"token"`
		Choices []struct {
			Index int `json:"index"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, err //nolint:wrapcheck // wrapped by the caller
	}
	if len(in.Choices) > maxChoices {
		return nil, errManyChoices
	}
	e := &engine.Event{Attempt: in.Attempt, Token: in.Token, Choices: make([]engine.Choice, len(in.Choices))}
	for i, v := range in.Choices {
		e.Choices[i] = engine.Choice{Index: v.Index, Delta: engine.Message{Content: v.Delta.Content}, Text: v.Text, FinishReason: v.Finish}
	}
	return e, nil
}

// finishAnswer delivers the last token and the end marker.
func (c *completion) finishAnswer(lastEvent *engine.Event) *failure {
	if err := c.sink.Token(lastEvent, true); err != nil {
		return callerGone(state.Engine{}, err)
	}
	if err := c.sink.End(); err != nil {
		return callerGone(state.Engine{}, err)
	}
	return nil
}

// callerGone returns the failure of a write to the caller.
func callerGone(server state.Engine, err error) *failure {
	return &failure{reason: retry.ReasonConnLost, server: server, err: fmt.Errorf("write to caller: %w", err), terminal: true}
}

// connectionFailure returns the failure of an exchange with an engine. If the
// exchange was cancelled, the cause of that determines the reason.
func connectionFailure(ctx context.Context, server state.Engine, err error) *failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, errEngineLeaving) {
		return &failure{reason: retry.ReasonDraining, server: server, err: errEngineLeaving}
	}
	if cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	reason := pool.RetryReason(err)
	return &failure{reason: reason, server: server, err: err, mayHaveRun: reason != retry.ReasonDial}
}

// post sends a request to an engine and checks the status of the answer.
func (c *completion) post(ctx context.Context, server state.Engine, path string, payload *engine.Request) (*http.Response, *failure) {
	body, err := json.Marshal(payload)
	if err != nil {
		panic("infer: request can't be encoded: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &failure{reason: retry.ReasonDial, server: server, err: fmt.Errorf("make request: %w", err)}
	}
	request.Header.Set("Content-Type", "application/json")
	ticket, err := c.balancer.BeginSend(c.clock.Now(), server.Name)
	if err != nil {
		return nil, &failure{reason: retry.ReasonOverloaded, server: server, err: err}
	}
	var refusal error
	a, err := c.pool.Do(request.WithContext(pool.WithSendCheck(ctx, func() error {
		refusal = c.checkSend()
		return refusal
	})))
	c.balancer.EndSend(c.clock.Now(), ticket, a)
	if err != nil && refusal != nil {
		return nil, &failure{reason: retry.ReasonDraining, server: server, err: refusal, terminal: true, forbidden: true}
	}
	if err != nil {
		return nil, connectionFailure(ctx, server, err)
	}
	if a.StatusCode == http.StatusOK {
		return a, nil
	}
	stop := closeLate(a.Body)
	errorBody, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBody))
	stop()
	drainBody(a.Body)
	_ = a.Body.Close()
	failed := &failure{
		reason: retry.ReasonErrorStatus,
		server: server,
		err:    fmt.Errorf("%w: %s: %s", errStatus, a.Status, strings.TrimSpace(string(errorBody))),
	}
	switch a.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		failed.terminal, failed.err = true, fault.New(fault.CodeRequest, failed.err.Error())
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		failed.reason = retry.ReasonOverloaded
	}
	return nil, failed
}

// closeLate closes a body that isn't read within errorBodyTimeout, unless the returned function
// is called.
func closeLate(body io.Closer) (stop func()) {
	t := time.AfterFunc(errorBodyTimeout, func() { _ = body.Close() })
	return func() { t.Stop() }
}

// drainBody reads the rest of a short body, so that its connection can be
// reused.
func drainBody(body io.ReadCloser) {
	defer closeLate(body)()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBody))
}

// PromptText returns the text of a request's prompt: its messages with their
// roles, or its plain prompt.
func PromptText(r *engine.Request) string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	size := 0
	for _, m := range r.Messages {
		size += len(m.Role) + len(m.Content) + len(messageSeparators)
	}
	var b strings.Builder
	b.Grow(size)
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(messageSeparators[:1])
		b.WriteString(m.Content)
		b.WriteString(messageSeparators[1:])
	}
	return b.String()
}

// sharedMessages returns hashes of the messages that other requests may share: all
// but the last.
func sharedMessages(r *engine.Request) []string {
	if len(r.Messages) < 2 {
		return nil
	}
	list := make([]string, 0, len(r.Messages)-1)
	for _, m := range r.Messages[:len(r.Messages)-1] {
		list = append(list, strconv.FormatUint(xxhash.Sum64String(m.Role+"\n"+m.Content), 16))
	}
	return list
}

// messageSeparators are the separator between role and content and the one
// after the content.
const messageSeparators = "\t\n"

// EstimateTokens returns the number of prompt and output tokens that a request
// counts for in an account's limits.
func EstimateTokens(r *engine.Request) int {
	output := r.MaxTokens
	if output == 0 {
		output = defaultOutputTokens
	}
	return len(PromptText(r))/bytesPerToken + output
}

// bytesPerToken is the assumed size of a token of text.
const bytesPerToken = 4
