// Package proxy forwards TCP and UDP between two addresses and injects network
// faults: partitions, delay, packet loss, resets and stalled connections.
package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"verbenahaven.example/core/conn/inject"
)

var errUnknownFault = errors.New("fault kind not supported by this target")

type direction int

const (
	up   direction = iota // towards the target
	down                  // from the target
)

// conditions holds the faults that last until they are cleared.
type conditions struct {
	mutex       sync.Mutex
	partitioned [2]bool
	delay       time.Duration
	packetLoss  float64
	changed     chan struct{} // closed and replaced at each change
}

func newConditions() *conditions {
	return &conditions{changed: make(chan struct{})}
}

// update changes the conditions and wakes all waiters.
func (c *conditions) update(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f()
	close(c.changed)
	c.changed = make(chan struct{})
}

// isPartitioned reports whether the direction is partitioned, and returns a
// channel that is closed at the next change.
func (c *conditions) isPartitioned(d direction) (bool, <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.partitioned[d], c.changed
}

func (c *conditions) delayAndLoss() (delay time.Duration, loss float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.delay, c.packetLoss
}

// waitOpen blocks while the direction is partitioned. It returns false if done is
// closed first.
func (c *conditions) waitOpen(d direction, done <-chan struct{}) bool {
	for {
		partitioned, changed := c.isPartitioned(d)
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// apply sets or clears a lasting fault. It returns false if the kind isn't one.
func (c *conditions) apply(f inject.Fault) (bool, error) {
	switch f.Kind {
	case inject.Partition:
		c.update(func() { c.partitioned = [2]bool{true, true} })
	case inject.PartitionUp:
		c.update(func() { c.partitioned[up] = true })
	case inject.PartitionDown:
		c.update(func() { c.partitioned[down] = true })
	case inject.ClearFaults:
		c.update(func() { c.partitioned, c.delay, c.packetLoss = [2]bool{}, 0, 0 })
	case inject.Delay:
		d, err := time.ParseDuration(f.Value)
		if err != nil || d < 0 {
			return true, fmt.Errorf("delay: %q, want a duration of 0 or more", f.Value)
		}
		c.update(func() { c.delay = d })
	case inject.PacketLoss:
		loss, err := strconv.ParseFloat(f.Value, 64)
		if err != nil || loss < 0 || loss > 1 {
			return true, fmt.Errorf("drop: %q, want a share from 0 to 1", f.Value)
		}
		c.update(func() { c.packetLoss = loss })
	default:
		return false, nil
	}
	return true, nil
}
