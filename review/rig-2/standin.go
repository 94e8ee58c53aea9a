package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// listLag is lag_ms of the settings.
const listLag = 800 * time.Millisecond

// list is the platform's list of engines, which lags.
type list struct {
	system *system
	mutex  sync.Mutex
}

// ServeHTTP implements http.Handler.
func (l *list) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entries := []map[string]any{}
	for _, e := range l.system.engines {
		if e.listed != nil {
			entries = append(entries, e.listed)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// engine is a server of a service: a model engine if it has a stage.
type engine struct {
	system                     *system
	id, service, zone, address string
	stage                      string
	born                       int64
	eventTokens                int                                                                    // tokens in an event of a stream
	eventTime                  time.Duration                                                          // between two events
	answer                     func(e *engine, w http.ResponseWriter, r *http.Request, b []byte) bool // handles a request if it returns true

	listed map[string]any // its entry in the list, guarded by the list's mutex

	mutex   sync.Mutex
	server  *http.Server
	version string // of its software
	state   string
	seq     int
	fence   uint64
	busy    bool   // an order is being carried out
	onOrder func() // called when an order was accepted, nil for nothing
	running int
	runs    map[string]int // by request
	handles map[string]string
}

func (s *system) addEngine(id, service, zone, stage string) (*engine, error) {
	return s.newEngine(id, service, zone, stage, "v1")
}

// newEngine starts an engine of a software version.
func (s *system) newEngine(id, service, zone, stage, version string) (*engine, error) {
	s.mutex.Lock()
	s.nextA++
	address := s.address(s.nextA, portEngine)
	s.mutex.Unlock()
	return s.newEngineAt(address, id, service, zone, stage, version)
}

// newEngineAt does the same at an address.
func (s *system) newEngineAt(address, id, service, zone, stage, version string) (*engine, error) {
	e := &engine{
		system: s, id: id, service: service, zone: zone, stage: stage, address: address, born: time.Now().UnixMilli(),
		version: version, state: "ready", eventTokens: 1, eventTime: 20 * time.Millisecond, runs: make(map[string]int), handles: make(map[string]string),
	}
	s.list.mutex.Lock()
	s.engines = append(s.engines, e)
	s.list.mutex.Unlock()
	return e, e.listen()
}

// listen starts the engine. The list shows that later.
func (e *engine) listen() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.mutex.Lock()
	e.server = server
	e.mutex.Unlock()
	go func() { _ = server.Serve(l) }()
	e.announce()
	return nil
}

// announce makes the list show the engine as it is now.
func (e *engine) announce() {
	entry := e.entry()
	time.AfterFunc(listLag, func() {
		e.system.list.mutex.Lock()
		defer e.system.list.mutex.Unlock()
		e.listed = entry
	})
}

// setState changes what the engine says of itself.
func (e *engine) setState(state string) {
	e.mutex.Lock()
	e.state = state
	e.mutex.Unlock()
	e.system.record.say("engine %s is %s", e.id, state)
	e.announce()
}

// restart ends the engine and starts it again under its ID with other software.
func (e *engine) restart(version string, down time.Duration) error {
	e.mutex.Lock()
	server := e.server
	e.mutex.Unlock()
	e.system.record.say("engine %s ends", e.id)
	_ = server.Close()
	time.Sleep(down)
	e.mutex.Lock()
	e.version, e.born, e.seq, e.fence, e.state, e.busy = version, time.Now().UnixMilli(), 0, 0, "ready", false
	e.mutex.Unlock()
	e.system.record.say("engine %s starts again with software %s", e.id, version)
	return e.listen()
}

func (e *engine) entry() map[string]any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	v := map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 48, "state": e.state, "cold_remaining_ms": 0, "born": e.born,
	}
	if e.stage != "" {
		v["stage"], v["models"] = e.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return v
}

