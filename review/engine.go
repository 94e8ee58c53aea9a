package main

import (
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

// engine stands in for one engine: a model engine if it has a stage, else a plain one.
type engine struct {
	w                          *world
	id, service, zone, address string
	version                    string
	born                       int64

	mutex    sync.Mutex
	stage    string
	state    string // in the list; empty if it isn't listed
	seq      int
	fence    uint64
	handles  map[string]string    // request by handle
	runs     map[string]int       // by request
	runTimes map[string]time.Time // of the first run, by request
	orders   []orderSeen
	events   int           // of a stream
	gap      time.Duration // between two events
	work     time.Duration // of a plain request
	server   *http.Server
	// intercept may answer a request itself; it returns true if it did.
	intercept func(rw http.ResponseWriter, r *http.Request, body []byte) bool
}

type orderSeen struct {
	at     time.Time
	holder string
	fence  uint64
	stage  string
}

// addEngine starts an engine at an address of its own.
func (w *world) addEngine(id, service, zone string, host int, stage string) (*engine, error) {
	e := &engine{
		w: w, id: id, service: service, zone: zone, address: w.address(host, portEngines), version: "v1", born: time.Now().UnixMilli(),
		stage: stage, state: "ready", handles: map[string]string{}, runs: map[string]int{}, runTimes: map[string]time.Time{}, events: 6, gap: 2 * time.Millisecond, work: 5 * time.Millisecond,
	}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	w.mutex.Lock()
	w.engines = append(w.engines, e)
	w.closers = append(w.closers, func() { _ = e.server.Close() })
	w.mutex.Unlock()
	return e, nil
}

// addEngines starts two prefill, three decode and three plain engines.
func (w *world) addEngines() error {
	for i := range 3 {
		zone := "zone-" + string(rune('a'+i))
		if i < 2 {
			if _, err := w.addEngine(fmt.Sprintf("p%d", i), "llm", zone, 10+i, "prefill"); err != nil {
				return err
			}
		}
		if _, err := w.addEngine(fmt.Sprintf("d%d", i), "llm", zone, 20+i, "decode"); err != nil {
			return err
		}
		if _, err := w.addEngine(fmt.Sprintf("s%d", i), "app", zone, 30+i, ""); err != nil {
			return err
		}
	}
	return nil
}

func (e *engine) update(f func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f()
}

// entry returns the engine's entry in the list, nil if it isn't listed.
func (e *engine) entry() any {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.state == "" {
		return nil
	}
	v := map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 16, "state": e.state,
		"cold_remaining_ms": 0, "born": e.born,
	}
	if e.stage != "" {
		v["stage"], v["models"] = e.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return v
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mutex.Lock()
	id, intercept := e.id, e.intercept
	e.mutex.Unlock()
	h := rw.Header()
	h.Set("Instance-Id", id)
	if request := r.Header.Get("Request-Id"); request != "" {
		h.Set("Request-Id", request)
	}
	if intercept != nil && intercept(rw, r, body) {
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.report(rw)
	case r.URL.Path == "/-/order":
		e.order(rw, r, body)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.update(func() { delete(e.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/")) })
	case r.URL.Path == "/health":
	default:
		e.request(rw, r, body)
	}
}

func (e *engine) report(rw http.ResponseWriter) {
	e.mutex.Lock()
	v := map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": e.seq,
		"queued": 0, "running": 0, "kv_used": 10, "kv_total": 100000, "kv_handles": len(e.handles), "born": e.born,
	}
	e.mutex.Unlock()
	writeJSON(rw, http.StatusOK, v)
}

func (e *engine) order(rw http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		Op, Stage, Holder string
		Fence             uint64 `json:"fence_token"`
		Expect            *int
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "stage" || o.Holder == "" || o.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders = append(e.orders, orderSeen{time.Now(), o.Holder, o.Fence, o.Stage})
	switch {
	case o.Fence < e.fence:
		rw.WriteHeader(http.StatusPreconditionFailed)
	case o.Expect != nil && *o.Expect != e.seq:
		rw.WriteHeader(http.StatusConflict)
	default:
		e.fence, e.stage, e.seq = o.Fence, o.Stage, e.seq+1
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (e *engine) request(rw http.ResponseWriter, r *http.Request, body []byte) {
	id, h := r.Header.Get("Request-Id"), rw.Header()
	e.mutex.Lock()
	own, stage, events, gap, work := e.id, e.stage, e.events, e.gap, e.work
	e.mutex.Unlock()
	notRun := func(status int) {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if id == "" {
		notRun(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != own {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Stage") == "prefill" {
		handle := fmt.Sprintf("%s-%x", own, time.Now().UnixNano())
		e.update(func() { e.handles[handle] = id })
		writeJSON(rw, http.StatusOK, map[string]any{"handle_id": handle, "tokens": 10, "version": 1})
		return
	}
	if stage == "prefill" {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	e.update(func() {
		if e.runs[id]++; e.runs[id] == 1 {
			e.runTimes[id] = time.Now()
		}
	})
	e.w.record("engine %s runs %s (%s)", own, id, r.URL.Path)
	h.Set("Server-Signature", own+"."+id)
	if stage == "" {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(rw, "%s %s %s %d", r.Method, r.RequestURI, own, len(body))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
	}
}

// config returns a configuration with the usual routes and more idle ones.
func config(version uint64, more int) []byte {
	route := func(name, prefix, kind, service string, timeout int, extra map[string]any) map[string]any {
		v := map[string]any{
			"name": name, "hostname": "host.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 300,
			"priority": 0, "service": service, "max_attempts": 2,
		}
		for k, x := range extra {
			v[k] = x
		}
		return v
	}
	routes := []any{
		route("r-safe", "/safe/", "safe", "app", 5000, nil),
		route("r-unsafe", "/unsafe/", "unsafe", "app", 5000, map[string]any{"max_attempts": 1}),
		route("r-stream", "/stream/", "streaming", "llm", 15000, map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 200}),
		route("r-once", "/once/", "streaming", "llm", 15000, map[string]any{"sticky": true, "resumable": false, "max_attempts": 1, "target_gap_ms": 200}),
	}
	for i := range more {
		routes = append(routes, route(fmt.Sprintf("r-idle-%06d", i), fmt.Sprintf("/idle%06d/", i), "safe", "app", 5000, map[string]any{"target_gap_ms": 0}))
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 640, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv_capacity_tokens": 872000, "kv_token_bytes": 131072, "link_mbps": 4200000.0, "moves": true, "backups": true, "stride": 8,
				"most": 12, "kv_hold_s": 5.0, "role_switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}
