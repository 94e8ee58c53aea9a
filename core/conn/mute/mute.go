// Package mute makes the link of a TCP connection silent, for tests. The kernel
// then drops all packets that arrive for the socket, so that the peer's packets
// aren't acknowledged either, as on a path that loses everything.
package mute

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Silence drops what arrives at a connection until restore is called.
func Silence(c *net.TCPConn) (restore func() error, err error) {
	// A classic BPF program that accepts no byte of any packet.
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	program := unix.SockFprog{Len: 1, Filter: &drop}
	if err := control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil {
		return nil, fmt.Errorf("attach filter: %w", err)
	}
	return func() error {
		if err := control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) }); err != nil {
			return fmt.Errorf("detach filter: %w", err)
		}
		return nil
	}, nil
}

func control(c *net.TCPConn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return fmt.Errorf("control socket: %w", err)
	}
	return callErr
}
