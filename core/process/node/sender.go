package node

import (
	"context"
	"crypto/tls"
	"errors"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

// sendBytes bounds the entries and pieces in one call.
const sendBytes = 4 << 20

// sender brings messages to one peer in their order.
type sender struct {
	node  *Node
	ring  chan quorum.Message
	pipe  *link.Pipe
	close func()
}

func newSender(n *Node, address string, config *tls.Config) *sender {
	client, cleanup := link.NewClient(address, config)
	return &sender{node: n, ring: make(chan quorum.Message, senderRing), pipe: client.Pipe(kind), close: cleanup}
}

func (s *sender) run(ctx context.Context) {
	defer s.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.ring:
			s.send(ctx, s.collect(m))
		}
	}
}

// collect takes what waits, so that one message carries it.
func (s *sender) collect(m quorum.Message) []quorum.Message {
	var batch []quorum.Message
	bytes := 0
	for {
		if s.fill(&m) {
			batch = append(batch, m)
		}
		bytes += size(m)
		if bytes > sendBytes || len(batch) >= maxBatch {
			return batch
		}
		select {
		case m = <-s.ring:
		default:
			return batch
		}
	}
}

// fill reads the data of a piece from the disk.
func (s *sender) fill(m *quorum.Message) bool {
	if m.Kind != quorum.MessagePiece || m.Meta == nil {
		return true
	}
	data, err := s.node.store.Piece(*m.Meta, m.Offset)
	if err != nil {
		reason := "piece_gone"
		if errors.Is(err, disk.ErrDamaged) {
			reason = "piece_damaged"
		}
		s.node.meter.Count("raft", "dropped", reason)
		return false
	}
	m.Data = data
	return true
}

func size(m quorum.Message) int {
	n := len(m.Data)
	for i := range m.Entries {
		n += len(m.Entries[i].Data)
	}
	return n
}

// send sends a batch; what is lost is sent again by the core.
func (s *sender) send(ctx context.Context, batch []quorum.Message) {
	if len(batch) == 0 {
		return
	}
	try, cancel := context.WithTimeout(ctx, s.node.settings.Election)
	defer cancel()
	if err := s.pipe.Send(try, batch); err != nil {
		s.node.meter.Count("raft", "dropped", "send_failed")
	}
}
