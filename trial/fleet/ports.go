package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Blocks of ports below the range from which the system takes ports for
// outgoing connections.
const (
	firstPort  = 20000
	lastPort   = 32000
	blockPorts = 400
)

var errNoPorts = errors.New("no free block of ports")

// ports hands out the ports of one block. The first port of a block is a
// lock: whoever listens on it owns the block.
type ports struct {
	base int
	used int
}

func reserve() (*ports, func(), error) {
	blocks := (lastPort - firstPort) / blockPorts
	for i := range blocks {
		base := firstPort + (os.Getpid()+i)%blocks*blockPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base)) //nolint:noctx // returns at once
		if err == nil {
			return &ports{base: base}, func() { _ = l.Close() }, nil
		}
	}
	return nil, nil, errNoPorts
}

// next returns an address that is free for both TCP and UDP.
func (p *ports) next() string {
	for {
		p.used++
		if p.used >= blockPorts {
			panic("fleet: block of ports is used up")
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.base+p.used)
		if free(address) {
			return address
		}
	}
}

func free(address string) bool {
	l, err := net.Listen("tcp", address) //nolint:noctx // returns at once
	if err != nil {
		return false
	}
	_ = l.Close()
	c, err := net.ListenPacket("udp", address) //nolint:noctx // returns at once
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
