package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/state"
)

// maxAnswer bounds an answer that is read whole, in bytes.
const maxAnswer = 32 << 20

// whole is a backend server's whole answer.
type whole struct {
	head   *http.Response
	judged server.Answer
	body   []byte
	server string
}

// plain carries a call whose answer is passed on once it is whole.
func (f *flight) plain(ctx context.Context) {
	repeatable := f.route.Kind == state.RouteSafe
	var kept *whole // a server's failure, in case nothing better comes
	reason := "no server can take the call"
	for {
		v, free, err := f.fleet.pickServer(f.clock.Now(), f.target.Name, f.avoid)
		if err != nil {
			break
		}
		f.tries++
		a, err := f.ask(ctx, v)
		free()
		if err != nil {
			reason = "the server gave no whole answer"
			f.failed(ctx, v.Name, server.Address(v.URL), err)
		} else {
			switch {
			case a.judged.NotRun:
				reason = "the server had no room"
				f.avoid = append(f.avoid, v.Name)
				f.log.Info("not run", "request", f.call.ID, "server", v.Name, "status", a.head.StatusCode, "ms", f.spent())
			case a.head.StatusCode < http.StatusInternalServerError:
				f.fleet.answered(f.clock.Now(), v.Name, true)
				f.deliver(a)
				return
			default:
				f.fleet.answered(f.clock.Now(), v.Name, false)
				f.avoid = append(f.avoid, v.Name)
				kept = a
			}
		}
		if !f.again(ctx, repeatable) {
			break
		}
	}
	if kept != nil && ctx.Err() == nil {
		f.deliver(kept)
		return
	}
	f.giveUp(ctx, reason, roomRetry)
}

// ask sends the call to a server and reads its whole answer.
func (f *flight) ask(ctx context.Context, v state.Server) (*whole, error) {
	request := f.codec.Encode(&server.Send{Call: f.call, Engine: v.Name, Left: f.left(), Priority: -1})
	a, err := f.pool.Do(ctx, server.Address(v.URL), request)
	if err != nil {
		f.mayHaveRun(v.Name, err)
		return nil, err //nolint:wrapcheck // it names the address
	}
	defer func() { _ = a.Body.Close() }()
	judged := f.codec.Judge(a)
	if !judged.NotRun {
		f.ran = append(f.ran, v.Name)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", v.Name, err)
	}
	if a.StatusCode < http.StatusMultipleChoices && !judged.Signed {
		return nil, fmt.Errorf("answer of %s: %w", v.Name, errUnsigned)
	}
	return &whole{head: a, judged: judged, body: body, server: v.Name}, nil
}

// deliver passes a whole answer on.
func (f *flight) deliver(a *whole) {
	h := f.w.Header()
	f.codec.Pass(h, a.head)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	f.w.WriteHeader(a.head.StatusCode)
	_, err := f.w.Write(a.body)
	f.answered(a.server, a.head.StatusCode, err)
}

// answered logs the end of a call that a backend server answered.
func (f *flight) answered(name string, status int, err error) {
	f.meter.Count("answered", strconv.Itoa(status/100)+"xx")
	f.meter.Time(f.clock.Now().Sub(f.began), "answer", string(f.route.Kind))
	f.log.Info("answered", "request", f.call.ID, "route", f.route.Name, "table", f.number(), "server", name,
		"status", status, "tries", f.tries, "prefill_ms", f.prefillTook.Milliseconds(), "first_ms", f.firstAfter.Milliseconds(), "ms", f.spent(), "err", err)
}
