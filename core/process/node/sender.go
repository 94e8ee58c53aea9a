package node

import (
	"context"
	"crypto/tls"
	"errors"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/quorum"
)

// maxSendBytes is the size of entries and snapshot chunks after which a batch
// takes no further messages.
const maxSendBytes = 4 << 20

// sender sends messages to one peer in order.
type sender struct {
	node   *Node
	queue  chan quorum.Message
	stream *link.OneWayStream
	close  func()
	stop   context.CancelFunc
	used   time.Time // when a message was last queued; owned by the loop
}

func newSender(n *Node, address string, config *tls.Config) *sender {
	client, cleanup := link.NewUrgentClient(address, config, addressOf(n.ownLink()))
	return &sender{node: n, queue: make(chan quorum.Message, senderQueueSize), stream: client.OneWayStream(raftKind), close: cleanup}
}

func (s *sender) run(ctx context.Context) {
	defer s.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			s.send(ctx, s.collectBatch(m))
		}
	}
}

// collectBatch returns a message and those queued after it, up to the limits of
// a batch, so that one call carries them.
func (s *sender) collectBatch(m quorum.Message) []quorum.Message {
	var batch []quorum.Message
	bytes := 0
	for {
		if s.loadChunk(&m) {
			batch = append(batch, m)
		}
		bytes += payloadBytes(m)
		if bytes > maxSendBytes || len(batch) >= maxBatch {
			return batch
		}
		select {
		case m = <-s.queue:
		default:
			return batch
		}
	}
}

// loadChunk reads the data of a snapshot chunk from the disk. It reports whether
// the message can be sent.
func (s *sender) loadChunk(m *quorum.Message) bool {
	if m.Kind != quorum.MessageChunk || m.Meta == nil {
		return true
	}
	data, err := s.node.store.ReadChunk(*m.Meta, m.Offset)
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

func payloadBytes(m quorum.Message) int {
	n := len(m.Data)
	for i := range m.Entries {
		n += len(m.Entries[i].Data)
	}
	return n
}

// send sends a batch. The core retries lost messages.
func (s *sender) send(ctx context.Context, batch []quorum.Message) {
	if len(batch) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, s.node.settings.ElectionTimeout)
	defer cancel()
	if err := s.stream.Send(callCtx, batch); err != nil {
		s.node.meter.Count("raft", "dropped", "send_failed")
	}
}
