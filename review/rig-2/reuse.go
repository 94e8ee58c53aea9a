package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["reuse"] = playReuse }

const (
	crashAfter = time.Second     // from the acceptance of an order to the crash
	addrReuse  = 2 * time.Second // addr_reuse_s of the settings
	staysOn    = 4 * time.Second // how long the list shows a crashed engine
)

// playReuse crashes an engine for good while it carries out an order, and gives its address to
// an engine of another service.
func playReuse(repo, out string, trouble bool) (bool, error) {
	s, err := newSystem(repo, out, smallDeployment())
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addUsualEngines(); err != nil {
		return false, err
	}
	for i, zone := range []string{"a", "b", "c"} { // more than an idle fleet needs for decoding
		if _, err := s.addEngine(fmt.Sprintf("i-%dmore", i), "llm", zone, "decode"); err != nil {
			return false, err
		}
	}
	var once sync.Once
	crashed := make(chan struct{})
	for _, e := range s.engines {
		if e.stage == "" {
			continue
		}
		e.onOrder = func() {
			once.Do(func() {
				defer close(crashed)
				if !trouble {
					return
				}
				time.Sleep(crashAfter)
				s.crashForGood(e)
				time.Sleep(addrReuse)
				n, err := s.newEngineAt(e.address, "i-successor", "app", e.zone, "", "v1")
				s.record.say("engine %s of the service app starts at the address of %s: %v", n.id, e.id, err)
			})
		}
	}
	if err := s.boot(config(1)); err != nil {
		return false, err
	}
	asked := make(map[string]bool)
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			q := generation("/letter/f", 220, 90, letterTime)
			mutex.Lock()
			asked[q.id] = true
			mutex.Unlock()
			a := ask(s.machines[i%len(s.machines)].at(s, portFront), q)
			if a.err != nil || a.status != 200 {
				s.record.say("client: %s at machine %d: %s", q.id, i%len(s.machines), a)
			}
		})
	}
	select {
	case <-crashed:
	case <-time.After(85 * time.Second):
		s.record.say("no engine got an order")
		if trouble {
			return false, errors.New("no engine got an order, so that none crashed under one")
		}
	}
	time.Sleep(8 * time.Second)
	group.Wait()
	unasked := 0
	for _, e := range s.allEngines() {
		e.mutex.Lock()
		for id := range e.runs {
			if !asked[id] {
				unasked++
				s.record.say("engine %s of %s ran %q, which no client sent", e.id, e.service, id)
			}
		}
		e.mutex.Unlock()
	}
	s.record.say("%d requests that no client sent were run", unasked)
	return unasked > 0, nil
}

// crashForGood ends an engine. The list shows that later.
func (s *system) crashForGood(e *engine) {
	s.record.say("engine %s crashes for good", e.id)
	e.mutex.Lock()
	server := e.server
	e.mutex.Unlock()
	_ = server.Close()
	time.AfterFunc(staysOn, func() {
		s.list.mutex.Lock()
		defer s.list.mutex.Unlock()
		e.listed = nil
		s.record.say("the list shows %s no more", e.id)
	})
}

func (s *system) allEngines() []*engine {
	s.list.mutex.Lock()
	defer s.list.mutex.Unlock()
	return append([]*engine(nil), s.engines...)
}
