// Package link carries typed messages between instances over QUIC with mutual
// TLS. Each call is one stream: a request frame one way, a reply frame back.
package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/codec"
)

// MaxFrame bounds one frame, in bytes.
const MaxFrame = 64 << 20

const (
	idleTimeout = 10 * time.Second
	keepAlive   = 3 * time.Second
	headerBytes = 4
	maxStreams  = 1024 // calls at once on one connection; further ones wait
)

// Typed failures of calls.
var (
	ErrTooLarge = errors.New("frame too large")
	ErrKind     = errors.New("unknown kind of message")
	// ErrUnsent tells that nothing of a call reached the peer.
	ErrUnsent = errors.New("not sent")
)

// Remote is an error that the peer's handler returned. Code is one word that
// programs compare; Detail may name the leader for the code "not_leader".
type Remote struct {
	Code   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// Error implements error.
func (r *Remote) Error() string {
	if r.Detail == "" {
		return r.Code
	}
	return r.Code + ": " + r.Detail
}

// Codes of Remote.
const (
	CodeNotLeader = "not_leader"
	CodeInternal  = "internal"
	CodeKind      = "unknown_kind"
	CodeBad       = "bad_message"
	CodeFull      = "full"     // nothing was taken up; ask again
	CodeStopping  = "stopping" // nothing was taken up; ask another
	CodeDenied    = "not_allowed"
)

type envelope struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Err  *Remote         `cbor:"3,keyasint,omitempty"`
}

func settings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
}

func writeFrame(w io.Writer, e envelope) error {
	body, err := codec.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxFrame {
		return fmt.Errorf("%d bytes: %w", len(body), ErrTooLarge)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	if _, err := w.Write(append(frame, body...)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

var errNoRoom = errors.New("no room for the frame")

// unbounded admits every frame.
func unbounded(int) bool { return true }

// readFrame reads one frame whose size admit accepts.
func readFrame(r io.Reader, admit func(bytes int) bool) (envelope, error) {
	var e envelope
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return e, fmt.Errorf("read frame header: %w", err)
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrame {
		return e, fmt.Errorf("%d bytes: %w", n, ErrTooLarge)
	}
	if !admit(int(n)) {
		return e, fmt.Errorf("%d bytes: %w", n, errNoRoom)
	}
	// The limit reader grows with what arrives: a false length costs nothing.
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return e, fmt.Errorf("read frame: %w", err)
	}
	if len(body) < int(n) {
		return e, fmt.Errorf("read frame: %w", io.ErrUnexpectedEOF)
	}
	if err := codec.Unmarshal(body, &e); err != nil {
		return e, fmt.Errorf("decode frame: %w", err)
	}
	return e, nil
}

// Peer is the name in the certificate of the other end.
func peer(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// Call sends a request and waits for its reply.
func Call[Q, A any](ctx context.Context, c *Client, kind string, request Q) (A, error) {
	var answer A
	body, err := codec.Marshal(request)
	if err != nil {
		return answer, fmt.Errorf("encode %s: %w", kind, err)
	}
	raw, err := c.call(ctx, envelope{Kind: kind, Body: body})
	if err != nil {
		return answer, fmt.Errorf("call %s: %w", kind, err)
	}
	if err := codec.Unmarshal(raw, &answer); err != nil {
		return answer, fmt.Errorf("decode %s: %w", kind, err)
	}
	return answer, nil
}

// Handle registers a handler for one kind of message.
func Handle[Q, A any](s *Server, kind string, f func(ctx context.Context, peer string, request Q) (A, error)) {
	s.handlers[kind] = func(ctx context.Context, peer string, raw []byte) ([]byte, error) {
		var request Q
		if err := codec.Unmarshal(raw, &request); err != nil {
			return nil, &Remote{Code: CodeBad, Detail: err.Error()}
		}
		answer, err := f(ctx, peer, request)
		if err != nil {
			return nil, err
		}
		b, err := codec.Marshal(answer)
		if err != nil {
			return nil, fmt.Errorf("encode reply to %s: %w", kind, err)
		}
		return b, nil
	}
}
