package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/request/once"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/fault"
)

const (
	bearerPrefix    = "Bearer "
	staleRetryAfter = time.Second
	idBase          = 36
)

func startStamp(now time.Time) string {
	return strconv.FormatInt(now.UnixNano(), idBase)
}

func (f *API) newID() string {
	return f.settings.Name + "-" + f.startStamp + "-" + strconv.FormatUint(f.lastID.Add(1), idBase)
}

// authenticate returns the account of the request's bearer token.
func authenticate(r *http.Request, v *view.Snapshot) (state.Account, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return state.Account{}, fault.New(fault.CodeAuth, "a bearer token is needed")
	}
	a, ok := v.AccountByToken(token)
	if !ok {
		return state.Account{}, fault.New(fault.CodeAuth, "unknown token")
	}
	return a, nil
}

// checkReady returns an error while this instance has no configuration version,
// or while it is isolated and can't know which backend servers are leaving.
func (f *API) checkReady(v *view.Snapshot) error {
	if v.Version() == 0 {
		return fault.New(fault.CodeStale, "no configuration has arrived yet").RetryAfter(staleRetryAfter)
	}
	if f.watch.Isolated(f.clock.Elapsed()) {
		return fault.New(fault.CodeStale, "this instance is cut off from all others; use another").RetryAfter(staleRetryAfter)
	}
	if f.watch.Stale() {
		f.meter.Count("served", "stale")
	}
	return nil
}

// readBody reads a request body within the limits of size and time.
func (f *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// The error is ignored: response writers without a connection have no
	// deadlines.
	_ = control.SetReadDeadline(f.clock.Now().Add(f.settings.ReadTimeout))
	defer context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })()
	if r.ContentLength > f.settings.MaxBodyBytes {
		return nil, tooLarge(f.settings.MaxBodyBytes)
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.settings.MaxBodyBytes))
	var tooBig *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return b, nil
	case errors.As(err, &tooBig):
		return nil, tooLarge(f.settings.MaxBodyBytes)
	case errors.Is(context.Cause(r.Context()), leave.ErrCut):
		return nil, fault.New(fault.CodeStopping, "the instance stopped before the body arrived").
			Execution(once.NotExecuted).RetryAfter(leave.RetryAfter(f.settings.Name, f.balancer.Snapshot().LiveEntries()))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.CodeSlowBody, "the body didn't arrive in time")
	default:
		return nil, fault.New(fault.CodeRequest, "the body broke off: "+err.Error())
	}
}

func tooLarge(limit int64) error {
	return fault.New(fault.CodeBodyTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// timeLeft returns the time until the caller's deadline, 0 if there is none. The
// Deadline header holds milliseconds from now or an absolute time.
func timeLeft(r *http.Request, now time.Time) (time.Duration, error) {
	text := r.Header.Get("Deadline")
	if text == "" {
		return 0, nil
	}
	d := time.Duration(0)
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 && n < int64(time.Duration(1<<62)/time.Millisecond) {
		d = time.Duration(n) * time.Millisecond
	} else if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		d = at.Sub(now)
	} else {
		return 0, fault.New(fault.CodeRequest, "Deadline is neither milliseconds nor an RFC 3339 time")
	}
	if d <= 0 {
		return 0, fault.New(fault.CodeDeadline, "the deadline has passed")
	}
	return d, nil
}

// isRetry reports whether the caller's client library marked the request as a
// retry.
func isRetry(r *http.Request) bool {
	for _, name := range []string{"Retry-Count", "X-Stainless-Retry-Count"} {
		if n, err := strconv.Atoi(r.Header.Get(name)); err == nil && n > 0 {
			return true
		}
	}
	return false
}

// minTimeout returns the smaller timeout, where 0 means none.
func minTimeout(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
