package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const configFormat = `{"version":%d,"routes":[
{"name":"r-verdict","hostname":"caller.example","path_prefix":"/verdict/","kind":"streaming","timeout_ms":2000,"target_latency_ms":200,"priority":0,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":200},
{"name":"r-letter","hostname":"caller.example","path_prefix":"/letter/","kind":"streaming","timeout_ms":15000,"target_latency_ms":150,"priority":1,"service":"llm","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":200},
{"name":"r-claim","hostname":"caller.example","path_prefix":"/claim/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"sticky":false,"resumable":false,"target_gap_ms":0},
{"name":"r-look","hostname":"caller.example","path_prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"sticky":false,"resumable":false,"target_gap_ms":0}],
"services":[
{"name":"llm","health_path":"/health","max_conns":640,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity_tokens":305000,"kv_token_bytes":131072,"link_mbps":4400000.0,"moves":true,"backups":true,"stride":56,"most":12,"kv_hold_s":5.0,"role_switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},
{"name":"app","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

func config(version int) string { return fmt.Sprintf(configFormat, version) }

func smallDeployment() options {
	return options{zones: []string{"a", "b", "c", "a", "b"}, noDisk: 2, machines: 1, graceS: 8, memoryMB: 284, fencing: true}
}

// addUsualEngines adds engines of both services.
func (s *system) addUsualEngines() error {
	for i, zone := range []string{"a", "b", "c"} {
		for _, stage := range []string{"prefill", "decode", ""} {
			service, name := "llm", fmt.Sprintf("i-%d%s", i, stage)
			if stage == "" {
				service = "app"
			}
			if _, err := s.addEngine(name, service, zone, stage); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	grace      = 8 * time.Second
	excused    = 3 * time.Second // after SIGTERM, in which requests may run into the last sixth of the grace
	letterTime = 15 * time.Second
)

// playStop stops a machine's entry process while clients with an older list of addresses still
// connect to it.
func playStop(repo, out string, trouble bool) (bool, error) {
	s, err := newSystem(repo, out, smallDeployment())
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addUsualEngines(); err != nil {
		return false, err
	}
	if err := s.boot(config(1)); err != nil {
		return false, err
	}
	// Streams before the stop, at all machines.
	var warm sync.WaitGroup
	for i := range 40 {
		warm.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			q := generation("/letter/a", 220, 90, letterTime)
			a := ask(s.machines[i%len(s.machines)].at(s, portFront), q)
			s.record.say("client: %s at machine %d: %s", q.id, i%len(s.machines), a)
		})
	}
	warm.Wait()
	m := s.machines[2]
	began := time.Now()
	if trouble {
		s.record.say("SIGTERM to the entry process of machine %d", m.index)
		m.entryd.signal(syscall.SIGTERM)
	} else {
		s.record.say("no SIGTERM")
	}
	var late sync.WaitGroup
	var mutex sync.Mutex
	broken, complete, refused := 0, 0, 0
	for i := range 12 {
		late.Go(func() {
			time.Sleep(time.Until(began.Add(3200*time.Millisecond + time.Duration(i)*200*time.Millisecond)))
			q := generation("/letter/b", 220, 240, letterTime)
			a := ask(m.at(s, portFront), q)
			runs := 0
			for _, e := range s.engines {
				runs += e.runsOf(q.id)
			}
			whole := a.err == nil && strings.HasSuffix(a.body, "data: up to token 240 by v1\n\n")
			s.record.say("client: %s sent %s after the signal: %s; runs at engines %d", q.id, a.sent.Sub(began).Round(time.Millisecond), a, runs)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case whole:
				complete++
			case runs > 0 && (a.status == 200 || a.status == 0):
				broken++
			default:
				refused++
			}
		})
	}
	if trouble {
		time.AfterFunc(grace, func() { m.entryd.signal(syscall.SIGKILL) })
	}
	late.Wait()
	s.record.say("sent later than %s after the signal and run by an engine: %d ended without a complete answer, %d complete, %d refused", excused, broken, complete, refused)
	return broken > 0, nil
}
