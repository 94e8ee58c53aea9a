package reach

// Load returns the number of remembered servers and the least number of exchanges
// and connection attempts that are under way at one of them.
func Load(d *Detector) (servers, waiting int) {
	for _, s := range d.servers {
		waiting = min(waiting, s.waiting.count, s.dialling.count)
	}
	return len(d.servers), waiting
}
