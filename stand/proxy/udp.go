package proxy

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

const (
	maxPacketBytes = 64 << 10
	maxFlows       = 4096
)

// UDP forwards packets. Packets in a partitioned direction are lost.
type UDP struct {
	config      config.Proxy
	conditions  *conditions
	socket      *net.UDPConn
	target      *net.UDPAddr
	group       sync.WaitGroup
	randomMutex sync.Mutex
	random      *rand.Rand
	mutex       sync.Mutex
	flows       map[string]*flow
	closed      bool
}

// flow is the socket that forwards the packets of one client address.
type flow struct {
	client  *net.UDPAddr
	socket  *net.UDPConn
	mutex   sync.Mutex
	stalled bool
}

func (f *flow) stall() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stalled = true
}

func (f *flow) isStalled() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stalled
}

// NewUDP starts forwarding. The returned function stops it and closes all
// sockets.
func NewUDP(ctx context.Context, c config.Proxy) (*UDP, func(), error) {
	target, err := net.ResolveUDPAddr("udp", c.Target)
	if err != nil {
		return nil, nil, boot.WithExitCode(boot.ExitSettings, fmt.Errorf("proxy %s: target: %w", c.Name, err))
	}
	l, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", c.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy %s: %w", c.Name, boot.ListenError("proxy.listen", c.Listen, err))
	}
	socket, _ := l.(*net.UDPConn)
	p := &UDP{
		config: c, conditions: newConditions(), socket: socket, target: target,
		random: rand.New(rand.NewSource(c.Seed)), flows: make(map[string]*flow),
	}
	p.group.Go(p.forwardRequests)
	return p, p.close, nil
}

func (p *UDP) close() {
	_ = p.socket.Close()
	p.mutex.Lock()
	p.closed = true
	for _, f := range p.flows {
		_ = f.socket.Close()
	}
	p.mutex.Unlock()
	p.group.Wait()
}

// InjectFault injects or clears a fault. UDP has no connections, so a reset only
// stalls the open flows.
func (p *UDP) InjectFault(f inject.Fault) error {
	switch f.Kind {
	case inject.StallConns, inject.ResetConns:
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, f := range p.flows {
			f.stall()
		}
		return nil
	}
	lasting, err := p.conditions.apply(f)
	if !lasting {
		return fmt.Errorf("%s: %w", f.Kind, errUnknownFault)
	}
	return err
}

// forwardRequests forwards packets from the clients to the target.
func (p *UDP) forwardRequests() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, client, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f := p.findOrOpenFlow(client)
		if f == nil || f.isStalled() {
			continue
		}
		p.forward(up, buffer[:n], func(b []byte) { _, _ = f.socket.Write(b) })
	}
}

// findOrOpenFlow returns the flow of a client address and opens it if needed. It
// returns nil if it can't be opened.
func (p *UDP) findOrOpenFlow(client *net.UDPAddr) *flow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := client.String()
	if f, ok := p.flows[key]; ok {
		return f
	}
	if p.closed || len(p.flows) >= maxFlows {
		return nil
	}
	socket, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil
	}
	f := &flow{client: client, socket: socket}
	p.flows[key] = f
	p.group.Go(func() { p.forwardReplies(f) })
	return f
}

// forwardReplies forwards packets from the target to the client of a flow.
func (p *UDP) forwardReplies(f *flow) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, err := f.socket.Read(buffer)
		if err != nil {
			p.mutex.Lock()
			closed := p.closed
			p.mutex.Unlock()
			if closed {
				return
			}
			// The target's port is closed, but may open again.
			time.Sleep(time.Millisecond)
			continue
		}
		if f.isStalled() {
			continue
		}
		p.forward(down, buffer[:n], func(b []byte) { _, _ = p.socket.WriteToUDP(b, f.client) })
	}
}

// forward sends one packet under the current conditions: at once, after a delay
// or not at all.
func (p *UDP) forward(d direction, packet []byte, send func(b []byte)) {
	if partitioned, _ := p.conditions.isPartitioned(d); partitioned {
		return
	}
	delay, loss := p.conditions.delayAndLoss()
	if loss > 0 && p.randomFloat() < loss {
		return
	}
	if delay == 0 {
		send(packet)
		return
	}
	delayed := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(delayed) })
}

func (p *UDP) randomFloat() float64 {
	p.randomMutex.Lock()
	defer p.randomMutex.Unlock()
	return p.random.Float64()
}
