package reach

import "time"

// Abandoned records that a connection attempt ended with its exchange, before it was
// known whether it succeeds.
func (d *Detector) Abandoned(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide(now) // while the attempt may still be evidence
	if s, found := d.servers[address]; found {
		s.dialling.end()
	}
}
