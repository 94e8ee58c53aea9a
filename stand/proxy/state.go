// Package proxy forwards TCP and UDP between two addresses and breaks the
// path on demand.
package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
)

var errFault = errors.New("unknown kind of fault for this target")

type direction int

const (
	up   direction = iota // towards the target
	down                  // from the target
)

// conditions are the standing faults of one path.
type conditions struct {
	mutex   sync.Mutex
	cut     [2]bool
	delay   time.Duration
	drop    float64
	changed chan struct{} // closed at each change
}

func newConditions() *conditions {
	return &conditions{changed: make(chan struct{})}
}

func (c *conditions) set(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conditions) isCut(d direction) (bool, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut[d], c.changed
}

func (c *conditions) path() (delay time.Duration, drop float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.delay, c.drop
}

// await returns once the direction isn't cut; false if done comes first.
func (c *conditions) await(d direction, done <-chan struct{}) bool {
	for {
		cut, changed := c.isCut(d)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// apply sets standing faults; false if the kind isn't one.
func (c *conditions) apply(f stand.Fault) (bool, error) {
	switch f.Kind {
	case stand.Cut:
		c.set(func() { c.cut = [2]bool{true, true} })
	case stand.CutUp:
		c.set(func() { c.cut[up] = true })
	case stand.CutDown:
		c.set(func() { c.cut[down] = true })
	case stand.Heal:
		c.set(func() { c.cut, c.delay, c.drop = [2]bool{}, 0, 0 })
	case stand.Delay:
		d, err := time.ParseDuration(f.Value)
		if err != nil || d < 0 {
			return true, fmt.Errorf("delay of %q: a duration from 0", f.Value)
		}
		c.set(func() { c.delay = d })
	case stand.Drop:
		share, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || share < 0 || share > 1 {
			return true, fmt.Errorf("drop of %q: 0 to 1", f.Value)
		}
		c.set(func() { c.drop = share })
	default:
		return false, nil
	}
	return true, nil
}