// runsOf returns how often a request ran here.
func (e *engine) runsOf(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Instance-Id", e.id)
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	model := e.stageNow() != ""
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
		return
	case model && r.URL.Path == "/-/report":
		e.report(w)
		return
	case model && r.URL.Path == "/-/order":
		e.order(w, b)
		return
	case model && strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Stage") == "prefill" {
		e.prefill(w, r, id)
		return
	}
	if e.stageNow() == "prefill" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	e.runs[id]++
	e.running++
	n, version := e.runs[id], e.version
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.running--
		e.mutex.Unlock()
	}()
	e.system.record.say("engine %s (%s): runs %s (%d) deadline %s usage %s after %q source %q", e.id, version, id, n, r.Header.Get("Deadline-Ms"), r.Header.Get("Token-Usage"), r.Header.Get("Last-Event-Id"), r.Header.Get("Kv-Source"))
	w.Header().Set("Server-Signature", e.id+"."+id)
	if e.answer != nil && e.answer(e, w, r, b) {
		return
	}
	if !model {
		_, _ = fmt.Fprintf(w, "%s %s at %s, %d bytes", r.Method, r.RequestURI, e.id, len(b))
		return
	}
	e.stream(w, r)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.busy, "seq": e.seq,
		"queued": 0, "running": e.running, "kv_used": 0, "kv_total": 300000, "kv_handles": 0, "state": e.state, "born": e.born, "runs": []any{},
	})
}

func (e *engine) order(w http.ResponseWriter, b []byte) {
	var o struct {
		Op, Stage, Holder string
		Fence             uint64 `json:"fence_token"`
		Expect            *int
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case json.Unmarshal(b, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0:
		w.WriteHeader(http.StatusBadRequest)
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expect != nil && *o.Expect != e.seq:
		w.WriteHeader(http.StatusConflict)
	case e.busy:
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence, e.seq, e.busy = o.Fence, e.seq+1, true
		e.system.record.say("engine %s: order %s by %s with fence %d", e.id, o.Stage, o.Holder, o.Fence)
		born := e.born
		time.AfterFunc(roleSwitch, func() { e.finishOrder(born, o.Stage) })
		if e.onOrder != nil {
			go e.onOrder()
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

// roleSwitch is role_switch_s of the configuration.
const roleSwitch = 3 * time.Second

// finishOrder ends an order, unless the engine has started again meanwhile.
func (e *engine) finishOrder(born int64, stage string) {
	e.mutex.Lock()
	if e.born != born {
		e.mutex.Unlock()
		return
	}
	e.stage, e.busy = stage, false
	e.mutex.Unlock()
	e.announce()
}

func (e *engine) stageNow() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.stage
}

func (e *engine) prefill(w http.ResponseWriter, r *http.Request, id string) {
	tokens, _ := usage(r)
	e.pause(r.Context(), time.Duration(tokens)*3*time.Microsecond)
	e.mutex.Lock()
	handle := fmt.Sprintf("%x", time.Now().UnixNano())
	e.handles[handle] = id
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"handle_id":%q,"tokens":%d,"version":1}`, handle, tokens)
}

// usage returns the tokens of a request's prompt and answer.
func usage(r *http.Request) (prompt, output int) {
	a, b, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}

func (e *engine) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stream answers with the events that follow Last-Event-Id, until the end, the deadline or the
// end of the connection. An event's ID is the number of tokens up to its end.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, output := usage(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	e.mutex.Lock()
	version := e.version
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	for n := from; n < output; {
		if !e.pause(r.Context(), e.eventTime) {
			e.system.record.say("engine %s: %s was given up after token %d of %d", e.id, id, n, output)
			return
		}
		if time.Now().After(deadline) {
			e.system.record.say("engine %s: %s stopped at its deadline after token %d of %d", e.id, id, n, output)
			panic(http.ErrAbortHandler)
		}
		n = min(output, n+e.eventTokens)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: up to token %d by %s\n\n", n, n, version)
		_ = http.NewResponseController(w).Flush()
	}
	e.system.record.say("engine %s: %s ended well", e.id, id)
}
