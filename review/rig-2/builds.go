package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["builds"] = playBuilds
	cases["origin"] = playOrigin
}

// resumableConfig allows streams to be taken up.
func resumableConfig() string {
	return strings.Replace(config(1), `"max_attempts":1,"sticky":true,"resumable":false`, `"max_attempts":2,"sticky":true,"resumable":true`, 1)
}

// streamGap is how long clients wait for the next event of a stream: two seconds is more than
// four times the objective and eight times the pause.
const streamGap = 2 * time.Second

const (
	eventTime   = 30 * time.Millisecond // between two events of a stream
	freezeTime  = 4 * time.Second
	restartTime = 2 * time.Second // from an engine's end to its next start
	releaseStep = time.Second     // between two engines of a release
)

func bootWithStreams(repo, out string, o options) (*system, error) {
	s, err := newSystem(repo, out, o)
	if err != nil {
		return nil, err
	}
	err = s.addUsualEngines()
	for _, e := range s.engines {
		e.eventTime = eventTime
	}
	if err == nil {
		err = s.boot(resumableConfig())
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) decodeEngines() []*engine {
	var list []*engine
	for _, e := range s.engines {
		if e.stage == "decode" {
			list = append(list, e)
		}
	}
	return list
}

// playBuilds restarts the engines one after the other under their IDs with new software.
func playBuilds(repo, out string, trouble bool) (bool, error) {
	s, err := bootWithStreams(repo, out, smallDeployment())
	if err != nil {
		return false, err
	}
	defer s.close()
	var group sync.WaitGroup
	var mutex sync.Mutex
	mixed, whole, all := 0, 0, 0
	for i := range 300 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			t := newStream("/letter/c", 90, letterTime)
			for try := 0; try < 3 && !t.complete; try++ {
				status, err := t.try(s.machines[(i+try)%len(s.machines)].at(s, portFront), streamGap)
				s.record.say("client: stream %v at machine %d: status %d, at event %q of 90, software %v, %v", t.ids, (i+try)%len(s.machines), status, t.lastID, keys(t.versions), err)
				if err != nil {
					time.Sleep(300 * time.Millisecond)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			all++
			if t.complete {
				whole++
			}
			if len(t.versions) > 1 {
				mixed++
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		var restarts sync.WaitGroup
		for _, e := range s.decodeEngines() {
			restarts.Go(func() {
				if err := e.restart("v2", restartTime); err != nil {
					panic(err)
				}
			})
			time.Sleep(releaseStep)
		}
		restarts.Wait()
	}
	group.Wait()
	s.record.say("%d streams, %d complete, %d with events of two software versions (more than 2 break the rule)", all, whole, mixed)
	return mixed > 2, nil
}

func keys(m map[string]bool) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	return list
}

// playOrigin freezes a machine just before engines of new software are added beside the others.
func playOrigin(repo, out string, trouble bool) (bool, error) {
	o := smallDeployment()
	o.zones = []string{"a", "b", "c", "a", "b", "c", "a", "b", "c", "a"} // one of ten machines stands still
	o.noDisk = 7
	s, err := bootWithStreams(repo, out, o)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i, zone := range []string{"a", "b", "c"} { // several serve through the release
		e, err := s.addEngine(fmt.Sprintf("i-%dmore", i), "llm", zone, "decode")
		if err != nil {
			return false, err
		}
		e.eventTime = eventTime
	}
	const streams = 20
	frozen := s.machines[9]
	others := len(s.machines) - 1
	var group sync.WaitGroup
	var mutex sync.Mutex
	taken, wentOn, begun, complete := 0, 0, 0, 0
	time.Sleep(2 * time.Second)
	for i := range streams {
		group.Go(func() {
			t := newStream("/letter/d", 240, letterTime)
			status, err := t.try(frozen.at(s, portFront), streamGap)
			s.record.say("client: stream %v at machine %d: status %d, at event %q of 240, %v", t.ids, frozen.index, status, t.lastID, err)
			at, again := t.events, false
			for try := 0; try < 3 && !t.complete && at > 0; try++ {
				m := s.machines[(i+try)%others]
				again = true
				status, err = t.try(m.at(s, portFront), streamGap)
				s.record.say("client: stream %v taken up at machine %d: status %d, at event %q of 240, %v", t.ids, m.index, status, t.lastID, err)
				if !t.complete {
					time.Sleep(400 * time.Millisecond)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			if t.complete {
				complete++
			}
			if again {
				taken++
				if t.events > at {
					wentOn++
				}
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		s.record.say("the entry process of machine %d stands still", frozen.index)
		frozen.entryd.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			s.record.say("the entry process of machine %d wakes", frozen.index)
			frozen.entryd.signal(syscall.SIGCONT)
		})
		time.Sleep(200 * time.Millisecond)
	}
	if trouble && os.Getenv("RELEASE") != "0" {
		old := s.decodeEngines()[0]
		s.record.say("a release begins: an engine of v2 starts, and %s drains a second later", old.id)
		e, err := s.newEngine("i-new", "llm", "a", "decode", "v2")
		if err != nil {
			return false, err
		}
		e.eventTime = eventTime
		time.AfterFunc(releaseStep, func() { old.setState("draining") })
	}
	time.Sleep(2 * time.Second)
	for i := range streams {
		group.Go(func() {
			t := newStream("/letter/e", 30, letterTime)
			status, err := t.try(s.machines[i%others].at(s, portFront), streamGap)
			s.record.say("client: new stream %v at machine %d: status %d, at event %q of 30, %v", t.ids, i%others, status, t.lastID, err)
			mutex.Lock()
			defer mutex.Unlock()
			if t.events > 0 {
				begun++
			}
		})
	}
	group.Wait()
	s.record.say("%d of %d streams were taken up at machines in touch, %d of these went on; %d of %d new streams began; %d streams complete", taken, streams, wentOn, begun, streams, complete)
	if trouble && taken < 12 {
		return false, fmt.Errorf("%d streams were taken up, which is too few for the rule", taken)
	}
	return taken >= 12 && 2*wentOn*streams < begun*taken, nil
}
