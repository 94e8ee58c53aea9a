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
	calmTime      = 5 * time.Second        // after a freeze: catch_up_s and one second
	cutLead       = 3 * time.Second        // from the cut to the freeze
	rounds        = 3
	movedPath     = "/safe/x"
)

// services are those between which the route moves.
var services = []string{"app", "app2"}

// tracked is a request that a client sent to the machine that is cut off.
type tracked struct {
	id   string
	path string
	sent time.Time
	got  answer
}

// stalePeerCase: a machine without a path to the engines passes its calls on to another
// machine, which freezes while the configuration changes.
func stalePeerCase(w *world) (bool, error) {
	p := newPaths(w)
	for i := range 3 {
		zone := "zone-" + string(rune('a'+i))
		for k, service := range services {
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
		c := &tracked{id: newID(), path: path, sent: time.Now()}
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
			send(movedPath)
			send("/other/x")
		}
	}
	play(2 * time.Second)
	held := true
	for round := range rounds {
		older, newer := services[round%2], services[(round+1)%2]
		version := uint64(round + 2)
		if w.trouble {
			w.record("entryd %d is cut off from all engines", cut.index)
			p.cutOff(cut.entryd.cmd.Process.Pid)
		}
		play(cutLead)
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
		if err := w.publish(movedConfig(version, newer), 3*time.Second); err != nil {
			return false, err
		}
		w.record("version %d, which moves /safe/ from %s to %s, acknowledged after %s", version, older, newer, time.Since(changed))
		mutex.Lock()
		calls = nil
		mutex.Unlock()
		play(freezeTime + calmTime)
		group.Wait()
		if w.trouble {
			w.record("entryd %d has its path to the engines again", cut.index)
			p.heal(cut.entryd.cmd.Process.Pid)
		}
		held = w.judgeRegress(calls, cut, version, older, newer) && held
		play(2 * time.Second)
		group.Wait()
	}
	return held, nil
}

// judgeRegress reports whether no request that was sent later than the slack after an
// engine had seen the effect of a version was run by the service of the version before.
func (w *world) judgeRegress(calls []*tracked, at *machine, version uint64, older, newer string) bool {
	runBy := make(map[string]string)
	firstRun := make(map[string]time.Time)
	for _, e := range w.engines {
		e.update(func() {
			for id, when := range e.runTimes {
				runBy[id], firstRun[id] = e.service, when
			}
		})
	}
	var effect time.Time
	for _, c := range calls {
		if c.path == movedPath && runBy[c.id] == newer && (effect.IsZero() || firstRun[c.id].Before(effect)) {
			effect = firstRun[c.id]
		}
	}
	if effect.IsZero() {
		w.record("no engine saw version %d from machine %d", version, at.index)
		return true
	}
	w.record("an engine first saw version %d from machine %d at %.3f", version, at.index, effect.Sub(w.began).Seconds())
	statuses, late := make(map[int]int), 0
	for _, c := range calls {
		statuses[c.got.status]++
		if c.path != movedPath || runBy[c.id] != older || !c.sent.After(effect.Add(rollbackSlack)) {
			continue
		}
		late++
		w.record("request %s sent to machine %d at %.3f, run by %s (version %d) at %.3f: %d %s", c.id, at.index, c.sent.Sub(w.began).Seconds(),
			runBy[c.id], version-1, firstRun[c.id].Sub(w.began).Seconds(), c.got.status, c.got.body)
	}
	w.record("%d requests to machine %d, by status %v; %d of them handled as only version %d allows, sent more than %s after version %d was seen",
		len(calls), at.index, statuses, late, version-1, rollbackSlack, version)
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

// idleRoutes is the number of further routes of the configuration, as many as four
// entries big_config add.
const idleRoutes = 4 * 350

// movedConfig is a configuration whose route /safe/ leads to a service.
func movedConfig(version uint64, service string) []byte {
	var idle strings.Builder
	for i := range idleRoutes {
		fmt.Fprintf(&idle, `,
{"name":"r-idle-%d","hostname":"host.example","path_prefix":"/idle%d/","kind":"safe","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"app2","max_attempts":2}`, i, i)
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-safe","hostname":"host.example","path_prefix":"/safe/","kind":"safe","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":%q,"max_attempts":2},
{"name":"r-other","hostname":"host.example","path_prefix":"/other/","kind":"safe","timeout_ms":8000,"target_latency_ms":300,"priority":0,"service":"app2","max_attempts":2}%s],
"services":[{"name":"app","health_path":"/health","max_conns":130,"protocol":"h1","tls":false},{"name":"app2","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, service, idle.String()))
}
