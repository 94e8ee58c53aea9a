package link

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"verbenahaven.example/core/process/meter"
)

const trafficPublishPeriod = time.Second

// traffic counts the traffic of all connections of the process, as client and as
// server.
var traffic trafficCounter

// trafficCounter counts bytes and packets of open and closed connections.
type trafficCounter struct {
	mutex sync.Mutex
	open  map[*quic.Conn]struct{}
	ended trafficTotals
}

// trafficTotals counts QUIC bytes, without UDP and IP headers, and packets.
type trafficTotals struct {
	sentBytes, sentPackets         uint64
	receivedBytes, receivedPackets uint64
}

func (v trafficTotals) add(s quic.ConnectionStats) trafficTotals {
	v.sentBytes += s.BytesSent
	v.sentPackets += s.PacketsSent
	v.receivedBytes += s.BytesReceived
	v.receivedPackets += s.PacketsReceived
	return v
}

// track adds a connection to the count and keeps its totals after it ends.
func (t *trafficCounter) track(c *quic.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open == nil {
		t.open = make(map[*quic.Conn]struct{})
	}
	t.open[c] = struct{}{}
	go func() {
		<-c.Context().Done()
		t.untrack(c)
	}()
}

func (t *trafficCounter) untrack(c *quic.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, found := t.open[c]; found {
		delete(t.open, c)
		t.ended = t.ended.add(c.ConnectionStats())
	}
}

func (t *trafficCounter) total() trafficTotals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v := t.ended
	for c := range t.open {
		v = v.add(c.ConnectionStats())
	}
	return v
}

// publishTraffic updates the traffic gauges every trafficPublishPeriod until ctx
// ends.
func publishTraffic(ctx context.Context, m *meter.Registry) {
	ticker := time.NewTicker(trafficPublishPeriod)
	defer ticker.Stop()
	for {
		v := traffic.total()
		m.Set(int64(v.sentBytes), "link", "sent", "bytes")
		m.Set(int64(v.sentPackets), "link", "sent", "packets")
		m.Set(int64(v.receivedBytes), "link", "received", "bytes")
		m.Set(int64(v.receivedPackets), "link", "received", "packets")
		dials.publish(m)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
