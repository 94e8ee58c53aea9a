// Package fault defines the errors that callers get: a JSON body with a
// machine-readable code, and whether the call was executed.
package fault

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/once"
)

// Code identifies the kind of an error.
type Code string

// Error codes.
const (
	CodeJSON       Code = "bad_json"
	CodeRequest    Code = "bad_request"
	CodeModel      Code = "unknown_model"
	CodeService    Code = "unknown_service"
	CodePath       Code = "unknown_path"
	CodeMethod     Code = "bad_method"
	CodeBody       Code = "body_too_large"
	CodeSlow       Code = "slow_body"
	CodeHeaders    Code = "too_many_headers"
	CodeKey        Code = "missing_key"
	CodeAuth       Code = "not_authenticated"
	CodeLimit      Code = "limit"
	CodeRoom       Code = "no_room"
	CodeDeadline   Code = "deadline"
	CodeStrikes    Code = "strikes"
	CodeSuspect    Code = "suspect"
	CodeStale      Code = "stale"
	CodeBackend    Code = "no_backend"
	CodeBroken     Code = "backend_failed"
	CodeConflict   Code = "conflict"
	CodeBusy       Code = "busy"
	CodeFull       Code = "ledger_full"
	CodeLedger     Code = "ledger_away"
	CodeLost       Code = "outcome_lost"
	CodeUnsent     Code = "unsent"
	CodeCancelled  Code = "cancelled"
	CodeNoDecision Code = "unknown_request"
)

var statuses = map[Code]int{
	CodeJSON:       http.StatusBadRequest,
	CodeRequest:    http.StatusBadRequest,
	CodeModel:      http.StatusNotFound,
	CodeService:    http.StatusNotFound,
	CodePath:       http.StatusNotFound,
	CodeMethod:     http.StatusMethodNotAllowed,
	CodeBody:       http.StatusRequestEntityTooLarge,
	CodeSlow:       http.StatusRequestTimeout,
	CodeHeaders:    http.StatusRequestHeaderFieldsTooLarge,
	CodeKey:        http.StatusBadRequest,
	CodeAuth:       http.StatusUnauthorized,
	CodeLimit:      http.StatusTooManyRequests,
	CodeRoom:       http.StatusServiceUnavailable,
	CodeDeadline:   http.StatusServiceUnavailable,
	CodeStrikes:    http.StatusUnprocessableEntity,
	CodeSuspect:    http.StatusServiceUnavailable,
	CodeStale:      http.StatusServiceUnavailable,
	CodeBackend:    http.StatusServiceUnavailable,
	CodeBroken:     http.StatusBadGateway,
	CodeConflict:   http.StatusConflict,
	CodeBusy:       http.StatusConflict,
	CodeFull:       http.StatusServiceUnavailable,
	CodeLedger:     http.StatusServiceUnavailable,
	CodeLost:       http.StatusBadGateway,
	CodeUnsent:     http.StatusServiceUnavailable,
	CodeCancelled:  http.StatusServiceUnavailable,
	CodeNoDecision: http.StatusNotFound,
}

// Error is an error that is reported to a caller.
type Error struct {
	code    Code
	message string
	ran     once.Ran
	retry   time.Duration
}

// New returns an error for a call that was not executed.
func New(code Code, message string) *Error {
	return &Error{code: code, message: message, ran: once.RanNot}
}

// Retry sets the time after which the caller may retry.
func (e *Error) Retry(d time.Duration) *Error {
	e.retry = d
	return e
}

// Ran sets whether the call was executed.
func (e *Error) Ran(r once.Ran) *Error {
	e.ran = r
	return e
}

// Error implements error.
func (e *Error) Error() string { return string(e.code) + ": " + e.message }

// Code returns the code.
func (e *Error) Code() Code { return e.code }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if s, ok := statuses[e.code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the Error in err's chain. For any other error it returns one that
// reports a failed backend server and an unknown execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeBroken, err.Error()).Ran(once.RanUnknown)
}

// Body returns the JSON body of the response.
func (e *Error) Body() []byte {
	type detail struct {
		Code    Code     `json:"code"`
		Message string   `json:"message"`
		Ran     once.Ran `json:"ran"`
		Retry   int64    `json:"retry_after_ms,omitempty"`
	}
	b, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{e.code, e.message, e.ran, ceilMillis(e.retry)}})
	if err != nil {
		panic("fault: body can't be encoded: " + err.Error())
	}
	return b
}

func ceilMillis(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

// Write sends err as the response and counts it by its code.
func Write(w http.ResponseWriter, m *meter.Registry, err error) {
	e := From(err)
	m.Count("refused", string(e.code))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.retry > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(e.retry.Seconds())), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(ceilMillis(e.retry), 10))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(e.Body())
}
