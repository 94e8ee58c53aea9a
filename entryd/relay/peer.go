package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/peers"
	"verbenahaven.example/core/version/state"
)

// errUnframed means that the end of an answer can't be told from a loss of its
// connection.
var errUnframed = errors.New("the answer has no framing")

const reasonPeerLost = "the instance that took the call gave no whole answer"

// PeerHandler returns the handler for calls that other instances forward because
// they have no path to the backend servers. It serves them as ServeHTTP does, but
// forwards none again, and declines them while this instance has no path either. What
// it serves is for instances only.
func (s *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.meter.Count("peer", "taken")
		s.serve(w, r, true)
	})
}

// nextPeer returns the instance that gets a call next, after those that declined it.
func (f *Fleet) nextPeer(now time.Time, id string, o *peers.Offers) (state.Member, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.peers.Next(now, f.snapshot.LiveEntries(), id, o)
}

// peerFailed records that an instance can't take calls.
func (f *Fleet) peerFailed(now time.Time, name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peers.Failed(now, name)
}

// peerTook records that an instance took a call.
func (f *Fleet) peerTook(now time.Time, name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peers.Took(now, name)
}

// leaveToPeer ends a call without a try of the own path, which is cut, and reports
// whether it could: if all peers say the same, the own path is tried.
func (f *inflightCall) leaveToPeer(ctx context.Context) bool {
	if !f.ofPeer {
		return f.forwardToPeer(ctx, "cut")
	}
	f.refuse(server.Refusal{Kind: server.RefuseNotExecuted, RetryAfter: busyRetryAfter, Message: "there is no path to the servers", Unable: true})
	return true
}

// forwardToPeer lets another instance serve a call of which nothing was sent, and
// reports whether one took it. A call is offered once.
func (f *inflightCall) forwardToPeer(ctx context.Context, reason string) bool {
	if f.ofPeer || f.offered {
		return false
	}
	f.offered = true
	for ctx.Err() == nil {
		peer, found := f.fleet.nextPeer(f.clock.Now(), f.call.ID, &f.offers)
		if !found {
			f.meter.Count("peer", reason, "none")
			return false
		}
		if f.askPeer(ctx, &peer, reason) {
			return true
		}
		f.offers.Add(&peer)
	}
	return false
}

// askPeer sends the call to another instance and passes its answer on. It returns
// false if the call didn't run and another instance may run it. After a send without
// an answer none is asked: how many servers were tried there isn't known, and the
// route bounds them.
func (f *inflightCall) askPeer(ctx context.Context, peer *state.Member, reason string) bool {
	q := f.codec.EncodeCall(f.call, f.timeLeft(), f.snapshot.Version())
	q.OnSend = func() error { return f.checkLeaving(nil) }
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := f.peers.Do(exchange, peer.LinkAddress, q)
	if isLeaving(err) {
		f.logForwarded(peer, reason, "kept", 0, err)
		f.endUnanswered(ctx, err.Error(), retryAfterOf(err))
		return true
	}
	if err != nil {
		if ctx.Err() == nil {
			f.fleet.peerFailed(f.clock.Now(), peer.Name)
		}
		if !httpc.MaybeSent(err) {
			f.logForwarded(peer, reason, "unreached", 0, err)
			return false
		}
		f.mayHaveRun = append(f.mayHaveRun, peer.Name)
		f.logForwarded(peer, reason, "lost", 0, err)
		f.endUnanswered(ctx, reasonPeerLost, 0)
		return true
	}
	defer func() { _ = a.Body.Close() }()
	if head := f.codec.ParseHead(a); head.Unable {
		discard(a, cancel)
		f.recordUnable(peer, reason, a.StatusCode, head.UnknownKey)
		return false
	}
	f.fleet.peerTook(f.clock.Now(), peer.Name)
	f.mayHaveRun = append(f.mayHaveRun, peer.Name)
	f.passOn(ctx, a, peer, reason)
	return true
}

// passOn passes the answer of another instance on as it arrives. The caller's own answer
// begins once there is a part to deliver: until then the caller can be told of a failure.
func (f *inflightCall) passOn(ctx context.Context, a *http.Response, peer *state.Member, reason string) {
	buffer := make([]byte, readBufferSize)
	n, err := readFirst(a, buffer)
	if err != nil && !errors.Is(err, io.EOF) && (n == 0 || a.ContentLength >= 0) {
		f.logForwarded(peer, reason, "lost", a.StatusCode, err)
		f.endUnanswered(ctx, reasonPeerLost, 0)
		return
	}
	h := f.w.Header()
	f.codec.CopyHeader(h, a)
	if a.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	f.w.WriteHeader(a.StatusCode)
	err = f.copyAnswer(a, buffer, n, err)
	switch {
	case err == nil:
		f.logForwarded(peer, reason, "served", a.StatusCode, nil)
	case errors.Is(err, errCallerConn), errors.Is(ctx.Err(), context.Canceled) && !wasCut(ctx):
		f.meter.Count("caller", "left")
		f.logForwarded(peer, reason, "left", a.StatusCode, err)
	default:
		f.meter.Count("stream", "broken")
		f.logForwarded(peer, reason, "broken", a.StatusCode, err)
	}
	if err != nil {
		// Abort the connection, so that the answer doesn't look complete.
		panic(http.ErrAbortHandler)
	}
}

// readFirst reads the first part of a stream, or what of another body fits the buffer. At the
// end of the body it returns io.EOF.
func readFirst(a *http.Response, buffer []byte) (n int, err error) {
	if httpc.FramingOf(a) == httpc.FramedByConnection {
		return 0, errUnframed
	}
	for err == nil && n < len(buffer) && (n == 0 || a.ContentLength >= 0) {
		var more int
		more, err = a.Body.Read(buffer[n:])
		n += more
	}
	return n, err //nolint:wrapcheck // io.EOF is told from other errors
}

// copyAnswer copies a body, each part of a stream at once. The buffer holds its first n bytes,
// and err is the result of reading them.
func (f *inflightCall) copyAnswer(a *http.Response, buffer []byte, n int, err error) error {
	control := http.NewResponseController(f.w)
	for {
		if n > 0 {
			if _, err := f.w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("%w: %w", errCallerConn, err)
			}
		}
		if n > 0 && a.ContentLength < 0 {
			if err := control.Flush(); err != nil {
				return fmt.Errorf("%w: %w", errCallerConn, err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read answer of the instance: %w", err)
		}
		n, err = a.Body.Read(buffer)
	}
}

// logForwarded logs and counts what became of a call at another instance.
func (f *inflightCall) logForwarded(peer *state.Member, reason, outcome string, status int, err error) {
	f.meter.Count("peer", reason, outcome)
	f.log.Info("forwarded", "request", f.call.ID, "route", f.route.Name, "peer", peer.Name, "reason", reason, "outcome", outcome,
		"status", status, "ms", f.elapsedMS(), "err", err)
}
