package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow"] = playSlow }

const (
	documentBytes = 1_000_000
	slowReaders   = 60
	slowChunk     = 15_000 // bytes that a slow client reads
	slowPause     = 100 * time.Millisecond
	documentTime  = 12 * time.Second
)

// playSlow lets clients read documents slowly, all at one machine.
func playSlow(repo, out string, trouble bool) (bool, error) {
	s, err := newSystem(repo, out, smallDeployment())
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addUsualEngines(); err != nil {
		return false, err
	}
	document := strings.Repeat("d", documentBytes)
	for _, e := range s.engines {
		e.answer = func(e *engine, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if !strings.HasPrefix(r.URL.Path, "/look/document") {
				return false
			}
			w.Header().Set("Content-Length", fmt.Sprint(len(document)))
			_, err := io.WriteString(w, document)
			e.system.record.say("engine %s: document for %s written, %v", e.id, r.Header.Get("Request-Id"), err)
			return true
		}
	}
	if err := s.boot(strings.Replace(config(1), `"kind":"safe","timeout_ms":1500`, `"kind":"safe","timeout_ms":15000`, 1)); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than the stability window
	m := s.machines[3]
	var group sync.WaitGroup
	var mutex sync.Mutex
	complete, refused, cut := 0, 0, 0
	for i := range slowReaders {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			status, got, err := readDocument(m.at(s, portFront), trouble)
			s.record.say("client %d: status %d, %d of %d bytes, %v", i, status, got, documentBytes, err)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case status == http.StatusOK && err == nil:
				complete++
			case status == http.StatusOK:
				cut++
			default:
				refused++
			}
		})
	}
	group.Wait()
	s.record.say("%d complete, %d refused, %d closed without a complete answer (more than 3 break the rule)", complete, refused, cut)
	return cut > 3, nil
}

// readDocument sends a short request and then one for a document on the same connection.
func readDocument(address string, slowly bool) (status, got int, err error) {
	d := net.Dialer{Timeout: time.Second}
	if slowly { // little of the answer waits in the kernel
		d.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			})
		}
	}
	c, err := d.DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, slowChunk)
	a := askOn(c, r, &request{id: newID(), method: http.MethodGet, path: "/look/short", deadline: documentTime}, &answer{})
	if a.status != http.StatusOK || a.err != nil {
		return a.status, 0, a.err
	}
	q := &request{id: newID(), method: http.MethodGet, path: "/look/document", deadline: documentTime}
	_ = c.SetDeadline(time.Now().Add(documentTime))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: q.method})
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, 0, nil
	}
	for b := make([]byte, slowChunk); ; {
		n, err := io.ReadFull(resp.Body, b)
		got += n
		if got == documentBytes {
			return resp.StatusCode, got, nil
		}
		if err != nil {
			return resp.StatusCode, got, err
		}
		if slowly {
			time.Sleep(slowPause)
		}
	}
}
