package node

import (
	"context"
	"crypto/tls"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/quorum"
)

// sendBytes bounds the entries and pieces in one call.
const sendBytes = 4 << 20

// sender brings messages to one peer in their order.
type sender struct {
	node    *Node
	name    string
	address string
	config  *tls.Config
	ring    chan quorum.Message
	client  *link.Client
	close   func()
}

func newSender(n *Node, name, address string, config *tls.Config) *sender {
	s := &sender{node: n, name: name, address: address, config: config, ring: make(chan quorum.Message, senderRing)}
	s.client, s.close = link.NewClient(address, config)
	return s
}

func (s *sender) run(ctx context.Context) {
	defer func() { s.close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.ring:
			s.call(ctx, s.collect(m))
		}
	}
}

// collect takes what waits, so that one call carries it.
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
		s.node.meter.Count("raft", "dropped", "piece_gone")
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

// call sends a batch. After silence the next call uses a new connection.
func (s *sender) call(ctx context.Context, batch []quorum.Message) {
	if len(batch) == 0 {
		return
	}
	try, cancel := context.WithTimeout(ctx, s.node.settings.Election)
	defer cancel()
	_, err := link.Call[[]quorum.Message, struct{}](try, s.client, kind, batch)
	if err == nil {
		return
	}
	s.node.meter.Count("raft", "dropped", "call_failed")
	if try.Err() != nil && ctx.Err() == nil {
		s.close()
		s.client, s.close = link.NewClient(s.address, s.config)
	}
}
