package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// The blocks of ports lie below the range from which the operating system takes
// ephemeral ports for outgoing connections.
const (
	firstPort  = 20000
	lastPort   = 32000
	blockPorts = 400
)

var errNoPorts = errors.New("no free block of ports")

// ports allocates the ports of one block. The first port of a block serves as a
// lock: the process that listens on it owns the block.
type ports struct {
	base   int
	offset int
}

func reserveBlock() (*ports, func(), error) {
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

// nextAddress returns an address that is free for both TCP and UDP.
func (p *ports) nextAddress() string {
	for {
		p.offset++
		if p.offset >= blockPorts {
			panic("fleet: block of ports is used up")
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.base+p.offset)
		if isFree(address) {
			return address
		}
	}
}

func isFree(address string) bool {
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
