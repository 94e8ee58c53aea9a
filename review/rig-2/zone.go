package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["zone"] = playZone }

// playZone loses a zone with its disks, where the settings say that one zone may be lost.
func playZone(repo, out string, trouble bool) (bool, error) {
	s, err := newSystem(repo, out, options{zones: []string{"a", "a", "b", "b", "c", "c"}, seeds: []int{0, 1, 2}, tolerZones: 1, graceS: 8, memoryMB: 284, fencing: true})
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
	time.Sleep(8 * time.Second) // longer than catch_up_s and the stability window after the start
	if status := s.publish(s.machines[3], config(5)); status != http.StatusOK {
		return false, fmt.Errorf("version 5 was answered %d", status)
	}
	if trouble {
		s.record.say("zone a loses power and its disks")
		for _, m := range s.machines[:2] {
			m.keepd.kill()
			m.entryd.kill()
			if err := os.RemoveAll(m.data); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
		s.record.say("zone a is back with empty disks")
		for _, m := range s.machines[:2] {
			if err := s.writeSettings(m, false); err != nil {
				return false, err
			}
			s.startKeepd(m)
			s.startEntryd(m)
		}
	}
	newest := false
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !newest; time.Sleep(500 * time.Millisecond) {
		for _, m := range s.machines {
			status, body := s.read(m)
			s.record.say("operator: GET at machine %d: %d %.60s", m.index, status, body)
			newest = newest || status == http.StatusOK && strings.HasPrefix(body, `{"version":5,`)
		}
	}
	s.record.say("the acknowledged version 5 was read back: %t", newest)
	return !newest, nil
}
