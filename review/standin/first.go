package main

import (
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["first-start"] = firstStartCase }

const (
	// ackBound and stabilityWindow are ack_ms and stability_window_ms of the settings.
	ackBound        = 4 * time.Second
	stabilityWindow = 3 * time.Second
	// catchUp is catch_up_s: a machine counts as lost for so long after it starts.
	catchUp = 4 * time.Second
	// tries is how long the operator sends a configuration again.
	tries = 30 * time.Second
)

// firstStartCase: one of three machines with a disk crashes for good as the whole system
// starts for the first time, and an empty one takes its place at another address.
func firstStartCase(w *world) (bool, error) {
	const crashAfter = 50 * time.Millisecond
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
	began := time.Now()
	err := w.publish(config(1, 0), tries)
	took := time.Since(began)
	w.record("the first configuration, sent for up to %s of a stable core: %v, after %s", tries, err, took)
	return err == nil && took <= ackBound, nil
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
