package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["first-start"] = firstStartCase }

const (
	// stabilityWindow is stability_window_ms of the settings.
	stabilityWindow = 3 * time.Second
	// catchUp is catch_up_s: a machine counts as lost for so long after it starts.
	catchUp = 4 * time.Second
	// tries is how long the operator sends a configuration again.
	tries = 30 * time.Second
)

// firstStartCase: one of three machines with a disk crashes for good as the whole system
// starts for the first time, and an empty one takes its place at another address.
func firstStartCase(w *world) (bool, error) {
	const crashAfter = 10 * time.Millisecond
	if err := w.addEngines(); err != nil {
		return false, err
	}
	if err := w.start(); err != nil {
		return false, err
	}
	if w.trouble {
		time.Sleep(crashAfter)
		lost := w.machines[2]
		w.record("machine %d is lost for good", lost.index)
		for _, p := range []*process{lost.keepd, lost.entryd} {
			w.signal(p, syscall.SIGKILL)
			<-p.done
		}
		time.Sleep(2 * time.Second)
		if err := w.replace(2, 4); err != nil {
			return false, err
		}
		time.Sleep(catchUp)
	}
	time.Sleep(stabilityWindow)
	served := make(chan int)
	go func() { served <- w.serveCalls(tries) }()
	began := time.Now()
	err := w.publish(config(1, 0), tries)
	w.record("the first configuration, sent for up to %s of a stable core: %v, after %s", tries, err, time.Since(began))
	n := <-served
	w.record("requests served in %s: %d", tries, n)
	return n > 0, nil
}

// serveCalls plays clients for some time, ten requests a second, and returns the number
// of requests that were served.
func (w *world) serveCalls(during time.Duration) (served int) {
	sent, outcomes := 0, make(map[string]int)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var addresses []string
		var err error
		for _, m := range w.machines {
			if addresses, err = w.resolve(m.index); err == nil && len(addresses) > 0 {
				break
			}
		}
		sent++
		if err != nil || len(addresses) == 0 {
			outcomes["no address"]++
			continue
		}
		a := w.ask(addresses[sent%len(addresses)], "GET", "/safe/x", newID(), "", nil, 2*time.Second)
		outcomes[fmt.Sprint(a.status)]++
		if a.status == 200 && a.signature != "" {
			served++
		}
	}
	w.record("requests sent: %d, by outcome: %v", sent, outcomes)
	return served
}

// replace puts an empty machine at another address in the place of one that is gone, and
// names it in the seeds of all settings files.
func (w *world) replace(place, index int) error {
	old := w.machines[place]
	m := &machine{index: index, ip: w.ip(index), zone: old.zone}
	m.data = filepath.Join(w.folder, "data-new")
	m.settings = filepath.Join(w.folder, "boot-new.toml")
	w.machines[place] = m
	w.record("machine %d takes the place of machine %d", index, old.index)
	for _, other := range w.machines {
		if err := w.writeSettings(other); err != nil {
			return err
		}
		if other != m {
			w.signal(other.keepd, syscall.SIGHUP)
			w.signal(other.entryd, syscall.SIGHUP)
		}
	}
	if err := w.startKeepd(m); err != nil {
		return err
	}
	return w.startEntryd(m)
}
