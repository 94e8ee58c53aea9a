package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// useProgram makes a process run the program without the race detector, whose memory isn't
// what the test is about.
func useProgram(t *testing.T) func(*exec.Cmd) {
	t.Helper()
	bin := os.Getenv("VERBENAHAVEN_BIN")
	if bin == "" {
		bin = t.TempDir()
		if out, err := exec.Command("go", "build", "-o", bin, "verbenahaven.example/entryd").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	return func(c *exec.Cmd) { c.Path = filepath.Join(bin, "entryd") }
}

// peakMB returns the most memory that the process has had resident.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// Callers that sent heads of many fields or without end made an instance run out of memory.
func TestOddHeadsFitMemory(t *testing.T) {
	const memoryMB, callers, period, fullHead = 64, 96, 2 * time.Second, 60 << 10
	for name, size := range map[string]int{"many fields": fullHead, "fields without end": 1 << 30} {
		t.Run(name, func(t *testing.T) {
			p, address := startOnOwnInterface(t, "2s", fmt.Sprintf("[memory]\nbytes = %d\n", memoryMB<<20), useProgram(t))
			ctx, cancel := context.WithTimeout(t.Context(), period)
			defer cancel()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for ctx.Err() == nil {
						sendFields(ctx, address, size)
					}
				})
			}
			group.Wait()
			if mb := p.peakMB(t); mb > memoryMB {
				t.Errorf("%d MB resident of %d", mb, memoryMB)
			}
			if !p.awaitAnswer(t, address) {
				t.Error("no answer to an ordinary request")
			}
		})
	}
}

// sendFields sends a request with fields of so many bytes, and waits until the connection ends.
func sendFields(ctx context.Context, address string, size int) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n")
	for n, sent := 0, 0; err == nil && sent < size; {
		var block strings.Builder
		for block.Len() < 4<<10 && sent+block.Len() < size {
			block.WriteString(strconv.FormatInt(int64(n), 36) + ":\n")
			n++
		}
		sent += block.Len()
		_, err = io.WriteString(c, block.String())
	}
	_, _ = io.WriteString(c, "\r\n")
	_, _ = io.Copy(io.Discard, c)
}
