package link

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/meter"
)

const publishPeriod = time.Second

// traffic sums over all links of the process, both ends.
var traffic tally

// tally counts bytes and packets of connections, the ended ones included.
type tally struct {
	mutex sync.Mutex
	open  map[*quic.Conn]struct{}
	ended volume
}

// volume is what passed over connections: QUIC bytes without UDP and IP
// headers, and packets.
type volume struct {
	sentBytes, sentPackets         uint64
	receivedBytes, receivedPackets uint64
}

func (v volume) plus(s quic.ConnectionStats) volume {
	v.sentBytes += s.BytesSent
	v.sentPackets += s.PacketsSent
	v.receivedBytes += s.BytesReceived
	v.receivedPackets += s.PacketsReceived
	return v
}

// track counts a connection until it ends.
func (t *tally) track(c *quic.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open == nil {
		t.open = make(map[*quic.Conn]struct{})
	}
	t.open[c] = struct{}{}
	go func() {
		<-c.Context().Done()
		t.end(c)
	}()
}

func (t *tally) end(c *quic.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, found := t.open[c]; found {
		delete(t.open, c)
		t.ended = t.ended.plus(c.ConnectionStats())
	}
}

func (t *tally) sum() volume {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v := t.ended
	for c := range t.open {
		v = v.plus(c.ConnectionStats())
	}
	return v
}

// publish keeps the gauges of the traffic up to date until ctx ends.
func publish(ctx context.Context, m *meter.Registry) {
	ticker := time.NewTicker(publishPeriod)
	defer ticker.Stop()
	for {
		v := traffic.sum()
		m.Set(int64(v.sentBytes), "link", "sent", "bytes")
		m.Set(int64(v.sentPackets), "link", "sent", "packets")
		m.Set(int64(v.receivedBytes), "link", "received", "bytes")
		m.Set(int64(v.receivedPackets), "link", "received", "packets")
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
