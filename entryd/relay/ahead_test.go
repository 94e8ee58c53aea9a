package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
)

const (
	aheadEvents     = 56
	aheadEventBytes = 6 << 10
	instanceMemory  = 144 << 20
)

// aheadData is shared, as the test's own memory counts in runtime.MemStats too.
var aheadData = append(bytes.Repeat([]byte("x"), aheadEventBytes), "\n\n"...)

// smallBuffers bounds what the kernel holds for a connection.
func smallBuffers(ctx context.Context, c net.Conn) context.Context {
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	return ctx
}

func serveSmall(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = smallBuffers
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// newAheadFront returns a proxy of one engine that cuts off a response which remains
// unread for 2 s, and its address.
func newAheadFront(t *testing.T) (*inflightCall, string) {
	t.Helper()
	engine := serveSmall(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Content-Type", stream.ContentType)
		control := http.NewResponseController(w)
		for i := range aheadEvents {
			_ = control.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ", i)
			_, _ = w.Write(aheadData)
			if control.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	f := newScriptedCall(t, &scriptedBackend{}, "stream", "v1")
	f.SetMemory(instanceMemory)
	return f, serveAhead(t, f, engine)
}

// serveAhead returns the address at which an engine's answers are forwarded.
func serveAhead(t *testing.T, f *inflightCall, engine string) string {
	t.Helper()
	return serveSmall(t, func(w http.ResponseWriter, r *http.Request) {
		one := *f
		one.w = w
		run := &run{ticket: &ticket{}, begun: true}
		run.ctx, run.cancel = context.WithCancelCause(r.Context())
		defer run.cancel(nil)
		a, err := f.pool.Do(run.ctx, engine, &httpc.Request{Method: http.MethodGet, Target: r.RequestURI, Host: "h"})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		run.answer = a
		defer run.close()
		if one.forwardStream(r.Context(), run, &standby{run: run}, &answerStream{}) != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// readUnread returns the number of whole events in order that a caller gets.
func readUnread(c net.Conn) (int, error) {
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	n, lines := 0, bufio.NewScanner(a.Body)
	for ; lines.Scan() && lines.Text() == fmt.Sprint("id: ", n) && lines.Scan(); n++ {
		if len(lines.Bytes()) != len("data: ")+aheadEventBytes || !lines.Scan() || len(lines.Bytes()) != 0 {
			break
		}
	}
	return n, lines.Err()
}

// An engine cut off answers whose callers paused, since nobody read them meanwhile.
func TestPausingCallerGetsWholeAnswer(t *testing.T) {
	_, address := newAheadFront(t)
	c := dialSmall(t, address)
	time.Sleep(5 * time.Second)
	if n, err := readUnread(c); n != aheadEvents || err != nil {
		t.Errorf("%d of %d events, error %v", n, aheadEvents, err)
	}
}

// What is held for slow callers must fit an instance of 144 MB, and cost no other caller
// its answer.
func TestSlowCallersCostOthersNothing(t *testing.T) {
	const slow, normal = 500, 50
	f, address := newAheadFront(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range slow {
		c := dialSmall(t, address)
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = c.Read(make([]byte, 1))
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		})
	}
	time.Sleep(time.Second)
	var others sync.WaitGroup
	for range normal {
		others.Go(func() {
			c := dialSmall(t, address)
			_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
			if n, err := readUnread(c); n != aheadEvents || err != nil {
				t.Errorf("%d of %d events, error %v", n, aheadEvents, err)
			}
		})
	}
	others.Wait()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	now, peak := f.memory.events.Used()
	t.Logf("%d bytes of events held, %d at most; heap %d, stacks %d", now, peak, m.HeapInuse, m.StackInuse)
	if peak == 0 || peak > f.memory.events.Size()*9/8 || m.HeapInuse+m.StackInuse > instanceMemory {
		t.Errorf("%d bytes of events, heap %d, stacks %d", peak, m.HeapInuse, m.StackInuse)
	}
}

// Reading ahead must not keep an engine at work for a caller that has left.
func TestEngineEndsWhenSlowCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	engine := serveSmall(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Content-Type", stream.ContentType)
		for i := 0; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, bytes.Repeat([]byte("x"), aheadEventBytes))
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	f := newScriptedCall(t, &scriptedBackend{}, "stream", "v1")
	c := dialSmall(t, serveAhead(t, f, engine))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now, _ := f.memory.events.Used(); now > 0 {
			break
		}
	}
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the engine works on half a second after the caller left")
	}
}

// Callers that don't read large answers held the budget against others until their
// deadline.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 4<<20)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Request-Id", "1")
		w.Header().Set("Server-Signature", "s")
		w.Header().Set("Content-Length", fmt.Sprint(len(content)))
		_, _ = w.Write(content)
	}))
	defer backend.Close()
	f := newScriptedCall(t, &scriptedBackend{}, "safe", "v1")
	f.SetMemory(instanceMemory)
	f.fleet.servers.Update([]state.Server{{Name: "s", URL: backend.URL, Service: "m", Phase: state.PhaseServing}})
	address := serveSmall(t, func(w http.ResponseWriter, r *http.Request) {
		one := *f
		one.w, one.start, one.pass = w, f.clock.Now(), f.screen.Begin("1", "", nil)
		defer one.pass.Close()
		one.forward(r.Context())
	})
	for range 8 {
		dialSmall(t, address)
	}
	time.Sleep(200 * time.Millisecond)
	c := dialSmall(t, address)
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if b, err := io.ReadAll(a.Body); !bytes.Equal(b, content) {
		t.Errorf("status %d, %d of %d bytes, error %v", a.StatusCode, len(b), len(content), err)
	}
}
