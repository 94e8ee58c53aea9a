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
	CodeJSON              Code = "bad_json"
	CodeRequest           Code = "bad_request"
	CodeModel             Code = "unknown_model"
	CodeService           Code = "unknown_service"
	CodePath              Code = "unknown_path"
	CodeMethod            Code = "bad_method"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeSlowBody          Code = "slow_body"
	CodeHeaders           Code = "too_many_headers"
	CodeMissingKey        Code = "missing_key"
	CodeAuth              Code = "not_authenticated"
	CodeLimit             Code = "limit"
	CodeNoCapacity        Code = "no_room"
	CodeDeadline          Code = "deadline"
	CodeStrikes           Code = "strikes"
	CodeSuspect           Code = "suspect"
	CodeStale             Code = "stale"
	CodeNoBackend         Code = "no_backend"
	CodeBackendFailed     Code = "backend_failed"
	CodeConflict          Code = "conflict"
	CodeBusy              Code = "busy"
	CodeLedgerFull        Code = "ledger_full"
	CodeLedgerUnreachable Code = "ledger_away"
	CodeOutcomeLost       Code = "outcome_lost"
	CodeNotSent           Code = "unsent"
	CodeCancelled         Code = "cancelled"
	CodeUnknownRequest    Code = "unknown_request"
	CodeStopping          Code = "stopping"
)

var statuses = map[Code]int{
	CodeJSON:              http.StatusBadRequest,
	CodeRequest:           http.StatusBadRequest,
	CodeModel:             http.StatusNotFound,
	CodeService:           http.StatusNotFound,
	CodePath:              http.StatusNotFound,
	CodeMethod:            http.StatusMethodNotAllowed,
	CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	CodeSlowBody:          http.StatusRequestTimeout,
	CodeHeaders:           http.StatusRequestHeaderFieldsTooLarge,
	CodeMissingKey:        http.StatusBadRequest,
	CodeAuth:              http.StatusUnauthorized,
	CodeLimit:             http.StatusTooManyRequests,
	CodeNoCapacity:        http.StatusServiceUnavailable,
	CodeDeadline:          http.StatusServiceUnavailable,
	CodeStrikes:           http.StatusUnprocessableEntity,
	CodeSuspect:           http.StatusServiceUnavailable,
	CodeStale:             http.StatusServiceUnavailable,
	CodeNoBackend:         http.StatusServiceUnavailable,
	CodeBackendFailed:     http.StatusBadGateway,
	CodeConflict:          http.StatusConflict,
	CodeBusy:              http.StatusConflict,
	CodeLedgerFull:        http.StatusServiceUnavailable,
	CodeLedgerUnreachable: http.StatusServiceUnavailable,
	CodeOutcomeLost:       http.StatusBadGateway,
	CodeNotSent:           http.StatusServiceUnavailable,
	CodeCancelled:         http.StatusServiceUnavailable,
	CodeUnknownRequest:    http.StatusNotFound,
	CodeStopping:          http.StatusServiceUnavailable,
}

// Error is an error that is reported to a caller.
type Error struct {
	code       Code
	message    string
	execution  once.Execution
	retryAfter time.Duration
}

// New returns an error for a call that was not executed.
func New(code Code, message string) *Error {
	return &Error{code: code, message: message, execution: once.NotExecuted}
}

// RetryAfter sets the time after which the caller may retry.
func (e *Error) RetryAfter(d time.Duration) *Error {
	e.retryAfter = d
	return e
}

// Execution sets whether the call was executed.
func (e *Error) Execution(r once.Execution) *Error {
	e.execution = r
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

// FromError returns the Error in err's chain. For any other error it returns one
// that reports a failed backend server and an unknown execution.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeBackendFailed, err.Error()).Execution(once.ExecutionUnknown)
}

// Body returns the JSON body of the response.
func (e *Error) Body() []byte {
	type detail struct {
		Code    Code           `json:"code"`
		Message string         `json:"message"`
		Ran     once.Execution `json:"ran"`
		Retry   int64          `json:"retry_after_ms,omitempty"`
	}
	b, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{e.code, e.message, e.execution, ceilMillis(e.retryAfter)}})
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
	e := FromError(err)
	m.Count("refused", string(e.code))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(e.retryAfter.Seconds())), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(ceilMillis(e.retryAfter), 10))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(e.Body())
}
