package proxy

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/stand/config"
)

const (
	packetBytes = 64 << 10
	flowLimit   = 4096
)

// UDP forwards packets. Packets of a cut direction are lost.
type UDP struct {
	config   config.Proxy
	state    *conditions
	socket   *net.UDPConn
	target   *net.UDPAddr
	group    sync.WaitGroup
	lottery  sync.Mutex
	random   *rand.Rand
	mutex    sync.Mutex
	flows    map[string]*flow
	shutdown bool
}

// flow is the packets of one source address.
type flow struct {
	client *net.UDPAddr
	socket *net.UDPConn
	mutex  sync.Mutex
	silent bool
}

func (f *flow) mute() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silent = true
}

func (f *flow) muted() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.silent
}

// NewUDP starts to forward. The clean-up closes all sockets.
func NewUDP(ctx context.Context, c config.Proxy) (*UDP, func(), error) {
	target, err := net.ResolveUDPAddr("udp", c.Target)
	if err != nil {
		return nil, nil, boot.Fail(boot.ExitSettings, fmt.Errorf("proxy %s: target: %w", c.Name, err))
	}
	l, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", c.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy %s: %w", c.Name, boot.Unlistened("proxy.listen", c.Listen, err))
	}
	socket, _ := l.(*net.UDPConn)
	p := &UDP{
		config: c, state: newConditions(), socket: socket, target: target,
		random: rand.New(rand.NewSource(c.Seed)), flows: make(map[string]*flow),
	}
	p.group.Go(p.receive)
	return p, p.close, nil
}

func (p *UDP) close() {
	_ = p.socket.Close()
	p.mutex.Lock()
	p.shutdown = true
	for _, f := range p.flows {
		_ = f.socket.Close()
	}
	p.mutex.Unlock()
	p.group.Wait()
}

// Fault brings a fault about.
func (p *UDP) Fault(f stand.Fault) error {
	switch f.Kind {
	case stand.Silence, stand.Reset:
		p.mutex.Lock()
		defer p.mutex.Unlock()
		for _, f := range p.flows {
			f.mute()
		}
		return nil
	}
	known, err := p.state.apply(f)
	if !known {
		return fmt.Errorf("%s: %w", f.Kind, errFault)
	}
	return err
}

func (p *UDP) receive() {
	buffer := make([]byte, packetBytes)
	for {
		n, client, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f := p.flow(client)
		if f == nil || f.muted() {
			continue
		}
		p.forward(up, buffer[:n], func(b []byte) { _, _ = f.socket.Write(b) })
	}
}

// flow finds or opens the socket of a source address.
func (p *UDP) flow(client *net.UDPAddr) *flow {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := client.String()
	if f, ok := p.flows[key]; ok {
		return f
	}
	if p.shutdown || len(p.flows) >= flowLimit {
		return nil
	}
	socket, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil
	}
	f := &flow{client: client, socket: socket}
	p.flows[key] = f
	p.group.Go(func() { p.reply(f) })
	return f
}

func (p *UDP) reply(f *flow) {
	buffer := make([]byte, packetBytes)
	for {
		n, err := f.socket.Read(buffer)
		if err != nil {
			p.mutex.Lock()
			ended := p.shutdown
			p.mutex.Unlock()
			if ended {
				return
			}
			// The target's port is closed: it may open again.
			time.Sleep(time.Millisecond)
			continue
		}
		if f.muted() {
			continue
		}
		p.forward(down, buffer[:n], func(b []byte) { _, _ = p.socket.WriteToUDP(b, f.client) })
	}
}

// forward sends one packet on, late or not at all.
func (p *UDP) forward(d direction, packet []byte, send func(b []byte)) {
	if cut, _ := p.state.isCut(d); cut {
		return
	}
	delay, drop := p.state.path()
	if drop > 0 && p.draw() < drop {
		return
	}
	if delay == 0 {
		send(packet)
		return
	}
	late := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(late) })
}

func (p *UDP) draw() float64 {
	p.lottery.Lock()
	defer p.lottery.Unlock()
	return p.random.Float64()
}
