package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stale-peer"] = stalePeerCase }

const (
	rollbackSlack = 250 * time.Millisecond // rollback_slack_ms of the settings
	freezeTime    = 4 * time.Second        // for_s of node_freeze
)

// tracked is a request that a client sent to the machine that is cut off.
type tracked struct {
	id   string
	sent time.Time
	got  answer
}

// stalePeerCase: a machine without a path to the engines passes its calls on to another
// machine, which freezes while the configuration changes.
func stalePeerCase(w *world) (bool, error) {
	p := newPaths(w)
	for i := range 3 {
		zone := "zone-" + string(rune('a'+i))
		for k, service := range []string{"app", "app2"} {
			e, err := w.addEngine(fmt.Sprintf("%s-%d", service, i), service, zone, 30+10*k+i, "")
			if err != nil {
				return false, err
			}
			if err := p.intercept(e, 130+10*k+i); err != nil {
				return false, err
			}
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.publish(movedConfig(1, "app"), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	leader := w.leader()
	if leader == 0 {
		return false, fmt.Errorf("no leader is known")
	}
	frozen, cut := w.machines[leader%3], w.machines[(leader+1)%3]
	w.record("leader: machine %d; cut off from the engines: machine %d; frozen: machine %d", leader, cut.index, frozen.index)
	var mutex sync.Mutex
	var calls []*tracked
	var group sync.WaitGroup
	send := func(path string) {
		c := &tracked{id: newID(), sent: time.Now()}
		mutex.Lock()
		calls = append(calls, c)
		mutex.Unlock()
		group.Add(1)
		go func() {
			defer group.Done()
			c.got = w.ask(w.address(cut.index, portCallers), "GET", path, c.id, "", nil, 10*time.Second)
		}()
	}
	play := func(during time.Duration) {
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(8 * time.Millisecond) {
			send("/safe/x")
			send("/other/x")
		}
	}
	play(2 * time.Second)
	if w.trouble {
		w.record("entryd %d is cut off from all engines", cut.index)
		p.cutOff(cut.entryd.cmd.Process.Pid)
	}
	play(4 * time.Second)
	for _, m := range w.machines {
		if m != frozen {
			_, _, _ = w.readConfig(m.index) // they know the leader then
		}
	}
	if w.trouble {
		w.signal(frozen.entryd, syscall.SIGSTOP)
		w.signal(frozen.keepd, syscall.SIGSTOP)
	}
	thaw := time.AfterFunc(freezeTime, func() {
		if w.trouble {
			w.signal(frozen.keepd, syscall.SIGCONT)
			w.signal(frozen.entryd, syscall.SIGCONT)
		}
	})
	defer thaw.Stop()
	changed := time.Now()
	if err := w.publish(movedConfig(2, "app2"), 3*time.Second); err != nil {
		return false, err
	}
	w.record("version 2, which moves /safe/ from app to app2, acknowledged after %s", time.Since(changed))
	play(freezeTime + 2*time.Second)
	group.Wait()
	return w.judgeRegress(calls, cut), nil
}

// judgeRegress reports whether no request that was sent later than the slack after an
// engine had seen the effect of version 2 was run by the service of version 1.
func (w *world) judgeRegress(calls []*tracked, at *machine) bool {
	runBy := make(map[string]string)
	firstRun := make(map[string]time.Time)
	for _, e := range w.engines {
		for id, when := range e.runTimes {
			runBy[id], firstRun[id] = e.service, when
		}
	}
	var effect time.Time
	for _, c := range calls {
		if strings.HasPrefix(c.got.body, "GET /safe/") && runBy[c.id] == "app2" && (effect.IsZero() || firstRun[c.id].Before(effect)) {
			effect = firstRun[c.id]
		}
	}
	if effect.IsZero() {
		w.record("no engine saw version 2 from machine %d", at.index)
		return true
	}
	w.record("an engine first saw version 2 from machine %d at %.3f", at.index, effect.Sub(w.began).Seconds())
	statuses, late := make(map[int]int), 0
	for _, c := range calls {
		statuses[c.got.status]++
		isSafe := strings.HasPrefix(c.got.body, "GET /safe/")
		if !isSafe || runBy[c.id] != "app" || !c.sent.After(effect.Add(rollbackSlack)) {
			continue
		}
		late++
		w.record("request %s sent to machine %d at %.3f, run by %s (version 1) at %.3f: %d %s", c.id, at.index, c.sent.Sub(w.began).Seconds(),
			runBy[c.id], firstRun[c.id].Sub(w.began).Seconds(), c.got.status, c.got.body)
	}
	w.record("%d requests to machine %d, by status %v; %d of them handled as only version 1 allows, sent more than %s after version 2 was seen",
		len(calls), at.index, statuses, late, rollbackSlack)
	return late == 0
}

// leader returns the machine whose keeper leads, 0 if none says so.
func (w *world) leader() int {
	for _, m := range w.machines {
		if strings.Contains(m.keepd.output.String(), "became leader in term") {
			return m.index
		}
	}
	return 0
}

// movedConfig is a configuration whose route /safe/ leads to a service.
func movedConfig(version uint64, service string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-safe","hostname":"host.example","path_prefix":"/safe/","kind":"safe","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":%q,"max_attempts":2},
{"name":"r-other","hostname":"host.example","path_prefix":"/other/","kind":"safe","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"app2","max_attempts":2}],
"services":[{"name":"app","health_path":"/health","max_conns":130,"protocol":"h1","tls":false},{"name":"app2","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, service))
}
