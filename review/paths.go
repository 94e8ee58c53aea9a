package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// paths are proxies before the engines, which can cut single processes off from all of
// them: their connections are reset, and new ones too.
type paths struct {
	w     *world
	mutex sync.Mutex
	cut   map[int]bool // by process
	conns map[*net.TCPConn]struct{}
}

func newPaths(w *world) *paths {
	return &paths{w: w, cut: make(map[int]bool), conns: make(map[*net.TCPConn]struct{})}
}

// intercept puts a proxy before an engine, at the address that the list names.
func (p *paths) intercept(e *engine, host int) error {
	target := e.address
	l, err := net.Listen("tcp4", p.w.address(host, portEngines))
	if err != nil {
		return err
	}
	e.update(func() { e.address = l.Addr().String() })
	p.w.closers = append(p.w.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn), target)
		}
	}()
	return nil
}

func (p *paths) serve(c *net.TCPConn, target string) {
	defer c.Close()
	p.mutex.Lock()
	p.conns[c] = struct{}{}
	any := len(p.cut) > 0
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.conns, c)
	}()
	if any && p.reset(c) {
		return
	}
	s, err := net.Dial("tcp4", target)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	defer s.Close()
	done := make(chan struct{})
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.(*net.TCPConn).CloseWrite()
		close(done)
	}()
	_, _ = io.Copy(c, s)
	_ = c.CloseWrite()
	<-done
}

// reset resets a connection if it belongs to a process that is cut off.
func (p *paths) reset(c *net.TCPConn) bool {
	p.mutex.Lock()
	pids := make([]int, 0, len(p.cut))
	for pid := range p.cut {
		pids = append(pids, pid)
	}
	p.mutex.Unlock()
	for _, pid := range pids {
		if ownsPort(pid, c.RemoteAddr().(*net.TCPAddr).Port) {
			_ = c.SetLinger(0)
			_ = c.Close()
			return true
		}
	}
	return false
}

// cutOff cuts a process off from all engines.
func (p *paths) cutOff(pid int) {
	p.mutex.Lock()
	p.cut[pid] = true
	conns := make([]*net.TCPConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mutex.Unlock()
	for _, c := range conns {
		p.reset(c)
	}
}

// heal ends the cut of a process.
func (p *paths) heal(pid int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.cut, pid)
}

// ownsPort reports whether a process has a TCP connection from a local port.
func ownsPort(pid, port int) bool {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	inodes := make(map[string]bool)
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 {
			continue
		}
		_, text, _ := strings.Cut(f[1], ":")
		if n, err := strconv.ParseInt(text, 16, 32); err == nil && int(n) == port {
			inodes["socket:["+f[9]+"]"] = true
		}
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if link, err := os.Readlink(f); err == nil && inodes[link] {
			return true
		}
	}
	return false
}
