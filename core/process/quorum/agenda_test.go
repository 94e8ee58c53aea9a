package quorum

import "time"

// action is something that happens at a simulated time.
type action struct {
	at    time.Duration
	order int
	do    func()
}

// agenda is a heap of actions by time, then by order of entry.
type agenda []action

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(action)) }
func (a *agenda) Pop() any {
	old := *a
	v := old[len(old)-1]
	*a = old[:len(old)-1]
	return v
}
