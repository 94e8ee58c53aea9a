// Package link is the RPC layer between instances: typed CBOR messages over QUIC
// with mutual TLS. Each call uses one stream, with a request frame in one
// direction and a reply frame in the other. A one-way stream carries messages
// without replies.
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

// MaxFrame is the maximum size of a frame body in bytes.
const MaxFrame = 64 << 20

const (
	idleTimeout       = 10 * time.Second
	keepAlivePeriod   = 3 * time.Second
	headerBytes       = 4
	maxStreamsPerConn = 1024 // concurrent calls per connection; further ones wait
)

// Errors of calls.
var (
	ErrTooLarge    = errors.New("frame too large")
	ErrUnknownKind = errors.New("unknown kind of message")
	// ErrNotSent means that nothing of the call reached the peer.
	ErrNotSent = errors.New("not sent")
)

// RemoteError is an error returned by the peer's handler. Code is a single word
// for programs to compare; with the code "not_leader", Detail may name the leader.
type RemoteError struct {
	Code   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint,omitempty"`
}

// Error implements error.
func (r *RemoteError) Error() string {
	if r.Detail == "" {
		return r.Code
	}
	return r.Code + ": " + r.Detail
}

// Codes of RemoteError.
const (
	CodeNotLeader   = "not_leader"
	CodeInternal    = "internal"
	CodeUnknownKind = "unknown_kind"
	CodeBadMessage  = "bad_message"
	CodeOverloaded  = "full"     // nothing was processed; retry
	CodeStopping    = "stopping" // nothing was processed; retry on another instance
	CodeNotAllowed  = "not_allowed"
	CodeNoRoom      = "no_room"   // nothing was processed; the keepers' disks or memory have no room
	CodeTooLarge    = "too_large" // nothing was processed; the command is larger than they allow
)

type envelope struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Err  *RemoteError    `cbor:"3,keyasint,omitempty"`
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout / 2, // the whole handshake may take twice as long
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreamsPerConn,
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

var errPendingLimit = errors.New("no room for the frame")

// admitAll accepts a frame of any size.
func admitAll(int) bool { return true }

// readFrame reads one frame if admit accepts its size.
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
		return e, fmt.Errorf("%d bytes: %w", n, errPendingLimit)
	}
	// ReadAll grows its buffer with the received data, so a false length in the
	// header allocates nothing.
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

// peerName returns the common name in the peer's certificate, or an empty string.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// Call sends a request and waits for the reply.
func Call[Q, A any](ctx context.Context, c *Client, kind string, request Q) (A, error) {
	var reply A
	body, err := codec.Marshal(request)
	if err != nil {
		return reply, fmt.Errorf("encode %s: %w", kind, err)
	}
	raw, err := c.call(ctx, envelope{Kind: kind, Body: body})
	if err != nil {
		return reply, fmt.Errorf("call %s: %w", kind, err)
	}
	if err := codec.Unmarshal(raw, &reply); err != nil {
		return reply, fmt.Errorf("decode %s: %w", kind, err)
	}
	return reply, nil
}

// Handle registers the handler for one kind of message.
func Handle[Q, A any](s *Server, kind string, handle func(ctx context.Context, peer string, request Q) (A, error)) {
	s.handlers[kind] = func(ctx context.Context, peer string, raw []byte) ([]byte, error) {
		var request Q
		if err := codec.Unmarshal(raw, &request); err != nil {
			return nil, &RemoteError{Code: CodeBadMessage, Detail: err.Error()}
		}
		reply, err := handle(ctx, peer, request)
		if err != nil {
			return nil, err
		}
		encoded, err := codec.Marshal(reply)
		if err != nil {
			return nil, fmt.Errorf("encode reply to %s: %w", kind, err)
		}
		return encoded, nil
	}
}
