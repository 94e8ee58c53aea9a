package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { scenarios["snapshot"] = snapshotCase }

// snapshotCase: so many changes that the keepers compact their log, then a keeper loses its disk.
func snapshotCase(w *world) (bool, error) {
	if err := w.addEngines(); err != nil {
		return false, err
	}
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.publish(config(1, 0), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	v := uint64(1)
	began := time.Now()
	for range 2600 {
		v++
		if err := w.publish(config(v, 0), 10*time.Second); err != nil {
			return false, fmt.Errorf("change %d: %w", v, err)
		}
	}
	w.record("%d changes in %s", v, time.Since(began))
	for i := range 3 {
		m := w.machines[i]
		w.record("machine %d loses its disk", m.index)
		w.signal(m.keepd, syscall.SIGKILL)
		<-m.keepd.done
		_ = os.RemoveAll(m.data)
		m.bootstrap = false
		time.Sleep(time.Second)
		if err := w.startKeepd(m); err != nil {
			return false, err
		}
		time.Sleep(9 * time.Second)
		for j := 1; j <= 3; j++ {
			s, got, err := w.readConfig(j)
			w.record("read at %d: %d version %d err %v", j, s, got, err)
		}
		for range 5 {
			v++
			if err := w.publish(config(v, 0), 10*time.Second); err != nil {
				w.record("change %d: %v", v, err)
			}
		}
	}
	ok := true
	for j := 1; j <= 3; j++ {
		s, got, err := w.readConfig(j)
		w.record("read at %d: %d version %d err %v, want %d", j, s, got, err, v)
		ok = ok && s == 200 && got == v
	}
	return ok, nil
}
